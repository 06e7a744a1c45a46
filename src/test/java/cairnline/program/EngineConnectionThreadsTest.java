package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import cairnline.logs.Events;
import cairnline.pools.ConnectionBudget;
import cairnline.protocol.Resp;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.EngineLink;
import cairnline.routing.Limits;
import cairnline.transport.EventLoop;
import cairnline.transport.PooledLink;
import cairnline.transport.RespLink;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Connections to engines cost no thread, whether anything is open on them or not. Each of 120 programs with one to each of 300
 * engines had 300 readers: more than the 32,768 threads of a machine, and programs failed to start, ended or hung.
 */
class EngineConnectionThreadsTest {
    private static final int ENGINES = 200;
    private static final long LIMIT_S = 20;

    @Test
    void connectionsThatAreIdleHaveNoThread() throws Exception {
        Configuration configuration = Configuration.of(Scenario.class.getResourceAsStream("/config.json").readAllBytes(),
                null);
        Limits limits = configuration.limits();
        Clock clock = new Clock();
        LinkedBlockingQueue<Map<String, Double>> reports = new LinkedBlockingQueue<>();
        ConnectionBudget<PooledLink.Connection> connections = new ConnectionBudget<>(ENGINES, limits.engines().idle());
        Core core = new Core(configuration.settings(), configuration.seed(), limits, clock, line -> { },
                (engine, owner) -> null);
        List<Socket> accepted = new ArrayList<>();
        try (EventLoop loop = new EventLoop("connections", limits.routing().stackBytes(), clock);
                ServerSocket engine = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", engine.getLocalPort());
            loop.start();
            int threads = Thread.activeCount();
            List<EngineLink> links = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                EngineLink link = new RespLink("e" + i, address, core, limits, loop, connections, Events.NONE);
                links.add(link);
                link.probe(reports::add);
                Socket socket = engine.accept();
                accepted.add(socket);
                answer(socket);
                assertNotNull(reports.poll(LIMIT_S, TimeUnit.SECONDS), "an answer to probe " + i);
            }
            assertEquals(ENGINES, connections.size());
            assertEquals(threads, Thread.activeCount(), "threads with a connection to each engine");
            // They are as good as before: no further one is opened.
            for (int i = 0; i < ENGINES; i++) {
                links.get(i).probe(reports::add);
                answer(accepted.get(i));
                assertNotNull(reports.poll(LIMIT_S, TimeUnit.SECONDS), "an answer to the second probe " + i);
            }
            links.forEach(EngineLink::close);
        } finally {
            for (Socket socket : accepted) {
                socket.close();
            }
        }
    }

    private static void answer(Socket socket) throws IOException {
        Resp resp = new Resp(3, 1_000);
        byte[] bytes = new byte[1_000];
        List<byte[]> parts = null;
        while (parts == null) {
            resp.feed(bytes, socket.getInputStream().read(bytes));
            parts = resp.next();
        }
        socket.getOutputStream().write(Resp.words(new String(parts.get(1), StandardCharsets.UTF_8), "READY",
                "report=inflight:0;util:0.0", ""));
    }
}
