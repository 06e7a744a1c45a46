package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.protocol.ClientFrames;
import cairnline.protocol.Resp;
import cairnline.standin.StandInFeed;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Requests of a client do not fail while stalled clients make the workload manager hold answers or incomplete statements in
 * memory. The process runs with its production heap size.
 */
class MemoryTest {
    private static final long TIMEOUT_SECONDS = 30;
    private static final int STALLED_CLIENTS = 150;
    private static final int REQUESTS_PER_CLIENT = 30;
    private static final int PAGE_BYTES = 6_000;
    private static final int STATEMENT_BYTES = 260_000;
    /** Their statements together exceed the heap. */
    private static final int LARGE_REQUESTS = 300;
    private static final int GREEDY_CLIENTS = 40;
    /** Four times what the system's buffers of one connection hold at most. */
    private static final int GREEDY_REQUESTS = 400;
    private static final int GREEDY_BATCH = 16;
    private static final int LARGE_FRAME_CLIENTS = 250;
    /** The greatest length of a frame, and the four bytes that hold it. */
    private static final int LARGEST_FRAME_BYTES = 262_144 + 4;

    @TempDir
    Path folder;

    /** An engine that answers each request with eight full pages. */
    private static final class LargeAnswerEngine implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        /** Ids of the requests of which a page was asked for. */
        private final Set<String> served = new HashSet<>();

        LargeAnswerEngine() throws IOException {
            DaemonThreads.start("large answers", () -> {
                while (true) {
                    Socket socket = server.accept();
                    DaemonThreads.start("large answers", () -> serve(socket));
                }
            });
        }

        /** Waits until the request is served; false if the engine was closed before. */
        synchronized boolean awaitServed(String id) throws InterruptedException {
            while (!served.contains(id) && !server.isClosed()) {
                wait();
            }
            return !server.isClosed();
        }

        synchronized int servedCount() {
            return served.size();
        }

        private synchronized void noteServed(String id) {
            served.add(id);
            notifyAll();
        }

        private void serve(Socket socket) throws IOException {
            byte[] rows = new byte[PAGE_BYTES];
            Arrays.fill(rows, (byte) 'x');
            rows[1] = '\t';
            rows[3] = '\t';
            rows[PAGE_BYTES - 1] = '\n';
            Resp resp = new Resp(5, 300_000);
            byte[] bytes = new byte[8_192];
            InputStream in = socket.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                resp.feed(bytes, count);
                for (List<byte[]> parts = resp.next(); parts != null; parts = resp.next()) {
                    answer(socket, parts, rows);
                }
            }
        }

        private void answer(Socket socket, List<byte[]> parts, byte[] rows) throws IOException {
            String command = new String(parts.get(0), StandardCharsets.UTF_8);
            byte[] id = parts.get(1);
            byte[] emptyBody = {};
            switch (command) {
                case "do" -> socket.getOutputStream().write(Resp.array(id, "ACK".getBytes(StandardCharsets.UTF_8),
                        "parts=8,work=1.0,peak=1".getBytes(StandardCharsets.UTF_8), rows));
                case "page" -> {
                    socket.getOutputStream().write(Resp.array(id, "BLOCK".getBytes(StandardCharsets.UTF_8),
                            ("part_no=" + new String(parts.get(2), StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8),
                            rows));
                    noteServed(new String(id, StandardCharsets.UTF_8));
                }
                case "top" -> socket.getOutputStream().write(Resp.array(id, "READY".getBytes(StandardCharsets.UTF_8),
                        "report=inflight:0;util:0;x0:0;x1:0".getBytes(StandardCharsets.UTF_8), emptyBody));
                default -> { }
            }
        }

        @Override
        public synchronized void close() throws IOException {
            server.close();
            notifyAll();
        }
    }

    private ManagerProcess start(StandInFeed feed, LargeAnswerEngine engine) throws Exception {
        feed.publish(true, List.of(new StandInFeed.EngineEntry("s-1", "127.0.0.1:" + engine.server.getLocalPort(),
                "in_service", 0)));
        ManagerProcess manager = new ManagerProcess(folder, 0, 1, feed.address(), null);
        manager.start();
        ReadinessCheck.await(manager.port(), TIMEOUT_SECONDS);
        return manager;
    }

    private static byte[] largestFrame(int stream, Map<String, String> fields) {
        byte[] statement = new byte[LARGEST_FRAME_BYTES - ClientFrames.request(stream, fields, new byte[0]).length];
        Arrays.fill(statement, (byte) 'x');
        return ClientFrames.request(stream, fields, statement);
    }

    private static void assertServes(ManagerProcess manager) throws Exception {
        try (FrameClient client = new FrameClient(manager.port())) {
            for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                int code = client.send("lookup", null, 7_000).code.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                assertTrue(code != ClientFrames.CODE_FAILED, manager.readLog());
            }
        }
        assertEquals("", String.join("\n", manager.readLog().lines().filter(line -> line.contains("OutOfMemory")).toList()));
    }

    @Test
    void survivesClientsThatDoNotReadAnswers() throws Exception {
        try (LargeAnswerEngine engine = new LargeAnswerEngine(); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = start(feed, engine)) {
            List<Socket> stalledConnections = new ArrayList<>();
            for (int i = 0; i < STALLED_CLIENTS; i++) {
                Socket socket = new Socket();
                socket.setReceiveBufferSize(4_096);
                socket.connect(new InetSocketAddress("127.0.0.1", manager.port()));
                stalledConnections.add(socket);
                for (int stream = 1; stream <= REQUESTS_PER_CLIENT; stream++) {
                    socket.getOutputStream().write(ClientFrames.request(stream, Map.of("op", "lookup", "ttl", "7000",
                            "call", String.format("%08x%08x", i + 1, stream), "work", "1.0"), "select 1".getBytes()));
                }
            }
            assertServes(manager);
            for (Socket socket : stalledConnections) {
                socket.close();
            }
            assertEquals(0, manager.stop(), manager.readLog());
        }
    }

    /**
     * Guards against answers that wait for clients which go on sending but never read. The system's socket buffers hold some
     * megabytes for each of them, so that the process has to hold answers only after that.
     */
    @Test
    void survivesClientsThatKeepSendingAndNeverRead() throws Exception {
        try (LargeAnswerEngine engine = new LargeAnswerEngine(); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = start(feed, engine)) {
            List<Socket> connections = new ArrayList<>();
            for (int i = 0; i < GREEDY_CLIENTS; i++) {
                Socket socket = new Socket();
                socket.setReceiveBufferSize(4_096);
                socket.connect(new InetSocketAddress("127.0.0.1", manager.port()));
                connections.add(socket);
                int number = i + 1;
                DaemonThreads.start("greedy", () -> sendWithoutReading(socket, number, engine));
            }
            int servedBefore;
            do {
                servedBefore = engine.servedCount();
                assertServes(manager);
            } while (engine.servedCount() > servedBefore + REQUESTS_PER_CLIENT);
            for (Socket socket : connections) {
                socket.close();
            }
            assertEquals(0, manager.stop(), manager.readLog());
        }
    }

    /** Sends requests in batches, each once the last request of the batch before is served; ends with the engine. */
    private static void sendWithoutReading(Socket socket, int number, LargeAnswerEngine engine) throws IOException {
        try {
            for (int stream = 1; stream <= GREEDY_REQUESTS; stream++) {
                String id = String.format("%08x%08x", number, stream);
                socket.getOutputStream().write(ClientFrames.request(stream,
                        Map.of("op", "lookup", "ttl", "7000", "call", id, "work", "1.0"), "select 1".getBytes()));
                if (stream % GREEDY_BATCH == 0 && !engine.awaitServed(id)) {
                    return;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against timers that hold a request until its deadline, however early it was answered. */
    @Test
    void survivesLargeRequestsThatAreAnsweredLongBeforeTheirDeadline() throws Exception {
        try (LargeAnswerEngine engine = new LargeAnswerEngine(); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = start(feed, engine); Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", manager.port()));
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            DataInputStream answers = new DataInputStream(socket.getInputStream());
            for (int stream = 1; stream <= LARGE_REQUESTS; stream++) {
                socket.getOutputStream().write(largestFrame(stream, Map.of("op", "lookup", "ttl", "3600000",
                        "call", String.format("%016x", stream), "work", "1.0")));
                byte[] answer = new byte[answers.readInt()];
                answers.readFully(answer);
                assertEquals(ClientFrames.CODE_SERVED, answer[5], manager.readLog());
            }
            assertServes(manager);
            assertEquals(0, manager.stop(), manager.readLog());
        }
    }

    /** Guards against connections that keep the buffer of their largest frame: 250 of those exceed the heap. */
    @Test
    void survivesClientsThatStayConnectedAfterTheirLargestFrame() throws Exception {
        try (LargeAnswerEngine engine = new LargeAnswerEngine(); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = start(feed, engine)) {
            byte[] frame = largestFrame(1, Map.of("op", "no-such-class", "ttl", "7000", "call", "00000000000000ff"));
            List<Socket> connections = new ArrayList<>();
            for (int i = 0; i < LARGE_FRAME_CLIENTS; i++) {
                Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), manager.port());
                connections.add(socket);
                socket.getOutputStream().write(frame);
                assertEquals(ClientFrames.ANSWER, socket.getInputStream().readNBytes(5)[4], manager.readLog());
            }
            assertServes(manager);
            for (Socket socket : connections) {
                socket.close();
            }
            assertEquals(0, manager.stop(), manager.readLog());
        }
    }

    @Test
    void survivesClientsThatSendIncompleteStatements() throws Exception {
        try (LargeAnswerEngine engine = new LargeAnswerEngine(); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = start(feed, engine)) {
            byte[] incompleteFrame = new byte[STATEMENT_BYTES - 10_000];
            incompleteFrame[1] = (byte) (STATEMENT_BYTES >> 16);
            incompleteFrame[2] = (byte) (STATEMENT_BYTES >> 8);
            incompleteFrame[8] = 1;
            List<Socket> stalledConnections = new ArrayList<>();
            for (int i = 0; i < STALLED_CLIENTS; i++) {
                Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), manager.port());
                stalledConnections.add(socket);
                socket.getOutputStream().write(incompleteFrame);
            }
            assertServes(manager);
            for (Socket socket : stalledConnections) {
                socket.close();
            }
            assertEquals(0, manager.stop(), manager.readLog());
        }
    }
}
