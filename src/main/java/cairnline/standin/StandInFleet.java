package cairnline.standin;

import cairnline.protocol.ProtocolException;
import cairnline.protocol.Resp;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

/**
 * Hundreds of stand-in engines on loopback ports, served by one thread. They answer each query at once with one row, and
 * each probe as an idle engine. For tests of fleet size; {@link StandInRespEngine} models an engine under load. Public
 * methods may be called from any thread and wait for the serving thread.
 */
public final class StandInFleet implements AutoCloseable {
    private static final int ACCEPT_BACKLOG = 64;
    private static final int MAX_COMMAND_PARTS = 5;
    private static final int MAX_PART_BYTES = 300_000;
    private static final int READ_BUFFER_BYTES = 65_536;

    private final Selector selector = Selector.open();
    private final List<Engine> engines = new ArrayList<>();
    private final ConcurrentLinkedQueue<Task> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final Thread thread = new Thread(this::run, "stand-in fleet");
    private int pendingResets;
    private volatile boolean closed;

    private interface Task {
        void run() throws IOException;
    }

    private static final class Engine {
        final int port;
        ServerSocketChannel server;
        final List<SocketChannel> connections = new ArrayList<>();
        int queryCount;

        Engine(int port) {
            this.port = port;
        }
    }

    private record Connection(Engine engine, Resp commands) { }

    /** Starts engines on free ports. */
    public StandInFleet(int engineCount) throws IOException {
        for (int i = 0; i < engineCount; i++) {
            ServerSocketChannel server = open(0);
            Engine engine = new Engine(((InetSocketAddress) server.getLocalAddress()).getPort());
            listen(engine, server);
            engines.add(engine);
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address of the engine with this index, as {@code host:port}. */
    public String address(int engine) {
        return "127.0.0.1:" + engines.get(engine).port;
    }

    /** Simulates a crash of engines {@code from} to {@code to} (exclusive): resets connections and closes the ports. */
    public void kill(int from, int to) throws InterruptedException {
        runOnServingThread(() -> {
            for (Engine engine : engines.subList(from, to)) {
                engine.server.close();
                for (SocketChannel channel : engine.connections) {
                    reset(channel);
                }
                engine.connections.clear();
            }
            // A closed port becomes free only after the next selection deregisters its channel.
            selector.selectNow();
        });
    }

    /** Restarts killed engines {@code from} to {@code to} (exclusive) at the same ports. */
    public void restart(int from, int to) throws InterruptedException {
        runOnServingThread(() -> {
            for (Engine engine : engines.subList(from, to)) {
                listen(engine, open(engine.port));
            }
        });
    }

    /** Answers the given number of next queries by resetting their connections. */
    public void resetNextQueries(int queries) throws InterruptedException {
        runOnServingThread(() -> pendingResets = queries);
    }

    /** Returns the number of open connections to all engines together. */
    public int connectionCount() throws InterruptedException {
        int[] count = {0};
        runOnServingThread(() -> count[0] = engines.stream().mapToInt(engine -> engine.connections.size()).sum());
        return count[0];
    }

    /** Returns the number of engines that have received at least one query. */
    public int queriedEngineCount() throws InterruptedException {
        int[] count = {0};
        runOnServingThread(() -> count[0] = (int) engines.stream().filter(engine -> engine.queryCount > 0).count());
        return count[0];
    }

    private void runOnServingThread(Task task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        IOException[] failure = {null};
        tasks.add(() -> {
            try {
                task.run();
            } catch (IOException e) {
                failure[0] = e;
            }
            done.countDown();
        });
        selector.wakeup();
        done.await();
        if (failure[0] != null) {
            throw new IllegalStateException(failure[0]);
        }
    }

    private static ServerSocketChannel open(int port) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), ACCEPT_BACKLOG);
        server.configureBlocking(false);
        return server;
    }

    private void listen(Engine engine, ServerSocketChannel server) throws IOException {
        engine.server = server;
        server.register(selector, SelectionKey.OP_ACCEPT, engine);
    }

    private void run() {
        while (!closed) {
            try {
                selector.select();
                for (Task task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.isAcceptable()) {
                        accept((Engine) key.attachment());
                    } else if (key.isValid()) {
                        serve((SocketChannel) key.channel(), (Connection) key.attachment());
                    }
                }
                selector.selectedKeys().clear();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private void accept(Engine engine) throws IOException {
        SocketChannel channel = engine.server.accept();
        if (channel != null) {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.register(selector, SelectionKey.OP_READ,
                    new Connection(engine, new Resp(MAX_COMMAND_PARTS, MAX_PART_BYTES)));
            engine.connections.add(channel);
        }
    }

    private void serve(SocketChannel channel, Connection connection) throws IOException {
        try {
            int count = channel.read(readBuffer.clear());
            if (count < 0) {
                throw new IOException("connection closed by the client");
            }
            connection.commands.feed(readBuffer.array(), count);
            for (List<byte[]> parts = connection.commands.next(); parts != null; parts = connection.commands.next()) {
                answer(channel, connection.engine, parts.stream().map(p -> new String(p, StandardCharsets.UTF_8)).toList());
            }
        } catch (IOException | ProtocolException e) {
            connection.engine.connections.remove(channel);
            channel.close();
        }
    }

    private void answer(SocketChannel channel, Engine engine, List<String> command) throws IOException {
        String id = command.get(1);
        if (command.get(0).equals("top")) {
            channel.write(ByteBuffer.wrap(Resp.stringArray(id, "READY", "report=inflight:0;util:0;x0:0;x1:0", "")));
        } else if (command.get(0).equals("do") && pendingResets > 0) {
            pendingResets--;
            reset(channel);
            engine.connections.remove(channel);
        } else if (command.get(0).equals("do")) {
            engine.queryCount++;
            channel.write(ByteBuffer.wrap(Resp.stringArray(id, "ACK", "parts=1,work=20.0,peak=8", "row-of-" + id + "\t\t\n")));
        }
    }

    private static void reset(SocketChannel channel) throws IOException {
        if (channel.isOpen()) {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            channel.close();
        }
    }

    @Override
    public void close() throws IOException {
        try {
            kill(0, engines.size());
            closed = true;
            selector.wakeup();
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        selector.close();
    }
}
