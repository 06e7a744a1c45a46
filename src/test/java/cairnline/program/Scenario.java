package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.membership.ListedEngine;
import cairnline.program.Wire.Ask;
import cairnline.program.Wire.Heard;
import cairnline.program.Wire.Reader;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A small language for tests of the network code, one step a line, against real sockets on loopback:
 *
 * <pre>
 * list e1 ready|draining|gone     engine e1, which listens, is listed so; "list e1 down" lists one that does not listen
 * list e2@e1 ready                engine e2 is listed at e1's address
 * client a send lookup r1 [ttl]   client a (one connection) asks; "send load r1 KEY [ttl]" with a key
 * client a expect r1 served row   its next answer: served with a row, refused, failed or closed
 * client a close                  it hangs up
 * engine expect r1 [key|at e1]    the next request that any engine gets is r1
 * engine expect r1+r2             the next two are these, in any order
 * engine send r1 ok row           its answer: ok with a row, full or error
 * engine hear r1 undo             the next thing that an engine is told beside requests
 * engine mute                     from here on engines do not answer when they are asked for their load
 * engine keep r1 as old           from here on "engine send r1@old ..." answers on the connection that r1 has now
 * engine close r1                 the connection that brought r1 ends
 * client a raw 0a0b               bytes as they are
 * client a text GET /..           the same as text, with \r\n written out
 * client a hear words             its connection brings these words, sooner or later
 * client a connect                it connects and says nothing
 * client a flood                  it writes until its connection ends
 * client a finish                 it sends no more but still listens
 * wait connections 0              so many clients are connected
 * wait stopped                    the program is told to stop and has answered all that it took
 * </pre>
 *
 * Every step waits for its event, with a limit that only a fault reaches.
 */
final class Scenario implements AutoCloseable {
    private static final long LIMIT_S = 10;
    private static final long TTL_MS = 6_000;
    /** Far more than the buffers of a connection take. */
    private static final int FLOOD_BLOCKS = 4_096;

    private final Wire wire;
    private final Core core;
    private final int port;
    private final Map<String, ServerSocket> engines = new HashMap<>();
    private final Map<String, Client> clients = new HashMap<>();
    private final Map<String, Socket> holders = new ConcurrentHashMap<>();
    private final LinkedBlockingQueue<Heard> told = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean mute;

    private record Received(String engine, Socket socket, Heard heard) { }

    private record Client(Socket socket, LinkedBlockingQueue<Heard> answers, StringBuffer text) { }

    Scenario(Wire wire) throws IOException {
        this.wire = wire;
        Configuration configuration = Configuration.of(Scenario.class.getResourceAsStream("/config.json")
                .readAllBytes(), null);
        Clock clock = new Clock();
        core = new Core(configuration.settings(), configuration.seed(), configuration.limits(), clock, line -> { },
                (engine, owner) -> wire.link(engine, owner, configuration, clock));
        core.start();
        port = wire.start(core, configuration, clock);
    }

    /** Plays a scenario from its first step to its last. */
    static void play(Wire wire, String steps) throws Exception {
        try (Scenario scenario = new Scenario(wire)) {
            for (String step : steps.strip().split("\n")) {
                scenario.step(step.strip().split(" "), step.strip());
            }
        }
    }

    private void step(String[] w, String step) throws Exception {
        switch (w[0] + " " + (w[0].equals("client") ? w[2] : w[1])) {
            case "client send" -> send(w);
            case "client expect" -> answer(w, step);
            case "client close" -> clients.remove(w[1]).socket.close();
            case "engine expect" -> request(w, step);
            case "client raw" -> client(w[1]).socket.getOutputStream().write(HexFormat.of().parseHex(w[3]));
            case "client text" -> client(w[1]).socket.getOutputStream().write(step.split(" ", 4)[3]
                    .replace("\\r\\n", "\r\n").getBytes(StandardCharsets.UTF_8));
            case "client connect" -> client(w[1]);
            case "client flood" -> flood(client(w[1]).socket, step);
            case "client hear" -> hear(clients.get(w[1]).text, step.split(" ", 4)[3]);
            case "client finish" -> client(w[1]).socket.shutdownOutput();
            case "engine send" -> holders.get(w[2].substring(w[2].indexOf('@') + 1)).getOutputStream()
                    .write(wire.reply(w[2].split("@")[0], w[3], w.length > 4 ? w[4] : ""));
            case "engine hear" -> told(w, step);
            case "engine mute" -> mute = true;
            case "engine keep" -> holders.put(w[4], holders.get(w[2]));
            case "wait connections" -> until(() -> wire.connections() == Integer.parseInt(w[2]), step);
            case "engine close" -> reset(holders.get(w[2]));
            case "wait stopped" -> stopped();
            default -> {
                assertEquals("list", w[0], "no such step: " + step);
                list(w[1], w[2]);
            }
        }
    }

    private void send(String[] w) throws IOException {
        boolean keyed = w[3].equals("load");
        int ttlAt = keyed ? 6 : 5;
        Ask ask = new Ask(w[4], w[3], keyed ? w[5] : null, w.length > ttlAt ? Long.parseLong(w[ttlAt]) : TTL_MS);
        client(w[1]).socket.getOutputStream().write(wire.ask(ask));
    }

    private Client client(String name) throws IOException {
        Client client = clients.get(name);
        if (client == null) {
            client = new Client(new Socket(InetAddress.getLoopbackAddress(), port), new LinkedBlockingQueue<>(),
                    new StringBuffer());
            clients.put(name, client);
            sockets.add(client.socket);
            Client opened = client;
            Reader reader = wire.clientReader();
            read(client.socket, (bytes, count) -> {
                opened.text.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
                return reader.read(bytes, count);
            }, opened.answers::add, () -> opened.answers.add(new Heard("-", "closed", "-")));
        }
        return client;
    }

    private static void flood(Socket socket, String step) throws IOException {
        byte[] block = new byte[65_536];
        try {
            for (int i = 0; i < FLOOD_BLOCKS; i++) {
                socket.getOutputStream().write(block);
            }
        } catch (SocketException e) {
            return;
        }
        fail("all of it was read: " + step);
    }

    /** Words once heard are taken off, with all before them. */
    private static void hear(StringBuffer text, String words) {
        until(() -> text.indexOf(words) >= 0, words + " in " + text);
        text.delete(0, text.indexOf(words) + words.length());
    }

    private static void until(BooleanSupplier held, String step) {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (!held.getAsBoolean()) {
            assertTrue(System.nanoTime() < limit, "never came: " + step);
            Thread.onSpinWait();
        }
    }

    private void told(String[] w, String step) throws InterruptedException {
        Heard heard = told.poll(LIMIT_S, TimeUnit.SECONDS);
        assertNotNull(heard, "nothing came: " + step);
        assertEquals(w[2] + " " + w[3], heard.name() + " " + heard.outcome(), step);
    }

    private void answer(String[] w, String step) throws InterruptedException {
        Heard heard = clients.get(w[1]).answers.poll(LIMIT_S, TimeUnit.SECONDS);
        assertNotNull(heard, "nothing came: " + step);
        assertEquals(w[4], heard.outcome(), step);
        if (!heard.name().equals("-")) {
            assertEquals(w[3], heard.name(), step);
        }
        if (w[4].equals("served")) {
            assertEquals(w[3] + " " + w[5], heard.name() + " " + heard.detail(), step);
        }
    }

    private void request(String[] w, String step) throws InterruptedException {
        Set<String> missing = new HashSet<>(List.of(w[2].split("\\+")));
        Received next = null;
        while (!missing.isEmpty()) {
            next = received.poll(LIMIT_S, TimeUnit.SECONDS);
            assertNotNull(next, "nothing came: " + step);
            assertTrue(missing.remove(next.heard.name()), step + ", but it was " + next.heard.name());
            holders.put(next.heard.name(), next.socket);
        }
        if (w.length > 4) {
            assertEquals(w[4], next.engine, step);
        } else if (w.length > 3) {
            assertEquals(w[3], next.heard.detail(), step);
        }
    }

    /** As a process that dies does. */
    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void stopped() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        wire.stopping();
        core.stopping(done::countDown);
        assertTrue(done.await(LIMIT_S, TimeUnit.SECONDS), "something that was taken is still open");
    }

    private void list(String name, String state) throws IOException {
        String[] at = name.split("@");
        ServerSocket server = engines.get(at[at.length - 1]);
        if (server == null) {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            engines.put(name, server);
            if (state.equals("down")) {
                server.close();
            } else {
                serve(name, server);
            }
        }
        EngineStatus listed = switch (state) {
            case "draining" -> EngineStatus.DRAINING;
            case "gone" -> EngineStatus.REMOVED;
            default -> EngineStatus.READY;
        };
        core.listed(false, List.of(new ListedEngine(at[0], "127.0.0.1:" + server.getLocalPort(), listed, "dc1",
                "std16", 0, 1, 0)));
    }

    private void serve(String name, ServerSocket server) {
        daemon(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                synchronized (sockets) {
                    sockets.add(socket);
                }
                read(socket, wire.engineReader(), heard -> {
                    if (heard.outcome().equals("asked")) {
                        received.add(new Received(name, socket, heard));
                    } else if (heard.outcome().equals("top")) {
                        tellLoad(socket, heard.name());
                    } else {
                        told.add(heard);
                    }
                }, () -> { });
            }
        });
    }

    private void tellLoad(Socket socket, String tag) {
        try {
            if (!mute) {
                socket.getOutputStream().write(wire.reply(tag, "ready", ""));
            }
        } catch (IOException e) {
            // The connection has ended meanwhile.
        }
    }

    private static void read(Socket socket, Reader reader, Consumer<Heard> take, Runnable ended) {
        daemon(() -> {
            try {
                InputStream in = socket.getInputStream();
                byte[] bytes = new byte[8192];
                for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                    reader.read(bytes, count).forEach(take);
                }
            } finally {
                ended.run();
            }
        });
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The scenario has closed the socket.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : engines.values()) {
            server.close();
        }
        wire.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
