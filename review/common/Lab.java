import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins for the cases of the review: a control feed, an engine that speaks RESP, a client of the frame protocol, and
 * the start of the workload manager by the command of the deploy file. All addresses are on 127.0.0.1.
 */
final class Lab implements AutoCloseable {
    /** Exit codes of a case. */
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    /** After a client's time, an answer is late but not lost for half a second, and each limit on sockets is 50 ms longer. */
    static final int GRACE_MILLIS = 550;
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of(System.getenv("ROOT"));
    final Path folder = Path.of(System.getenv("FOLDER"));
    final Path work = Path.of(System.getenv("WORK"));
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, task -> daemon(task));

    Lab() throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        note("trouble=" + trouble);
    }

    interface Body {
        int run(Lab lab) throws Exception;
    }

    /** Runs a case and exits with its code; an exception in the case itself means that it could not run. */
    static void main(Body body) {
        int code = NOT_RUN;
        try (Lab lab = new Lab()) {
            try {
                code = body.run(lab);
            } catch (Exception | AssertionError e) {
                lab.note("the case could not run: " + e);
                e.printStackTrace();
            }
            lab.note("exit code " + code);
            System.out.println(lab.trouble ? "with the disruption: exit code " + code : "without: exit code " + code);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void note(String line) {
        record.println(String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - startedAt) / 1e9, line));
    }

    <T extends AutoCloseable> T closing(T resource) {
        open.add(resource);
        return resource;
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = daemon(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The other side has closed the connection, or the case has ended.
            }
        });
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, LOOPBACK)) {
            return unused.getLocalPort();
        }
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        timer.shutdownNow();
        record.close();
    }

    // ---- The workload manager ----

    /** One workload manager, started by the command {@code run} of the deploy file. */
    final class Manager implements AutoCloseable {
        final int port;
        private final Path config;
        private final String arguments;
        private final String name;
        Process process;

        Manager(String name, String configText, String arguments) throws IOException {
            this.name = name;
            this.port = freePort();
            this.config = Files.writeString(work.resolve(name + ".json"),
                    configText.replace("@listen@", "127.0.0.1:" + port));
            this.arguments = arguments;
            open.add(this);
        }

        void start() throws Exception {
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    run = line.substring("run = \"".length(), line.lastIndexOf('"'));
                }
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + arguments).directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), "record-" + name + ".log")));
            builder.environment().remove("ROUTER_LISTEN");
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.environment().put("ROUTER_NAME", name);
            builder.environment().put("TMPDIR", work.toString());
            process = builder.start();
            Files.writeString(work.resolve("pids"), process.pid() + "\n", java.nio.file.StandardOpenOption.CREATE,
                    java.nio.file.StandardOpenOption.APPEND);
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            note("started " + name + ", pid " + process.pid() + ", port " + port);
            awaitReady();
        }

        private void awaitReady() throws Exception {
            long until = millis() + 30_000;
            while (millis() < until) {
                try (Socket socket = new Socket(LOOPBACK, port)) {
                    socket.setSoTimeout(2_000);
                    socket.getOutputStream().write(frame(6, 1, new byte[] {0}));
                    DataInputStream in = new DataInputStream(socket.getInputStream());
                    byte[] answer = new byte[in.readInt()];
                    in.readFully(answer);
                    if (answer[0] == 7 && answer[5] == 1) {
                        note(name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    if (!process.isAlive()) {
                        throw new IllegalStateException(name + " has ended: " + process.exitValue());
                    }
                }
                Thread.sleep(50);
            }
            throw new IllegalStateException(name + " is not ready after 30 s");
        }

        /** Replaces a text of the configuration file, which takes effect at the next SIGHUP. */
        void edit(String from, String to) throws IOException {
            Path next = Files.writeString(work.resolve(name + ".next"), Files.readString(config).replace(from, to));
            Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void signal(String signal) throws Exception {
            note("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        @Override
        public void close() throws Exception {
            if (process != null) {
                process.destroyForcibly();
                process.waitFor(10, TimeUnit.SECONDS);
            }
        }
    }

    /** Returns a configuration like that of cedar-shops; {@code edit} pairs replace texts of it. */
    String configuration(Feed feed, String... edits) throws IOException {
        String text = Files.readString(root.resolve("example/config.json"));
        text = text.replace("127.0.0.1:7001", "@listen@").replace("127.0.0.1:8500", feed.address());
        for (int i = 0; i < edits.length; i += 2) {
            if (!text.contains(edits[i])) {
                throw new IllegalStateException("the configuration does not hold " + edits[i]);
            }
            text = text.replace(edits[i], edits[i + 1]);
        }
        return text;
    }

    // ---- The control feed ----

    /** A control feed that tells its events, and the last number every second. */
    static final class Feed implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 50, LOOPBACK);
        private final List<String> events = new ArrayList<>();
        private final List<Socket> subscribers = new CopyOnWriteArrayList<>();
        private boolean retired;

        Feed() throws IOException {
            Lab.start(() -> {
                while (true) {
                    Socket socket = server.accept();
                    Lab.start(() -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized void tell(boolean whole, String... hosts) {
            int number = events.size() + 1;
            events.add("{\"n\":" + number + ",\"members\":{\"seq\":" + number + ",\"whole\":" + whole + ",\"hosts\":["
                    + String.join(",", hosts) + "]}}");
            notifyAll();
        }

        static String host(String id, String address, String health) {
            return "{\"host\":\"" + id + "\",\"dial\":\"" + address + "\",\"site\":\"dc1\",\"class\":\"std16\",\"block\":0,"
                    + "\"health\":\"" + health + "\",\"share\":4,\"born_ms\":0}";
        }

        /** Takes over the events of another address, whose numbers go on here. */
        synchronized void copy(Feed other) {
            synchronized (other) {
                events.addAll(other.events);
            }
        }

        /** Takes no new connection and tells nothing more; closes the open ones after 1.5 s. */
        synchronized void retire() throws IOException {
            retired = true;
            server.close();
            Lab.start(() -> {
                Thread.sleep(1_500);
                for (Socket socket : subscribers) {
                    socket.close();
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            subscribers.add(socket);
            String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            int sent = Integer.parseInt(line.substring("SUB ".length()).strip());
            synchronized (this) {
                while (true) {
                    StringBuilder lines = new StringBuilder();
                    for (; sent < events.size(); sent++) {
                        lines.append(events.get(sent)).append('\n');
                    }
                    lines.append(events.size()).append('\n');
                    if (!retired) {
                        socket.getOutputStream().write(lines.toString().getBytes(StandardCharsets.UTF_8));
                    }
                    wait(1_000);
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- An engine ----

    /** A query that an engine has received. */
    record Received(double at, String engine, String id, Map<String, String> fields, int bodyBytes) { }

    /** What an engine does with a query. */
    interface Work {
        /** Returns the time until the answer in milliseconds. */
        long millis(Received query, byte[] body);

        /** Returns the rows, or null for an error. */
        default byte[] rows(Received query) {
            return ("row-of-" + query.id() + "\t1\t2\n").getBytes(StandardCharsets.UTF_8);
        }
    }

    /** An engine with unlimited capacity: it answers each query after the time that its work gives, with notes until then. */
    final class Engine implements AutoCloseable {
        final String id;
        private final ServerSocket server = new ServerSocket(0, 200, LOOPBACK);
        private final Work work;
        final List<Received> received = new CopyOnWriteArrayList<>();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final AtomicInteger running = new AtomicInteger();

        Engine(String id, Work work) throws IOException {
            this.id = id;
            this.work = work;
            open.add(this);
            Lab.start(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Lab.start(() -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        String host(String health) {
            return Feed.host(id, address(), health);
        }

        private void serve(Socket socket) throws IOException {
            DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16));
            Map<String, byte[]> results = new ConcurrentHashMap<>();
            Map<String, Boolean> unfinished = new ConcurrentHashMap<>();
            while (true) {
                byte[][] parts = new byte[(int) number(in, '*')][];
                for (int i = 0; i < parts.length; i++) {
                    parts[i] = new byte[(int) number(in, '$')];
                    in.readFully(parts[i]);
                    in.readFully(new byte[2]);
                }
                String id = text(parts[1]);
                switch (text(parts[0])) {
                    case "do" -> begin(socket, id, fields(text(parts[2])), parts[3], results, unfinished);
                    case "undo" -> unfinished.remove(id);
                    case "page" -> {
                        int page = Integer.parseInt(text(parts[2]));
                        send(socket, id, "BLOCK", "part_no=" + page, pages(results.get(id)).get(page));
                    }
                    case "top", "ping" -> send(socket, id, "READY", String.format(Locale.ROOT,
                            "report=inflight:%d;util:%.2f;x0:0.1;x1:0.1", running.get(), Math.min(1, running.get() / 16.0)),
                            new byte[0]);
                    default -> { }
                }
            }
        }

        private void begin(Socket socket, String id, Map<String, String> fields, byte[] body, Map<String, byte[]> results,
                Map<String, Boolean> unfinished) {
            Received query = new Received(millis() / 1e3, this.id, id, fields, body.length);
            received.add(query);
            note(this.id + " runs " + id + " " + fields + ", " + body.length + " bytes");
            unfinished.put(id, true);
            running.incrementAndGet();
            long startedAt = millis();
            long workMillis = work.millis(query, body);
            var notes = timer.scheduleAtFixedRate(() -> {
                if (unfinished.containsKey(id)) {
                    quietly(() -> send(socket, id, "EVENT", String.format(Locale.ROOT, "remark=advance,value=%.3f",
                            Math.min(0.99, (millis() - startedAt) / (double) Math.max(1, workMillis))), new byte[0]));
                }
            }, 1, 1, TimeUnit.SECONDS);
            timer.schedule(() -> quietly(() -> {
                notes.cancel(false);
                running.decrementAndGet();
                if (unfinished.remove(id) == null) {
                    return;
                }
                byte[] rows = work.rows(query);
                if (rows == null) {
                    send(socket, id, "EIO", "-", new byte[0]);
                    return;
                }
                List<byte[]> pages = pages(rows);
                if (pages.size() > 1) {
                    results.put(id, rows);
                }
                send(socket, id, "ACK", "parts=" + pages.size() + ",work=" + Math.max(1, workMillis) + ".0,peak=8", pages.get(0));
            }), workMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static void quietly(Task task) {
        try {
            task.run();
        } catch (Exception e) {
            // The connection was closed.
        }
    }

    /** Splits a result into pages of whole rows of at most 6,000 bytes. */
    static List<byte[]> pages(byte[] rows) {
        List<byte[]> pages = new ArrayList<>();
        int start = 0;
        while (start < rows.length) {
            int end = Math.min(rows.length, start + 6_000);
            while (rows[end - 1] != '\n') {
                end--;
            }
            pages.add(java.util.Arrays.copyOfRange(rows, start, end));
            start = end;
        }
        return pages;
    }

    static void send(Socket socket, String id, String word, String fields, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(utf8("*4\r\n"));
        for (byte[] part : new byte[][] {utf8(id), utf8(word), utf8(fields), body}) {
            out.writeBytes(utf8("$" + part.length + "\r\n"));
            out.writeBytes(part);
            out.writeBytes(utf8("\r\n"));
        }
        synchronized (socket) {
            socket.getOutputStream().write(out.toByteArray());
        }
    }

    private static long number(DataInputStream in, char prefix) throws IOException {
        if (in.readByte() != prefix) {
            throw new IOException("expected " + prefix);
        }
        long value = 0;
        for (int c = in.readByte(); c != '\r'; c = in.readByte()) {
            value = value * 10 + c - '0';
        }
        in.readByte();
        return value;
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field : text.equals("-") ? new String[0] : text.split(",")) {
            fields.put(field.substring(0, field.indexOf('=')), field.substring(field.indexOf('=') + 1));
        }
        return fields;
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    // ---- A client ----

    /** A request of a client and what became of it. */
    final class Sent {
        final long stream;
        final String call;
        final long ttl;
        volatile long writtenAt;
        volatile int answers;
        volatile int code = -1;
        volatile byte[] body;
        volatile long answeredAt;
        volatile long endedAt;
        final CountDownLatch done = new CountDownLatch(1);

        Sent(long stream, String call, long ttl) {
            this.stream = stream;
            this.call = call;
            this.ttl = ttl;
        }

        /** Waits for the answer, for the end of the connection, or until {@link #GRACE_MILLIS} after the client's time is up. */
        boolean await() throws InterruptedException {
            done.await(Math.max(1, writtenAt + ttl + GRACE_MILLIS - millis()), TimeUnit.MILLISECONDS);
            return answers > 0;
        }

        String outcome() {
            return answers > 1 ? answers + " answers" : code == 1 ? "served" : code == 0 ? "refused" : code == 9 ? "failed"
                    : endedAt > 0 ? "no answer, the connection ended" : "no answer";
        }
    }

    private final AtomicInteger calls = new AtomicInteger();

    /** One connection of a client. */
    final class Client implements AutoCloseable {
        final Socket socket;
        final String name;
        private final OutputStream out;
        final Map<Long, Sent> sent = new ConcurrentHashMap<>();
        volatile boolean told9;
        volatile long endedAt;

        Client(String name, int port) throws IOException {
            this.name = name;
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2_000);
            out = socket.getOutputStream();
            open.add(this);
            Lab.start(this::read);
        }

        Sent prepare(long stream, long ttl) {
            Sent request = new Sent(stream, String.format("%08x%08x", startedAt & 0xffffffffL, calls.incrementAndGet()), ttl);
            sent.put(stream, request);
            return request;
        }

        byte[] encode(Sent request, String op, String statement, String... moreFields) {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("op", op);
            fields.put("call", request.call);
            fields.put("ttl", Long.toString(request.ttl));
            fields.put("work", "20.0");
            fields.put("heap", "8");
            for (int i = 0; i < moreFields.length; i += 2) {
                fields.put(moreFields[i], moreFields[i + 1]);
            }
            ByteArrayOutputStream payload = new ByteArrayOutputStream();
            payload.write(fields.size());
            fields.forEach((field, value) -> {
                payload.write(field.length());
                payload.writeBytes(utf8(field));
                payload.write(value.length() >> 8);
                payload.write(value.length());
                payload.writeBytes(utf8(value));
            });
            payload.writeBytes(utf8(statement));
            return frame(0, request.stream, payload.toByteArray());
        }

        Sent send(long stream, long ttl, String op, String statement, String... moreFields) throws IOException {
            Sent request = prepare(stream, ttl);
            write(encode(request, op, statement, moreFields));
            request.writtenAt = millis();
            return request;
        }

        synchronized void write(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        private void read() {
            try {
                DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16));
                while (true) {
                    byte[] frame = new byte[in.readInt()];
                    in.readFully(frame);
                    long stream = (frame[1] & 0xffL) << 24 | (frame[2] & 0xff) << 16 | (frame[3] & 0xff) << 8 | frame[4] & 0xff;
                    if (frame[0] == 9) {
                        told9 = true;
                        note(name + ": no new request on this connection (type 9)");
                    } else if (frame[0] == 1 && stream == 0) {
                        note(name + ": error on stream 0: " + text(frame).substring(7));
                    } else if (frame[0] == 1) {
                        Sent request = sent.get(stream);
                        if (request == null) {
                            note(name + ": an answer to a stream that was not sent: " + stream);
                            continue;
                        }
                        request.code = frame[5];
                        request.body = java.util.Arrays.copyOfRange(frame, 7, frame.length);
                        request.answeredAt = millis();
                        request.answers++;
                        request.done.countDown();
                    }
                }
            } catch (IOException e) {
                endedAt = millis();
                sent.values().forEach(request -> {
                    if (request.answers == 0) {
                        request.endedAt = endedAt;
                    }
                    request.done.countDown();
                });
                note(name + ": the connection has ended");
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static byte[] frame(int type, long stream, byte[] payload) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.write(5 + payload.length >> shift);
        }
        out.write(type);
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.write((int) (stream >> shift));
        }
        out.writeBytes(payload);
        return out.toByteArray();
    }
}
