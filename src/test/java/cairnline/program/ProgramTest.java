package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.protocol.ClientFrames;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as its operators start it: a process, its environment, its exit codes, its feed. */
class ProgramTest {
    private static final long LIMIT_S = 30;

    @TempDir
    Path folder;

    private record Ended(int code, String output) { }

    private Process start(String config, String... args) throws IOException {
        List<String> command = new ArrayList<>(List.of("java", "-XX:TieredStopAtLevel=1", "-cp",
                System.getProperty("java.class.path"), "cairnline.program.Main"));
        command.addAll(List.of(args));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().remove("ROUTER_LISTEN");
        if (config != null) {
            Path file = Files.writeString(folder.resolve("config.json"), config);
            builder.environment().put("ROUTER_CONFIG", file.toString());
        }
        return builder.start();
    }

    private static Ended end(Process process) throws IOException, InterruptedException {
        assertTrue(process.waitFor(LIMIT_S, TimeUnit.SECONDS), "it goes on");
        return new Ended(process.exitValue(),
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip());
    }

    private static String config(int port, int feed) throws IOException {
        return new String(ProgramTest.class.getResourceAsStream("/config.json").readAllBytes(),
                StandardCharsets.UTF_8).replace("127.0.0.1:0", "127.0.0.1:" + port)
                .replace("127.0.0.1:1\"", "127.0.0.1:" + feed + "\"");
    }

    private static String line(Socket socket) throws IOException {
        return line(socket.getInputStream());
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            assertTrue(c >= 0, "it ended after: " + line);
            line.append((char) c);
        }
        return line.toString();
    }

    @Test
    void aBadConfigurationIsOneLineAndExitCodeTwo() throws Exception {
        Ended ended = end(start("{\"listen\":7}", "serve"));
        assertEquals(new Ended(2, "cairnline: listen: is missing or is not text"), ended);
        Ended unread = end(start("{", "serve"));
        assertEquals(2, unread.code());
        assertTrue(unread.output().startsWith("cairnline: ROUTER_CONFIG"), unread.output());
    }

    @Test
    void theAdapterEndsWithItsInput() throws Exception {
        Process process = start(null, "simhost");
        process.getOutputStream().write("TURN atTimeNs=5\nGO\n".getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().close();
        assertEquals(new Ended(0, "OK"), end(process));
    }

    /** The feed is resumed after the last event, and SIGTERM ends in exit code 0 with clients told. */
    @Test
    void theFeedIsFollowedAndResumedAndTheProgramStops() throws Exception {
        int port;
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = any.getLocalPort();
        }
        try (ServerSocket feed = listening()) {
            Process process = start(config(port, feed.getLocalPort()), "serve");
            try (Socket first = feed.accept()) {
                assertEquals("SUB 0", line(first));
                first.getOutputStream().write(event(1));
                first.getOutputStream().write("7\n".getBytes(StandardCharsets.US_ASCII));
            }
            try (Socket second = feed.accept(); Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                // The bare number is no event that was had, and the one before the break was.
                assertEquals("SUB 1", line(second));
                client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_S));
                client.getOutputStream().write(ClientFrames.frame(ClientFrames.READINESS_REQUEST, 1, new byte[] {0}));
                assertEquals("7 1", frame(client));
                process.toHandle().destroy();
                assertEquals("9 -", frame(client));
            }
            assertEquals(0, end(process).code());
        }
    }

    /** SIGHUP, more than once: the numbers go on at the new address, and a bad file changes nothing. */
    @Test
    void theConfigurationIsReadAgainOnSighup() throws Exception {
        try (ServerSocket old = listening(); ServerSocket next = listening()) {
            Process process = start(config(0, old.getLocalPort()), "serve");
            try (Socket first = old.accept()) {
                assertEquals("SUB 0", line(first));
                first.getOutputStream().write(event(1));
                Files.writeString(folder.resolve("config.json"), config(0, next.getLocalPort()));
                hangUp(process);
                try (Socket second = next.accept()) {
                    assertEquals("SUB 1", line(second));
                    assertEquals(-1, first.getInputStream().read(), "it is still at the old address");
                    Files.writeString(folder.resolve("config.json"), "{");
                    hangUp(process);
                    String log = line(process);
                    while (!log.startsWith("cairnline: the old configuration stays: ROUTER_CONFIG")) {
                        log = line(process);
                    }
                    second.getOutputStream().write(event(2));
                    Files.writeString(folder.resolve("config.json"), config(0, old.getLocalPort()));
                    hangUp(process);
                    try (Socket third = old.accept()) {
                        assertEquals("SUB 2", line(third));
                    }
                }
            } finally {
                process.toHandle().destroy();
            }
            assertEquals(0, end(process).code());
        }
    }

    /** A feed that stops within a line and drips on must be left, though something always comes. */
    @Test
    void aFeedThatDripsIsLeftAndResumed() throws Exception {
        try (ServerSocket feed = listening()) {
            Process process = start(config(0, feed.getLocalPort()), "serve");
            try (Socket first = feed.accept()) {
                assertEquals("SUB 0", line(first));
                first.getOutputStream().write(event(1));
                first.setSoTimeout(100);
                for (int drip = 0; drip >= 0;) {
                    try {
                        drip = first.getInputStream().read();
                    } catch (SocketTimeoutException e) {
                        first.getOutputStream().write('1');
                    }
                }
                try (Socket second = feed.accept()) {
                    assertEquals("SUB 1", line(second));
                }
            } finally {
                process.toHandle().destroy();
            }
            assertEquals(0, end(process).code());
        }
    }

    private static ServerSocket listening() throws IOException {
        ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_S));
        return server;
    }

    private static byte[] event(int number) {
        return ("{\"n\":" + number + ",\"members\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s-1\","
                + "\"dial\":\"127.0.0.1:1\",\"site\":\"dc1\",\"class\":\"std16\",\"block\":0,"
                + "\"health\":\"in_service\",\"share\":4,\"born_ms\":0}]}}\n").getBytes(StandardCharsets.UTF_8);
    }

    private static void hangUp(Process process) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private static String line(Process process) throws IOException {
        return line(process.getInputStream());
    }

    private static String frame(Socket client) throws IOException {
        ClientFrames frames = new ClientFrames(1000);
        ClientFrames.Frame frame = null;
        while (frame == null) {
            frames.feed(client.getInputStream().readNBytes(1), 1);
            frame = frames.next();
        }
        return frame.type() + " " + (frame.payload().length > 0 ? frame.payload()[0] : "-");
    }
}
