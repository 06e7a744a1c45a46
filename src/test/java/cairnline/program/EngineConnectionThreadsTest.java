package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import cairnline.logs.EventSink;
import cairnline.pools.ConnectionBudget;
import cairnline.protocol.Resp;
import cairnline.routing.Clock;
import cairnline.routing.Dispatcher;
import cairnline.routing.EngineLink;
import cairnline.routing.Limits;
import cairnline.transport.ConnectionMemory;
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
 * Connections to engines use no threads, whether requests are outstanding on them or not. Guards against one reader thread per
 * connection: 120 processes with connections to 300 engines each exceeded the 32,768 threads of a machine, and processes failed
 * to start, exited or hung.
 */
class EngineConnectionThreadsTest {
    private static final int ENGINE_COUNT = 200;
    private static final long TIMEOUT_SECONDS = 20;

    @Test
    void idleConnectionsUseNoThreads() throws Exception {
        Configuration configuration = Configuration.of(Scenario.class.getResourceAsStream("/config.json").readAllBytes(),
                null);
        Limits limits = configuration.limits();
        Clock clock = new Clock();
        LinkedBlockingQueue<Map<String, Double>> reports = new LinkedBlockingQueue<>();
        ConnectionBudget<PooledLink.Connection> connectionBudget =
                new ConnectionBudget<>(ENGINE_COUNT, limits.engines().idleTimeout());
        Dispatcher dispatcher = new Dispatcher(configuration.settings(), configuration.seed(), limits, clock, line -> { },
                (engine, owner) -> null);
        List<Socket> acceptedSockets = new ArrayList<>();
        try (EventLoop loop = new EventLoop("connections", limits.routing().stackBytes(), clock);
                ServerSocket engineServer = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", engineServer.getLocalPort());
            loop.start();
            int threadsBefore = Thread.activeCount();
            List<EngineLink> links = new ArrayList<>();
            for (int i = 0; i < ENGINE_COUNT; i++) {
                EngineLink link = new RespLink("e" + i, address, dispatcher, limits, loop, connectionBudget,
                        ConnectionMemory.forEngines(limits), EventSink.NONE);
                links.add(link);
                link.probe(reports::add);
                Socket socket = engineServer.accept();
                acceptedSockets.add(socket);
                answerProbe(socket);
                assertNotNull(reports.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no answer to probe " + i);
            }
            assertEquals(ENGINE_COUNT, connectionBudget.size());
            assertEquals(threadsBefore, Thread.activeCount(), "threads while connected to each engine");
            // The connections are reused: a second probe opens no new one.
            for (int i = 0; i < ENGINE_COUNT; i++) {
                links.get(i).probe(reports::add);
                answerProbe(acceptedSockets.get(i));
                assertNotNull(reports.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no answer to the second probe " + i);
            }
            links.forEach(EngineLink::close);
        } finally {
            for (Socket socket : acceptedSockets) {
                socket.close();
            }
        }
    }

    private static void answerProbe(Socket socket) throws IOException {
        Resp resp = new Resp(3, 1_000);
        byte[] bytes = new byte[1_000];
        List<byte[]> parts = null;
        while (parts == null) {
            resp.feed(bytes, socket.getInputStream().read(bytes));
            parts = resp.next();
        }
        socket.getOutputStream().write(Resp.stringArray(new String(parts.get(1), StandardCharsets.UTF_8), "READY",
                "report=inflight:0;util:0.0", ""));
    }
}
