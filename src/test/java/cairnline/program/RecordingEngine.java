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

/** An engine with a seed that answers well or badly and records each attempt; times are from {@link System#nanoTime}. */
final class RecordingEngine implements AutoCloseable {
    private static final int STACK = 256 * 1_024;
    private static final int DELAY_MOST_MS = 60;

    private final String name;
    private final Random random;
    private final ServerSocket server;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(null, task, "recording engine", STACK);
        thread.setDaemon(true);
        return thread;
    });
    private final ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private volatile boolean hanging;

    /** One attempt as it came; {@code endedAt} is 0 while it runs. */
    static final class Attempt {
        final String engine;
        final String id;
        final String profile;
        final long maxMs;
        final long arrivedAt;
        volatile long endedAt;
        /** The engine's answer says that it never ran. */
        volatile boolean neverRan;

        Attempt(String engine, String id, Map<String, String> fields) {
            this.engine = engine;
            this.id = id;
            this.profile = fields.get("profile");
            this.maxMs = Long.parseLong(fields.get("max"));
            this.arrivedAt = System.nanoTime();
        }
    }

    RecordingEngine(String name, long seed) throws IOException {
        this.name = name;
        this.random = new Random(seed);
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        DaemonThreads.start("recording engine", this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** From now on it answers nothing, or answers again. */
    void hang(boolean hangs) {
        hanging = hangs;
    }

    List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    private void accept() throws IOException {
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
                    take(socket, running, parts.stream().map(part -> new String(part, StandardCharsets.UTF_8)).toList());
                }
            }
        } finally {
            running.values().forEach(RecordingEngine::end);
        }
    }

    private static void end(Attempt attempt) {
        attempt.endedAt = System.nanoTime();
    }

    private void take(Socket socket, Map<String, Attempt> running, List<String> command) {
        String id = command.get(1);
        switch (command.get(0)) {
            case "do" -> {
                Attempt attempt = new Attempt(name, id, Resp.fields(command.get(2)));
                attempts.add(attempt);
                running.put(id, attempt);
                decide(socket, running, attempt);
            }
            case "undo" -> {
                Attempt undone = running.remove(id);
                if (undone != null) {
                    end(undone);
                }
            }
            case "page" -> write(socket, Resp.words(id, "BLOCK", "part_no=" + command.get(2), "page-of-" + id + "\t\t\n"));
            case "ping", "top" -> {
                if (!hanging) {
                    write(socket, Resp.words(id, "READY", "report=inflight:0;util:0.0;x0:0;x1:0", ""));
                }
            }
            default -> { }
        }
    }

    private synchronized void decide(Socket socket, Map<String, Attempt> running, Attempt attempt) {
        int draw = random.nextInt(100);
        long delay = random.nextInt(DELAY_MOST_MS);
        String id = attempt.id;
        if (hanging || draw < 3) {
            return;
        }
        byte[] answer = draw < 10 ? Resp.words(id, "AGAIN", "-", "")
                : draw < 15 ? Resp.words(id, "EIO", "-", "")
                : draw < 18 ? Resp.words(id, "STALE", "-", "")
                : draw < 24 ? Resp.words(id, "ACK", "parts=2,work=20.0,peak=8", "row-of-" + id + "\t\t\n")
                : Resp.words(id, "ACK", "parts=1,work=20.0,peak=8", "row-of-" + id + "\t\t\n");
        boolean neverRan = draw < 10 || draw >= 15 && draw < 18;
        timer.schedule(() -> {
            if (running.remove(id, attempt)) {
                attempt.neverRan = neverRan;
                end(attempt);
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
            // It has hung up; what ran for it has run.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        timer.shutdownNow();
    }
}
