package cairnline.standin;

import cairnline.protocol.ProtocolException;
import cairnline.protocol.Resp;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A stand-in engine on a loopback port that speaks the platform's wire and runs queries as an {@link EngineModel} does.
 * It can behave as what is found at an address that no longer is an engine's. It ends with {@link #close}.
 */
public final class StandInRespEngine implements AutoCloseable {
    /** What answers at the address. */
    public enum Behavior {
        /** An engine. */
        ENGINE,
        /** Something that takes connections and says nothing. */
        SILENT,
        /** Something that speaks another protocol. */
        FOREIGN
    }

    /** What a query of a class costs: microseconds on one core, and threads. */
    public record Cost(long work, int threads) { }

    /** A query that came: when, in microseconds of {@link System#nanoTime}, and under which id and key. */
    public record Received(long at, String id, String type, String key) { }

    private static final String FOREIGN = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n";
    private static final int PARTS_MOST = 5;
    private static final int PART_MOST = 300_000;
    private static final long NOTE_EVERY = 1_000_000;
    private static final int STACK = 256 * 1024;
    private static final long CLOSE_MS = 5_000;

    private final ServerSocket server;
    private final Thread accepting;
    private final Behavior manner;
    private final Map<String, Cost> costs;
    private final EngineModel model;
    private final Map<String, Asked> open = new HashMap<>();
    private final List<Received> received = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private int connects;
    private boolean closed;

    private record Asked(Socket from, String id, long work) { }

    /** An engine at this port (0 for any), warm or cold, that starts now. */
    public StandInRespEngine(int port, Behavior manner, EngineModel.EngineParameters shape, boolean cold, Map<String, Cost> costs)
            throws IOException {
        this.server = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"));
        this.manner = manner;
        this.costs = costs;
        this.model = new EngineModel(shape, cold, micros());
        this.accepting = daemon("stand-in accepts", this::accept);
        daemon("stand-in runs", this::work);
    }

    private static long micros() {
        return System.nanoTime() / 1_000;
    }

    /** Where it listens. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Its port. */
    public int port() {
        return server.getLocalPort();
    }

    /** The queries that came, in order. */
    public synchronized List<Received> received() {
        return List.copyOf(received);
    }

    /** How many connections came up. */
    public synchronized int connects() {
        return connects;
    }

    /** The most work in a window while cold, in multiples of what it could do. */
    public synchronized double highest() {
        return model.highest();
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static Thread daemon(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | ProtocolException e) {
                // The other side, or close(), has ended it.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, name, STACK);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            synchronized (this) {
                connects++;
                sockets.add(socket);
            }
            daemon("stand-in reads", () -> {
                try (socket) {
                    serve(socket);
                }
            });
        }
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        InputStream in = socket.getInputStream();
        byte[] bytes = new byte[8_192];
        Resp resp = new Resp(PARTS_MOST, PART_MOST);
        for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
            if (manner == Behavior.FOREIGN) {
                socket.getOutputStream().write(FOREIGN.getBytes(StandardCharsets.US_ASCII));
                return;
            } else if (manner == Behavior.ENGINE) {
                resp.feed(bytes, count);
                for (List<byte[]> parts = resp.next(); parts != null; parts = resp.next()) {
                    take(socket, parts.stream().map(part -> new String(part, StandardCharsets.UTF_8)).toList());
                }
            }
        }
    }

    private synchronized void take(Socket from, List<String> command) throws IOException {
        String id = command.get(1);
        switch (command.get(0)) {
            case "do" -> {
                Map<String, String> fields = Resp.fields(command.get(2));
                Cost cost = costs.getOrDefault(fields.get("profile"), new Cost(20_000, 1));
                finish(model.advance(micros()));
                received.add(new Received(micros(), id, fields.get("profile"), fields.get("replay")));
                // The same id may be open from an earlier attempt, which goes on.
                String own = id + "/" + received.size();
                model.arrive(own, cost.work(), cost.threads());
                open.put(own, new Asked(from, id, cost.work()));
                if (model.fell()) {
                    close();
                }
                notifyAll();
            }
            case "undo" -> open.values().removeIf(asked -> asked.id.equals(id) && asked.from == from);
            case "ping", "top" -> write(from, Resp.words(id, "READY", String.format(Locale.ROOT,
                    "report=inflight:%d;util:%.2f;x0:0;x1:0", model.inflight(), model.utilization()), ""));
            default -> { }
        }
    }

    private void work() throws InterruptedException {
        long noteAt = micros() + NOTE_EVERY;
        while (true) {
            synchronized (this) {
                if (closed) {
                    return;
                }
                long now = micros();
                finish(model.advance(now));
                if (now >= noteAt) {
                    noteAt = now + NOTE_EVERY;
                    tellProgress();
                }
                long left = Math.min(noteAt, model.next()) - micros();
                if (left > 0) {
                    wait(left / 1_000, (int) (left % 1_000) * 1_000);
                }
            }
        }
    }

    private void finish(List<String> done) {
        for (String own : done) {
            Asked asked = open.remove(own);
            if (asked != null) {
                write(asked.from, Resp.words(asked.id, "ACK", String.format(Locale.ROOT, "parts=1,work=%.1f,peak=8",
                        asked.work / 1_000.0), "row-of-" + asked.id + "\t\t\n"));
            }
        }
    }

    private void tellProgress() {
        for (Map.Entry<String, Asked> each : open.entrySet()) {
            write(each.getValue().from, Resp.words(each.getValue().id, "EVENT", String.format(Locale.ROOT,
                    "remark=advance,value=%.4f", model.progress(each.getKey())), ""));
        }
    }

    private static void write(Socket to, byte[] bytes) {
        try {
            to.getOutputStream().write(bytes);
        } catch (IOException e) {
            // It has hung up; what ran for it has run.
        }
    }

    /** Ends as a process that dies does: connections are reset, and its port refuses. */
    @Override
    public void close() throws IOException {
        server.close();
        synchronized (this) {
            closed = true;
            for (Socket socket : sockets) {
                if (!socket.isClosed()) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            }
            notifyAll();
        }
        try {
            // While its accept() has not returned the port is still taken, and a successor there can't start.
            accepting.join(CLOSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
