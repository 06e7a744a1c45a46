import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** A client repeats a large request, which the engines can't use, as soon as it is turned away. */
public final class LargeStatements {
    private static final int SECONDS = 25;
    private static final int STATEMENT_BYTES = 250_000;
    private static final int BAD_CLIENTS = 2;
    /** Requests of one bad client, in all and open at a time. */
    private static final int MOST = 600;
    private static final int AT_ONCE = 12;
    private static final long TTL = 15_000;

    public static void main(String[] args) {
        Lab.main(LargeStatements::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Feed feed = lab.closing(new Lab.Feed());
        Lab.Work work = new Lab.Work() {
            @Override
            public long millis(Lab.Received query, byte[] body) {
                return 20;
            }

            @Override
            public byte[] rows(Lab.Received query) {
                return query.bodyBytes() > 10_000 ? null : Lab.Work.super.rows(query);
            }
        };
        List<Lab.Engine> engines = new ArrayList<>();
        String[] hosts = new String[4];
        for (int i = 0; i < hosts.length; i++) {
            engines.add(lab.new Engine("e" + i, work));
            hosts[i] = engines.get(i).host("in_service");
        }
        feed.tell(true, hosts);
        Lab.Manager manager = lab.new Manager("n1", lab.configuration(feed), "");
        manager.start();

        List<Lab.Sent> usual = new ArrayList<>();
        Lab.Client client = lab.new Client("usual", manager.port);
        long end = lab.millis() + SECONDS * 1_000L;
        for (int i = 0; lab.trouble && i < BAD_CLIENTS; i++) {
            Lab.start(() -> {
                Thread.sleep(2_000);
                badClient(lab, manager.port, end);
            });
        }
        for (long stream = 1; lab.millis() < end && client.endedAt == 0; stream++) {
            try {
                usual.add(client.send(stream, 7_500, "lookup", "select a, b, c from sales_" + stream % 20 + ".books"));
            } catch (IOException e) {
                // A request that could not be written was not taken.
                lab.note("usual client: " + e.getMessage());
                break;
            }
            Thread.sleep(100);
        }
        int lost = 0;
        int served = 0;
        for (Lab.Sent request : usual) {
            boolean answered = request.await() && request.answers == 1;
            lost += answered ? 0 : 1;
            served += request.code == 1 ? 1 : 0;
            lab.note("request " + request.call + " at " + request.writtenAt + " ms: " + request.outcome());
        }
        boolean alive = manager.isAlive();
        lab.note("usual requests: " + usual.size() + ", served " + served + ", lost " + lost + "; engines received "
                + engines.stream().mapToInt(engine -> engine.received.size()).sum());
        lab.note("the workload manager " + (alive ? "runs" : "has ended with code " + manager.process.exitValue()));
        return usual.isEmpty() ? Lab.NOT_RUN : lost > 0 || !alive ? Lab.BROKEN : Lab.HELD;
    }

    /** Sends the same request again as soon as it is turned away, on a new connection if the last one was closed. */
    private static void badClient(Lab lab, int port, long until) throws Exception {
        String statement = "select a, b, c from sales_3.books where x = '" + "x".repeat(STATEMENT_BYTES) + "'";
        int sent = 0;
        while (sent < MOST && lab.millis() < until) {
            try (Lab.Client client = lab.new Client("bad", port)) {
                Deque<Lab.Sent> unanswered = new ArrayDeque<>();
                for (long stream = 1; client.endedAt == 0 && sent < MOST && lab.millis() < until; stream++, sent++) {
                    unanswered.add(client.send(stream, TTL, "report", statement));
                    if (unanswered.size() == AT_ONCE) {
                        Lab.Sent request = unanswered.poll();
                        request.await();
                        lab.note("bad client, request " + request.stream + ": " + request.outcome());
                    }
                }
            } catch (IOException e) {
                lab.note("bad client: " + e.getMessage());
                Thread.sleep(100);
            }
        }
    }
}
