import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A planned restart beside bad clients: what usual clients had written before must be answered before the process ends. */
final class Case9 extends Case {
    private static final int BAD_CLIENTS = 24;
    private static final int USUAL_CLIENTS = 8;
    /** The time between two requests of a usual client: 160 requests a second in all. */
    private static final long BETWEEN_REQUESTS_MILLIS = 50;
    private static final int TTL_MILLIS = 5_000;
    private static final double BAD_FROM = 2;
    private static final double TERM_AT = 3;
    /** Requests on open connections keep coming for this long after SIGTERM. */
    private static final double SEND_UNTIL_AFTER_TERM = 0.55;
    private static final double EARLIEST_KILL_AFTER_TERM = 3.7;
    private static final int FRAMES_PER_WRITE = 500;

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicLong badBytes = new AtomicLong();
    private volatile double termAt = Double.MAX_VALUE;
    private volatile double killedAt = Double.MAX_VALUE;

    private Case9() throws Exception {
        super("9");
    }

    public static void main(String[] args) throws Exception {
        new Case9().run();
    }

    private RespEngineStandIn engine(String name) throws Exception {
        RespEngineStandIn[] engine = new RespEngineStandIn[1];
        engine[0] = new RespEngineStandIn(this, name, query -> engine[0].later(20, () -> query.connection().write(
                query.id(), "ACK", "parts=1,work=20.0,peak=8", query.id() + "\ta\tb\n")));
        return engine[0];
    }

    @Override
    void play() throws Exception {
        RespEngineStandIn e1 = engine("e1");
        RespEngineStandIn e2 = engine("e2");
        FeedStandIn feed = new FeedStandIn(this);
        feed.tell(true, FeedStandIn.host("e1", e1.port(), "in_service"), FeedStandIn.host("e2", e2.port(), "in_service"));
        int listen = freePort();
        Process manager = startManager(configuration(listen, feed.port(), feed.known(), Map.of()), "", listen);
        awaitReady(listen);
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            usual.add(daemon(() -> ask(listen)));
        }
        sleepUntil(BAD_FROM);
        for (int i = 0; trouble && i < BAD_CLIENTS; i++) {
            daemon(() -> flood(listen));
        }
        sleepUntil(TERM_AT);
        termAt = seconds();
        signal(manager, "TERM");
        note("SIGTERM was sent");
        boolean ended = manager.waitFor((long) (EARLIEST_KILL_AFTER_TERM * 1_000), TimeUnit.MILLISECONDS);
        note(String.format("%.3f s after SIGTERM the process %s", seconds() - termAt,
                ended ? "has ended with " + manager.exitValue() : "runs, and is killed"));
        if (!ended) {
            killedAt = seconds();
            manager.destroyForcibly();
        }
        for (Thread client : usual) {
            client.join();
        }
        note("usual clients: " + sent + " requests, " + answered + " answers; bad clients: " + badBytes + " bytes");
        if (sent.get() < 100) {
            throw new IllegalStateException("too few requests were sent\n" + log());
        }
    }

    private void sleepUntil(double time) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) ((time - seconds()) * 1_000)));
    }

    /** A usual client: it has far fewer than 32 requests open, and each waits 5 s for its answer. */
    private void ask(int port) throws Exception {
        try (Frames client = new Frames(this, port)) {
            Map<Long, Double> requests = new LinkedHashMap<>();
            while (seconds() < termAt + SEND_UNTIL_AFTER_TERM && !client.ended) {
                if (requests.keySet().stream().filter(stream -> client.answerNow(stream) == null).count() < 30) {
                    requests.put(client.send("lookup", Frames.newCall(), TTL_MILLIS, "select * from sales_1.books"), seconds());
                    sent.incrementAndGet();
                }
                Thread.sleep(BETWEEN_REQUESTS_MILLIS);
            }
            for (Map.Entry<Long, Double> request : requests.entrySet()) {
                Frames.Answer answer = client.await(request.getKey(), TTL_MILLIS + 550);
                if (answer == null && client.endedAt > killedAt - 0.05) {
                    note("a request that SIGKILL found unanswered; it came within 0.7 s after SIGTERM, so it is excused");
                } else if (answer == null) {
                    violation(String.format("a request written %.3f s after SIGTERM got no answer; its connection ended",
                            request.getValue() - termAt));
                } else {
                    answered.incrementAndGet();
                    note(String.format("request written at %.3f got code %d at %.3f", request.getValue(), answer.code(),
                            answer.atSeconds()));
                }
            }
        }
    }

    /** A bad client: requests in the form of the protocol at full speed, whatever is open; it reads whatever it is sent. */
    private void flood(int port) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            InputStream in = socket.getInputStream();
            daemon(() -> drop(in));
            OutputStream out = socket.getOutputStream();
            int stream = 1;
            while (true) {
                ByteArrayOutputStream frames = new ByteArrayOutputStream();
                DataOutputStream data = new DataOutputStream(frames);
                for (int i = 0; i < FRAMES_PER_WRITE; i++) {
                    byte[] payload = payload();
                    data.writeInt(5 + payload.length);
                    data.writeByte(0);
                    data.writeInt(stream++);
                    data.write(payload);
                }
                out.write(frames.toByteArray());
                badBytes.addAndGet(frames.size());
            }
        } catch (IOException e) {
            // The workload manager has closed the connection.
        }
    }

    private static byte[] payload() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream payload = new DataOutputStream(bytes);
        String[] fields = {"op", "lookup", "call", Frames.newCall(), "ttl", "2000"};
        payload.writeByte(fields.length / 2);
        for (int i = 0; i < fields.length; i += 2) {
            payload.writeByte(fields[i].length());
            payload.writeBytes(fields[i]);
            payload.writeShort(fields[i + 1].length());
            payload.writeBytes(fields[i + 1]);
        }
        payload.writeBytes("select 1 from sales_1.books");
        return bytes.toByteArray();
    }

    private static void drop(InputStream in) {
        byte[] bytes = new byte[65_536];
        try {
            while (in.read(bytes) >= 0) {
                // Read and not looked at.
            }
        } catch (IOException e) {
            // The connection has ended.
        }
    }
}
