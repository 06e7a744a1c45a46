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
 * Hundreds of stand-in engines on loopback ports, all in one thread: they answer each query at once with one row, and
 * each probe as idle. For tests of size; what an engine does under load is {@link StandInRespEngine}'s.
 */
public final class StandInFleet implements AutoCloseable {
    private static final int BACKLOG = 64;
    private static final int PARTS_MOST = 5;
    private static final int PART_MOST = 300_000;
    private static final int READ_SIZE = 65_536;

    private final Selector selector = Selector.open();
    private final List<Place> places = new ArrayList<>();
    private final ConcurrentLinkedQueue<Task> tasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer read = ByteBuffer.allocate(READ_SIZE);
    private final Thread thread = new Thread(this::run, "stand-in fleet");
    private int resets;
    private volatile boolean closed;

    private interface Task {
        void run() throws IOException;
    }

    /** An engine's port, and what is connected there. */
    private static final class Place {
        final int port;
        ServerSocketChannel server;
        final List<SocketChannel> connected = new ArrayList<>();
        int asked;

        Place(int port) {
            this.port = port;
        }
    }

    private record Connection(Place place, Resp commands) { }

    /** So many engines. */
    public StandInFleet(int engines) throws IOException {
        for (int i = 0; i < engines; i++) {
            ServerSocketChannel server = open(0);
            Place place = new Place(((InetSocketAddress) server.getLocalAddress()).getPort());
            listen(place, server);
            places.add(place);
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Where this engine listens. */
    public String address(int engine) {
        return "127.0.0.1:" + places.get(engine).port;
    }

    /** The engines from one to before another end as processes that die do: connections are reset, ports refuse. */
    public void kill(int from, int to) throws InterruptedException {
        onThread(() -> {
            for (Place place : places.subList(from, to)) {
                place.server.close();
                for (SocketChannel channel : place.connected) {
                    reset(channel);
                }
                place.connected.clear();
            }
            // A port is free once the selector has let go of it.
            selector.selectNow();
        });
    }

    /** They come back at the same ports. */
    public void restart(int from, int to) throws InterruptedException {
        onThread(() -> {
            for (Place place : places.subList(from, to)) {
                listen(place, open(place.port));
            }
        });
    }

    /** The next so many queries are answered by a reset of their connection. */
    public void resetNextQueries(int queries) throws InterruptedException {
        onThread(() -> resets = queries);
    }

    /** How many connections are open to all engines together. */
    public int connectionCount() throws InterruptedException {
        int[] count = {0};
        onThread(() -> count[0] = places.stream().mapToInt(place -> place.connected.size()).sum());
        return count[0];
    }

    /** How many engines have had a query. */
    public int queriedEngineCount() throws InterruptedException {
        int[] count = {0};
        onThread(() -> count[0] = (int) places.stream().filter(place -> place.asked > 0).count());
        return count[0];
    }

    private void onThread(Task task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        IOException[] failed = {null};
        tasks.add(() -> {
            try {
                task.run();
            } catch (IOException e) {
                failed[0] = e;
            }
            done.countDown();
        });
        selector.wakeup();
        done.await();
        if (failed[0] != null) {
            throw new IllegalStateException(failed[0]);
        }
    }

    private static ServerSocketChannel open(int port) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG);
        server.configureBlocking(false);
        return server;
    }

    private void listen(Place place, ServerSocketChannel server) throws IOException {
        place.server = server;
        server.register(selector, SelectionKey.OP_ACCEPT, place);
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
                        accept((Place) key.attachment());
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

    private void accept(Place place) throws IOException {
        SocketChannel channel = place.server.accept();
        if (channel != null) {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.register(selector, SelectionKey.OP_READ, new Connection(place, new Resp(PARTS_MOST, PART_MOST)));
            place.connected.add(channel);
        }
    }

    private void serve(SocketChannel channel, Connection connection) throws IOException {
        try {
            int count = channel.read(read.clear());
            if (count < 0) {
                throw new IOException("closed");
            }
            connection.commands.feed(read.array(), count);
            for (List<byte[]> parts = connection.commands.next(); parts != null; parts = connection.commands.next()) {
                answer(channel, connection.place, parts.stream().map(p -> new String(p, StandardCharsets.UTF_8)).toList());
            }
        } catch (IOException | ProtocolException e) {
            connection.place.connected.remove(channel);
            channel.close();
        }
    }

    private void answer(SocketChannel channel, Place place, List<String> command) throws IOException {
        String id = command.get(1);
        if (command.get(0).equals("top")) {
            channel.write(ByteBuffer.wrap(Resp.words(id, "READY", "report=inflight:0;util:0;x0:0;x1:0", "")));
        } else if (command.get(0).equals("do") && resets > 0) {
            resets--;
            reset(channel);
            place.connected.remove(channel);
        } else if (command.get(0).equals("do")) {
            place.asked++;
            channel.write(ByteBuffer.wrap(Resp.words(id, "ACK", "parts=1,work=20.0,peak=8", "row-of-" + id + "\t\t\n")));
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
            kill(0, places.size());
            closed = true;
            selector.wakeup();
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        selector.close();
    }
}
