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

/** Tests the program as a process, as operators run it: environment, exit codes, control feed and signals. */
class ProgramTest {
    private static final long TIMEOUT_SECONDS = 30;

    @TempDir
    Path folder;

    private record ExitResult(int code, String output) { }

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

    private static ExitResult awaitExit(Process process) throws IOException, InterruptedException {
        assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the process is still running");
        return new ExitResult(process.exitValue(),
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip());
    }

    private static String configJson(int port, int feedPort) throws IOException {
        return new String(ProgramTest.class.getResourceAsStream("/config.json").readAllBytes(),
                StandardCharsets.UTF_8).replace("127.0.0.1:0", "127.0.0.1:" + port)
                .replace("127.0.0.1:1\"", "127.0.0.1:" + feedPort + "\"");
    }

    private static String readLine(Socket socket) throws IOException {
        return readLine(socket.getInputStream());
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            assertTrue(c >= 0, "end of stream after: " + line);
            line.append((char) c);
        }
        return line.toString();
    }

    @Test
    void reportsInvalidConfigurationInOneLineAndExitsWithTwo() throws Exception {
        ExitResult invalidValue = awaitExit(start("{\"listen\":7}", "serve"));
        assertEquals(new ExitResult(2, "cairnline: listen: is missing or is not text"), invalidValue);
        ExitResult invalidJson = awaitExit(start("{", "serve"));
        assertEquals(2, invalidJson.code());
        assertTrue(invalidJson.output().startsWith("cairnline: ROUTER_CONFIG"), invalidJson.output());
    }

    @Test
    void simulatorAdapterExitsAtEndOfInput() throws Exception {
        Process process = start(null, "simhost");
        process.getOutputStream().write("TURN atTimeNs=5\nGO\n".getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().close();
        assertEquals(new ExitResult(0, "OK"), awaitExit(process));
    }

    /** The feed is resumed after the last event; on SIGTERM clients are notified and the exit code is 0. */
    @Test
    void resumesFeedAfterReconnectAndExitsOnSigterm() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        try (ServerSocket feed = listen()) {
            Process process = start(configJson(port, feed.getLocalPort()), "serve");
            try (Socket first = feed.accept()) {
                assertEquals("SUB 0", readLine(first));
                first.getOutputStream().write(feedEvent(1));
                first.getOutputStream().write("7\n".getBytes(StandardCharsets.US_ASCII));
            }
            try (Socket second = feed.accept(); Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                // The bare number 7 is a heartbeat and counts for nothing; event 1 was received before the disconnect.
                assertEquals("SUB 1", readLine(second));
                client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
                client.getOutputStream().write(ClientFrames.frame(ClientFrames.READINESS_REQUEST, 1, new byte[] {0}));
                assertEquals("7 1", readFrame(client));
                process.toHandle().destroy();
                assertEquals("9 -", readFrame(client));
            }
            assertEquals(0, awaitExit(process).code());
        }
    }

    /** Several SIGHUPs: event numbers continue at the new feed address, and an invalid file changes nothing. */
    @Test
    void reloadsConfigurationOnSighup() throws Exception {
        try (ServerSocket oldFeed = listen(); ServerSocket newFeed = listen()) {
            Process process = start(configJson(0, oldFeed.getLocalPort()), "serve");
            try (Socket first = oldFeed.accept()) {
                assertEquals("SUB 0", readLine(first));
                first.getOutputStream().write(feedEvent(1));
                Files.writeString(folder.resolve("config.json"), configJson(0, newFeed.getLocalPort()));
                sendSighup(process);
                try (Socket second = newFeed.accept()) {
                    assertEquals("SUB 1", readLine(second));
                    // The new address has told nothing yet, so what the old one tells still counts.
                    first.getOutputStream().write(feedEvent(2));
                }
                try (Socket second = newFeed.accept()) {
                    assertEquals("SUB 2", readLine(second));
                    second.getOutputStream().write("2\n".getBytes(StandardCharsets.US_ASCII));
                    assertEquals(-1, first.getInputStream().read(), "still connected to the old address");
                    Files.writeString(folder.resolve("config.json"), "{");
                    sendSighup(process);
                    String logLine = readLine(process);
                    while (!logLine.startsWith("cairnline: the old configuration stays: ROUTER_CONFIG")) {
                        logLine = readLine(process);
                    }
                    second.getOutputStream().write(feedEvent(3));
                    Files.writeString(folder.resolve("config.json"), configJson(0, oldFeed.getLocalPort()));
                    sendSighup(process);
                    try (Socket third = oldFeed.accept()) {
                        assertEquals("SUB 3", readLine(third));
                    }
                }
            } finally {
                process.toHandle().destroy();
            }
            assertEquals(0, awaitExit(process).code());
        }
    }

    /**
     * A feed that never completes a line must be replaced, although it keeps sending single bytes, and be disconnected once
     * another subscription tells a line.
     */
    @Test
    void reconnectsToFeedThatNeverCompletesLine() throws Exception {
        try (ServerSocket feed = listen()) {
            Process process = start(configJson(0, feed.getLocalPort()), "serve");
            try (Socket first = feed.accept()) {
                assertEquals("SUB 0", readLine(first));
                first.getOutputStream().write(feedEvent(1));
                try (Socket second = acceptWhileSending(feed, first)) {
                    assertEquals("SUB 1", readLine(second));
                    second.getOutputStream().write("1\n".getBytes(StandardCharsets.US_ASCII));
                    assertEquals(-1, first.getInputStream().read(), "still connected to the feed that never completes a line");
                }
            } finally {
                process.toHandle().destroy();
            }
            assertEquals(0, awaitExit(process).code());
        }
    }

    /** Accepts the next subscription while single bytes are sent to the previous one. */
    private static Socket acceptWhileSending(ServerSocket feed, Socket previous) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        feed.setSoTimeout(100);
        while (System.nanoTime() < deadline) {
            try {
                return feed.accept();
            } catch (SocketTimeoutException e) {
                previous.getOutputStream().write('1');
            }
        }
        throw new AssertionError("no other subscription was opened");
    }

    private static ServerSocket listen() throws IOException {
        ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        return server;
    }

    private static byte[] feedEvent(int number) {
        return ("{\"n\":" + number + ",\"members\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s-1\","
                + "\"dial\":\"127.0.0.1:1\",\"site\":\"dc1\",\"class\":\"std16\",\"block\":0,"
                + "\"health\":\"in_service\",\"share\":4,\"born_ms\":0}]}}\n").getBytes(StandardCharsets.UTF_8);
    }

    private static void sendSighup(Process process) throws IOException, InterruptedException {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private static String readLine(Process process) throws IOException {
        return readLine(process.getInputStream());
    }

    /** Reads one frame; returns its type and the first byte of its payload, or "-" without payload. */
    private static String readFrame(Socket client) throws IOException {
        ClientFrames frames = new ClientFrames(1000);
        ClientFrames.Frame frame = null;
        while (frame == null) {
            frames.feed(client.getInputStream().readNBytes(1), 1);
            frame = frames.next();
        }
        return frame.type() + " " + (frame.payload().length > 0 ? frame.payload()[0] : "-");
    }
}
