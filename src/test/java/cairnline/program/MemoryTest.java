package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.protocol.ClientFrames;
import cairnline.protocol.Resp;
import cairnline.standin.StandInFeed;
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
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that hold memory, beside one that goes on asking; the heap is that of {@code run}. */
class MemoryTest {
    private static final long LIMIT_S = 30;
    private static final int CLIENTS = 150;
    private static final int REQUESTS = 30;
    private static final int PAGE = 6_000;
    private static final int STATEMENT = 260_000;

    @TempDir
    Path folder;

    /** An engine each of whose answers is one full page. */
    private static final class LargeAnswers implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

        LargeAnswers() throws IOException {
            DaemonThreads.start("large answers", () -> {
                while (true) {
                    Socket socket = server.accept();
                    DaemonThreads.start("large answers", () -> serve(socket));
                }
            });
        }

        private static void serve(Socket socket) throws IOException {
            byte[] rows = new byte[PAGE];
            Arrays.fill(rows, (byte) 'x');
            rows[1] = '\t';
            rows[3] = '\t';
            rows[PAGE - 1] = '\n';
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

        private static void answer(Socket socket, List<byte[]> parts, byte[] rows) throws IOException {
            String word = new String(parts.get(0), StandardCharsets.UTF_8);
            byte[] id = parts.get(1);
            byte[] none = {};
            switch (word) {
                case "do" -> socket.getOutputStream().write(Resp.array(id, "ACK".getBytes(StandardCharsets.UTF_8),
                        "parts=8,work=1.0,peak=1".getBytes(StandardCharsets.UTF_8), rows));
                case "page" -> socket.getOutputStream().write(Resp.array(id, "BLOCK".getBytes(StandardCharsets.UTF_8),
                        ("part_no=" + new String(parts.get(2), StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8), rows));
                case "top" -> socket.getOutputStream().write(Resp.array(id, "READY".getBytes(StandardCharsets.UTF_8),
                        "report=inflight:0;util:0;x0:0;x1:0".getBytes(StandardCharsets.UTF_8), none));
                default -> { }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private ManagerProcess start(StandInFeed feed, LargeAnswers engine) throws Exception {
        feed.publish(true, List.of(new StandInFeed.EngineEntry("s-1", "127.0.0.1:" + engine.server.getLocalPort(), "in_service", 0)));
        ManagerProcess manager = new ManagerProcess(folder, 0, 1, feed.address(), null);
        manager.start();
        ReadinessCheck.await(manager.port(), LIMIT_S);
        return manager;
    }

    private static void assertServes(ManagerProcess manager) throws Exception {
        try (FrameClient client = new FrameClient(manager.port())) {
            for (int i = 0; i < REQUESTS; i++) {
                int code = client.ask("lookup", null, 7_000).code.get(LIMIT_S, TimeUnit.SECONDS);
                assertTrue(code != ClientFrames.CODE_FAILED, manager.readLog());
            }
        }
        assertEquals("", String.join("\n", manager.readLog().lines().filter(line -> line.contains("OutOfMemory")).toList()));
    }

    @Test
    void answersThatNobodyReadsEndNothing() throws Exception {
        try (LargeAnswers engine = new LargeAnswers(); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = start(feed, engine)) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Socket socket = new Socket();
                socket.setReceiveBufferSize(4_096);
                socket.connect(new InetSocketAddress("127.0.0.1", manager.port()));
                silent.add(socket);
                for (int stream = 1; stream <= REQUESTS; stream++) {
                    socket.getOutputStream().write(ClientFrames.request(stream, Map.of("op", "lookup", "ttl", "7000",
                            "call", String.format("%08x%08x", i + 1, stream), "work", "1.0"), "select 1".getBytes()));
                }
            }
            assertServes(manager);
            for (Socket socket : silent) {
                socket.close();
            }
            assertEquals(0, manager.stop(), manager.readLog());
        }
    }

    @Test
    void statementsThatAreHalfSentEndNothing() throws Exception {
        try (LargeAnswers engine = new LargeAnswers(); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = start(feed, engine)) {
            byte[] half = new byte[STATEMENT - 10_000];
            half[1] = (byte) (STATEMENT >> 16);
            half[2] = (byte) (STATEMENT >> 8);
            half[8] = 1;
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), manager.port());
                silent.add(socket);
                socket.getOutputStream().write(half);
            }
            assertServes(manager);
            for (Socket socket : silent) {
                socket.close();
            }
            assertEquals(0, manager.stop(), manager.readLog());
        }
    }
}
