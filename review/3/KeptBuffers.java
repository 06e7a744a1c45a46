import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Bad clients, five at a time, each send one large request of a class that does not exist, read the answer and then say
 * nothing. Checks that the workload manager does not end, and that each request of the usual client gets one final answer.
 */
final class KeptBuffers {
    private static final int ENGINES = 6;
    private static final int LOOKUP_MILLIS = 60;
    private static final int USUAL_SECONDS = 10;
    private static final int BURST_AFTER_SECONDS = 3;
    /** A third of the 1,024 descriptors are 341; the usual client holds one more. */
    private static final int BAD_CLIENTS = 250;
    private static final int SENDERS = 5;
    /** A frame of the greatest length, 262,144, after the four bytes that hold the length. */
    private static final int FRAME_BYTES = 4 + 262_144;

    private KeptBuffers() { }

    public static void main(String[] arguments) {
        Lab.main(KeptBuffers::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Feed feed = lab.closing(new Lab.Feed());
        List<String> hosts = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            hosts.add(lab.new Engine("s-" + i, (query, body) -> LOOKUP_MILLIS).host("in_service"));
        }
        feed.tell(true, hosts.toArray(new String[0]));
        Lab.Manager manager = lab.new Manager("n1", lab.configuration(feed), "");
        manager.start();

        List<Lab.Client> badClients = new CopyOnWriteArrayList<>();
        if (lab.trouble) {
            for (int i = 0; i < SENDERS; i++) {
                int number = i;
                Lab.start(() -> send(lab, manager, number, badClients));
            }
        }
        Lab.Client usual = lab.new Client("usual", manager.port);
        List<Lab.Sent> sent = new ArrayList<>();
        long until = lab.millis() + USUAL_SECONDS * 1_000L;
        for (int i = 0; lab.millis() < until && manager.isAlive() && usual.endedAt == 0; i++) {
            try {
                sent.add(usual.send(i + 1, 7_000, "lookup", "select title from sales_" + i % 9 + ".books", "work", "60.0"));
            } catch (IOException e) {
                lab.note("the usual client could not write: " + e.getMessage());
                break;
            }
            Thread.sleep(50);
        }
        int lost = 0;
        for (Lab.Sent request : sent) {
            boolean inTime = request.await() && request.answeredAt <= request.writtenAt + request.ttl + Lab.GRACE_MILLIS;
            boolean isLost = !inTime || request.answers > 1;
            lost += isLost ? 1 : 0;
            note(lab, "usual client", request, isLost ? ", LOST" : "");
        }
        badClients.forEach(client -> client.sent.values().forEach(request -> note(lab, client.name, request, "")));
        lab.note("usual client: " + count(List.of(usual)) + ", lost " + lost);
        lab.note("bad clients: " + count(badClients));
        boolean ended = !manager.isAlive();
        lab.note(ended ? "THE WORKLOAD MANAGER HAS ENDED with exit code " + manager.process.exitValue() : "the workload manager runs");
        return ended || lost > 0 ? Lab.BROKEN : Lab.HELD;
    }

    /** Sends the requests of some bad clients, one after another. */
    private static void send(Lab lab, Lab.Manager manager, int number, List<Lab.Client> badClients) throws Exception {
        Thread.sleep(BURST_AFTER_SECONDS * 1_000L);
        lab.note("bad clients begin");
        for (int i = 0; i < BAD_CLIENTS / SENDERS && manager.isAlive(); i++) {
            Lab.Client client = lab.new Client("bad" + number + "-" + i, manager.port);
            badClients.add(client);
            Lab.Sent request = client.prepare(1, 7_000);
            int fields = client.encode(request, "no-such-class", "").length;
            byte[] frame = client.encode(request, "no-such-class", "x".repeat(FRAME_BYTES - fields));
            request.writtenAt = lab.millis();
            client.write(frame);
            request.await();
        }
        lab.note("bad clients have sent their requests");
    }

    private static void note(Lab lab, String client, Lab.Sent request, String remark) {
        lab.note(client + ", request " + request.call + ": written at " + request.writtenAt + " ms, " + request.outcome()
                + (request.answers > 0 ? " at " + request.answeredAt + " ms" : "") + remark);
    }

    private static Map<String, Integer> count(List<Lab.Client> clients) {
        Map<String, Integer> outcomes = new TreeMap<>();
        clients.forEach(client -> client.sent.values().forEach(request -> outcomes.merge(request.outcome(), 1, Integer::sum)));
        return outcomes;
    }
}
