package cairnline.program;

import cairnline.protocol.Resp;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A RESP engine whose seed determines which attempts succeed, fail or get no answer, and which records each attempt. Times
 * are values of {@link System#nanoTime}.
 */
final class RecordingEngine implements AutoCloseable {
    private static final int THREAD_STACK_BYTES = 256 * 1_024;
    private static final int MAX_DELAY_MILLIS = 60;

    private final String name;
    private final Random random;
    private final ServerSocket server;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(null, task, "recording engine", THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    });
    private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private volatile boolean hanging;

    /** A received attempt; {@code endedAt} is 0 while it runs. */
    static final class Attempt {
        final String engine;
        final String id;
        final String profile;
        final long timeLimitMillis;
        final long arrivedAt;
        volatile long endedAt;
        /** Whether the engine answered that the attempt never ran. */
        volatile boolean neverRan;

        Attempt(String engine, String id, Map<String, String> fields) {
            this.engine = engine;
            this.id = id;
            this.profile = fields.get("profile");
            this.timeLimitMillis = Long.parseLong(fields.get("max"));
            this.arrivedAt = System.nanoTime();
        }
    }

    RecordingEngine(String name, long seed) throws IOException {
        this.name = name;
        this.random = new Random(seed);
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        DaemonThreads.start("recording engine", this::acceptConnections);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Stops or resumes answering; attempts and probes received meanwhile are never answered. */
    void setHanging(boolean hangs) {
        hanging = hangs;
    }

    List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    private void acceptConnections() throws IOException {
        while (true) {
            Socket socket = server.accept();
            DaemonThreads.start("recording engine", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        Map<String, Attempt> running = new ConcurrentHashMap<>();
        try (socket) {
            socket.setTcpNoDelay(true);
            Resp resp = new Resp(5, 300_000);
            byte[] bytes = new byte[8_192];
            InputStream in = socket.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                resp.feed(bytes, count);
                for (List<byte[]> parts = resp.next(); parts != null; parts = resp.next()) {
                    handle(socket, running, parts.stream().map(part -> new String(part, StandardCharsets.UTF_8)).toList());
                }
            }
        } finally {
            running.values().forEach(RecordingEngine::markEnded);
        }
    }

    private static void markEnded(Attempt attempt) {
        attempt.endedAt = System.nanoTime();
    }

    private void handle(Socket socket, Map<String, Attempt> running, List<String> command) {
        String id = command.get(1);
        switch (command.get(0)) {
            case "do" -> {
                Attempt attempt = new Attempt(name, id, Resp.fields(command.get(2)));
                attempts.add(attempt);
                running.put(id, attempt);
                scheduleAnswer(socket, running, attempt);
            }
            case "undo" -> {
                Attempt cancelled = running.remove(id);
                if (cancelled != null) {
                    markEnded(cancelled);
                }
            }
            case "page" -> write(socket, Resp.stringArray(id, "BLOCK", "part_no=" + command.get(2), "page-of-" + id + "\t\t\n"));
            case "ping", "top" -> {
                if (!hanging) {
                    write(socket, Resp.stringArray(id, "READY", "report=inflight:0;util:0.0;x0:0;x1:0", ""));
                }
            }
            default -> { }
        }
    }

    private synchronized void scheduleAnswer(Socket socket, Map<String, Attempt> running, Attempt attempt) {
        int draw = random.nextInt(100);
        long delay = random.nextInt(MAX_DELAY_MILLIS);
        String id = attempt.id;
        if (hanging || draw < 3) {
            return;
        }
        byte[] answer = draw < 10 ? Resp.stringArray(id, "AGAIN", "-", "")
                : draw < 15 ? Resp.stringArray(id, "EIO", "-", "")
                : draw < 18 ? Resp.stringArray(id, "STALE", "-", "")
                : draw < 24 ? Resp.stringArray(id, "ACK", "parts=2,work=20.0,peak=8", "row-of-" + id + "\t\t\n")
                : Resp.stringArray(id, "ACK", "parts=1,work=20.0,peak=8", "row-of-" + id + "\t\t\n");
        boolean neverRan = draw < 10 || draw >= 15 && draw < 18;
        timer.schedule(() -> {
            if (running.remove(id, attempt)) {
                attempt.neverRan = neverRan;
                markEnded(attempt);
                write(socket, answer);
                if (draw >= 97) {
                    write(socket, answer);
                } else if (draw == 96) {
                    write(socket, "*4\r\n$16\r\n".getBytes(StandardCharsets.UTF_8));
                }
            }
        }, delay, TimeUnit.MILLISECONDS);
    }

    private static void write(Socket socket, byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
        } catch (IOException e) {
            // The manager has closed the connection; the attempt has run all the same.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        timer.shutdownNow();
    }
}
