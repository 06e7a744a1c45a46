import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** With a slow control feed, a drain must still be kept once it counts as told. */
final class Case8 extends Case {
    private static final long FIRST_LINE_DELAY_MILLIS = 3_000;
    private static final double DRAIN_AT = 8;
    /** What the feed has to tell counts as told after 7 s; the grace is 1 s, and each limit is 50 ms longer. */
    private static final double LATEST_SEND_AFTER = 7 + 1 + 0.05;
    private static final double END_AT = 24;
    private static final int CLIENTS = 6;

    private final AtomicInteger served = new AtomicInteger();
    private volatile double drainToldAt = Double.MAX_VALUE;

    private Case8() throws Exception {
        super("8");
    }

    public static void main(String[] args) throws Exception {
        new Case8().run();
    }

    private RespEngineStandIn engine(String name, long workMillis) throws Exception {
        RespEngineStandIn[] engine = new RespEngineStandIn[1];
        engine[0] = new RespEngineStandIn(this, name, query -> {
            note(name + " got " + query.id());
            if (name.equals("e1") && query.atSeconds() > drainToldAt + LATEST_SEND_AFTER) {
                violation(String.format("e1 drains since %.3f s and got a new request at %.3f s", drainToldAt, query.atSeconds()));
            }
            engine[0].later(workMillis, () -> query.connection().write(query.id(), "ACK", "parts=1,work=100.0,peak=8",
                    query.id() + "\ta\tb\n"));
        });
        return engine[0];
    }

    @Override
    void play() throws Exception {
        RespEngineStandIn e1 = engine("e1", 40);
        RespEngineStandIn e2 = engine("e2", 80);
        FeedStandIn feed = new FeedStandIn(this);
        feed.firstLineDelayMillis = trouble ? FIRST_LINE_DELAY_MILLIS : 0;
        feed.tell(true, FeedStandIn.host("e1", e1.port(), "in_service"), FeedStandIn.host("e2", e2.port(), "in_service"));
        int listen = freePort();
        startManager(configuration(listen, feed.port(), feed.known(), Map.of()), "", listen);
        awaitReady(listen);
        for (int i = 0; i < CLIENTS; i++) {
            int schema = i;
            daemon(() -> ask(listen, schema));
        }
        Thread.sleep((long) ((DRAIN_AT - seconds()) * 1_000));
        feed.tell(false, FeedStandIn.host("e1", e1.port(), "terminating"));
        drainToldAt = seconds();
        Thread.sleep((long) ((END_AT - seconds()) * 1_000));
        note(served.get() + " requests were served");
        if (served.get() < 50) {
            throw new IllegalStateException("too few requests were served\n" + log());
        }
    }

    private void ask(int port, int schema) throws Exception {
        try (Frames client = new Frames(this, port)) {
            while (seconds() < END_AT) {
                long stream = client.send("lookup", Frames.newCall(), 3_000, "select * from sales_" + schema + ".books");
                Frames.Answer answer = client.await(stream, 3_500);
                served.addAndGet(answer != null && answer.code() == 1 ? 1 : 0);
                Thread.sleep(20);
            }
        }
    }
}
