package cairnline.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class EventLogTest {
    /** What goes to standard error meanwhile; the library looks the stream up with each write. */
    private static List<String> written(EventLog log, Runnable told) {
        PrintStream before = System.err;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            told.run();
            log.flush(10_000);
        } finally {
            System.setErr(before);
        }
        return bytes.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void anEventIsOneLineOfTextWithItsPairs() {
        EventLog log = new EventLog(EventLog.Format.TEXT, 16);
        log.start();
        assertEquals(List.of("cairnline: it is so event=a.b n=5"), written(log, () -> log.info("a.b", "it is so", "n", 5)));
    }

    @Test
    void asJsonItIsOneLineToo() {
        EventLog log = new EventLog(EventLog.Format.JSON, 16);
        log.start();
        List<String> lines = written(log, () -> log.warn("a.b", "two\nlines", "n", 5));
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("{") && lines.get(0).contains("\"level\":\"WARN\"")
                && lines.get(0).contains("\"event\"") && lines.get(0).contains("a.b"), lines.get(0));
    }

    /** Whoever logs must not wait, whatever the stream does. */
    @Test
    void aStreamThatBlocksMakesNobodyWaitAndWhatIsLostIsCounted() throws Exception {
        EventLog log = new EventLog(EventLog.Format.TEXT, 4);
        log.start();
        PrintStream before = System.err;
        CountDownLatch free = new CountDownLatch(1);
        CountDownLatch stuck = new CountDownLatch(1);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream() {
            @Override
            public synchronized void write(byte[] b, int off, int len) {
                stuck.countDown();
                try {
                    free.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                super.write(b, off, len);
            }
        };
        System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            log.info("first", "x");
            stuck.await();
            for (int i = 0; i < 100; i++) {
                log.info("more", "x");
            }
            assertEquals(96, log.dropped());
            free.countDown();
            log.flush(10_000);
        } finally {
            System.setErr(before);
        }
        String all = bytes.toString(StandardCharsets.UTF_8);
        assertTrue(all.contains("event=log.dropped count=96"), all);
    }
}
