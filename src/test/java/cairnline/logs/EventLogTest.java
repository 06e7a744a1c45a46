package cairnline.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests the format of log events, and that logging never blocks its callers. */
class EventLogTest {
    /** Returns the lines written to standard error while logging; Logback looks up {@code System.err} at each write. */
    private static List<String> linesWritten(EventLog log, Runnable logging) {
        PrintStream standardError = System.err;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            logging.run();
            log.flush(10_000);
        } finally {
            System.setErr(standardError);
        }
        return bytes.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void writesEventAsOneLineWithKeysAndValues() {
        EventLog log = new EventLog(EventLog.Format.TEXT, 16);
        log.start();
        assertEquals(List.of("cairnline: message event=a.b n=5"), linesWritten(log, () -> log.info("a.b", "message", "n", 5)));
    }

    @Test
    void writesEventAsOneLineOfJson() {
        EventLog log = new EventLog(EventLog.Format.JSON, 16);
        log.start();
        List<String> lines = linesWritten(log, () -> log.warn("a.b", "two\nlines", "n", 5));
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).startsWith("{") && lines.get(0).contains("\"level\":\"WARN\"")
                && lines.get(0).contains("\"event\"") && lines.get(0).contains("a.b"), lines.get(0));
    }

    /** A blocked standard error, such as a full pipe, must not block callers of the log. */
    @Test
    void neverBlocksAndCountsDroppedEventsWhileTheStreamBlocks() throws Exception {
        EventLog log = new EventLog(EventLog.Format.TEXT, 4);
        log.start();
        PrintStream standardError = System.err;
        CountDownLatch unblock = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream() {
            @Override
            public synchronized void write(byte[] b, int off, int len) {
                blocked.countDown();
                try {
                    unblock.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                super.write(b, off, len);
            }
        };
        System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            log.info("first", "x");
            blocked.await();
            for (int i = 0; i < 100; i++) {
                log.info("more", "x");
            }
            assertEquals(96, log.dropped());
            unblock.countDown();
            log.flush(10_000);
        } finally {
            System.setErr(standardError);
        }
        String output = bytes.toString(StandardCharsets.UTF_8);
        assertTrue(output.contains("event=log.dropped count=96"), output);
    }
}
