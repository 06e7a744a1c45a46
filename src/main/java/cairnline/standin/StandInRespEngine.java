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
 * A stand-in engine on a loopback port that speaks the platform's engine protocol and runs queries on an
 * {@link EngineModel}. It can also behave like a process that has taken over the address of a former engine. Thread-safe.
 */
public final class StandInRespEngine implements AutoCloseable {
    /** What the process at the address is. */
    public enum Behavior {
        /** An engine. */
        ENGINE,
        /** Accepts connections and never answers. */
        SILENT,
        /** Speaks another protocol. */
        FOREIGN
    }

    /** Cost of a query of a class: work in microseconds on one core, and number of threads. */
    public record Cost(long workMicros, int threads) { }

    /** A received query; {@code atMicros} is its arrival in microseconds of {@link System#nanoTime}. */
    public record ReceivedQuery(long atMicros, String id, String requestClass, String idempotencyKey) { }

    private static final String FOREIGN_ANSWER = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n";
    private static final int MAX_COMMAND_PARTS = 5;
    private static final int MAX_PART_BYTES = 300_000;
    private static final long STATUS_INTERVAL_MICROS = 1_000_000;
    private static final int THREAD_STACK_BYTES = 256 * 1024;
    private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

    private final ServerSocket server;
    private final Thread acceptThread;
    private final Behavior behavior;
    private final Map<String, Cost> costs;
    private final EngineModel model;
    private final Map<String, RunningQuery> running = new HashMap<>();
    private final List<ReceivedQuery> received = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private int acceptedConnections;
    private boolean closed;

    private record RunningQuery(Socket socket, String id, long workMicros) { }

    /** Starts an engine at a port, 0 for a free one; {@code costs} are by request class. */
    public StandInRespEngine(int port, Behavior behavior, EngineModel.EngineParameters parameters, boolean cold,
            Map<String, Cost> costs) throws IOException {
        this.server = new ServerSocket(port, 200, InetAddress.getByName("127.0.0.1"));
        this.behavior = behavior;
        this.costs = costs;
        this.model = new EngineModel(parameters, cold, nowMicros());
        this.acceptThread = startDaemon("stand-in accepts", this::acceptConnections);
        startDaemon("stand-in runs", this::runQueries);
    }

    private static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the port on which it listens. */
    public int port() {
        return server.getLocalPort();
    }

    /** Returns the queries received so far, in order. */
    public synchronized List<ReceivedQuery> received() {
        return List.copyOf(received);
    }

    /** Returns the number of connections accepted so far. */
    public synchronized int acceptedConnections() {
        return acceptedConnections;
    }

    /** Returns the most work that arrived in a window while cold, as a multiple of the capacity at that moment. */
    public synchronized double peakColdLoad() {
        return model.peakColdLoad();
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static Thread startDaemon(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | ProtocolException e) {
                // Closed by the other side or by close().
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void acceptConnections() throws IOException {
        while (true) {
            Socket socket = server.accept();
            synchronized (this) {
                acceptedConnections++;
                sockets.add(socket);
            }
            startDaemon("stand-in reads", () -> {
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
        Resp commands = new Resp(MAX_COMMAND_PARTS, MAX_PART_BYTES);
        for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
            if (behavior == Behavior.FOREIGN) {
                socket.getOutputStream().write(FOREIGN_ANSWER.getBytes(StandardCharsets.US_ASCII));
                return;
            } else if (behavior == Behavior.ENGINE) {
                commands.feed(bytes, count);
                for (List<byte[]> parts = commands.next(); parts != null; parts = commands.next()) {
                    handleCommand(socket, parts.stream().map(part -> new String(part, StandardCharsets.UTF_8)).toList());
                }
            }
        }
    }

    private synchronized void handleCommand(Socket socket, List<String> command) throws IOException {
        String id = command.get(1);
        switch (command.get(0)) {
            case "do" -> {
                Map<String, String> fields = Resp.fields(command.get(2));
                Cost cost = costs.getOrDefault(fields.get("profile"), new Cost(20_000, 1));
                answerCompleted(model.advance(nowMicros()));
                received.add(new ReceivedQuery(nowMicros(), id, fields.get("profile"), fields.get("replay")));
                // An earlier attempt with the same id may still run.
                String attemptId = id + "/" + received.size();
                model.startQuery(attemptId, cost.workMicros(), cost.threads());
                running.put(attemptId, new RunningQuery(socket, id, cost.workMicros()));
                if (model.isOverloaded()) {
                    close();
                }
                notifyAll();
            }
            case "undo" -> running.values().removeIf(query -> query.id.equals(id) && query.socket == socket);
            case "ping", "top" -> write(socket, Resp.stringArray(id, "READY", String.format(Locale.ROOT,
                    "report=inflight:%d;util:%.2f;x0:0;x1:0", model.runningCount(), model.utilization()), ""));
            default -> { }
        }
    }

    private void runQueries() throws InterruptedException {
        long nextStatusAt = nowMicros() + STATUS_INTERVAL_MICROS;
        while (true) {
            synchronized (this) {
                if (closed) {
                    return;
                }
                long now = nowMicros();
                answerCompleted(model.advance(now));
                if (now >= nextStatusAt) {
                    nextStatusAt = now + STATUS_INTERVAL_MICROS;
                    sendProgress();
                }
                long remaining = Math.min(nextStatusAt, model.nextEventAt()) - nowMicros();
                if (remaining > 0) {
                    wait(remaining / 1_000, (int) (remaining % 1_000) * 1_000);
                }
            }
        }
    }

    private void answerCompleted(List<String> attemptIds) {
        for (String attemptId : attemptIds) {
            RunningQuery query = running.remove(attemptId);
            if (query != null) {
                write(query.socket, Resp.stringArray(query.id, "ACK", String.format(Locale.ROOT, "parts=1,work=%.1f,peak=8",
                        query.workMicros / 1_000.0), "row-of-" + query.id + "\t\t\n"));
            }
        }
    }

    private void sendProgress() {
        for (Map.Entry<String, RunningQuery> entry : running.entrySet()) {
            write(entry.getValue().socket, Resp.stringArray(entry.getValue().id, "EVENT", String.format(Locale.ROOT,
                    "remark=advance,value=%.4f", model.progress(entry.getKey())), ""));
        }
    }

    private static void write(Socket socket, byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
        } catch (IOException e) {
            // The client has disconnected, so nobody waits for this message.
        }
    }

    /** Simulates a crash: resets all connections and closes the port. */
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
            // Until accept() has returned the port is still in use, and a successor could not bind it.
            acceptThread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
