import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Bad clients send hundreds of loads of one key at once. Checks that the workload manager does not end, and that each
 * request of the usual client gets one final answer.
 */
final class KeyBurst {
    private static final int ENGINES = 6;
    /** A load of the site takes 2,900 to 6,000 ms of work on two threads. */
    private static final int LOAD_MILLIS = 2_000;
    private static final int LOOKUP_MILLIS = 60;
    private static final int USUAL_SECONDS = 22;
    private static final int BURST_AFTER_SECONDS = 14;
    private static final int BAD_CLIENTS = 40;
    private static final int REQUESTS_EACH = 32;
    private static final long BAD_TTL_MILLIS = 3_000;

    private static final String KEY = "00000000000000aa";

    private KeyBurst() { }

    public static void main(String[] arguments) {
        Lab.main(KeyBurst::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Feed feed = lab.closing(new Lab.Feed());
        List<String> hosts = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            hosts.add(lab.new Engine("s-" + i, (query, body) ->
                    query.fields().get("profile").equals("load") ? LOAD_MILLIS : LOOKUP_MILLIS).host("in_service"));
        }
        feed.tell(true, hosts.toArray(new String[0]));
        Lab.Manager manager = lab.new Manager("n1", lab.configuration(feed), "");
        manager.start();

        List<Lab.Client> badClients = new ArrayList<>();
        if (lab.trouble) {
            Lab.start(() -> {
                Thread.sleep(BURST_AFTER_SECONDS * 1_000L);
                burst(lab, manager, badClients);
            });
        }
        Lab.Client usual = lab.new Client("usual", manager.port);
        List<Lab.Sent> sent = new ArrayList<>();
        long until = lab.millis() + USUAL_SECONDS * 1_000L;
        // Loads of a new key each, six a second, and lookups; lookups alone in the last seconds.
        for (int i = 0; lab.millis() < until && manager.isAlive() && usual.endedAt == 0; i++) {
            try {
                sent.add(i % 2 == 0 ? usual.send(i + 1, 20_000, "load", "update sales_" + i % 9 + ".stock set price = " + i,
                        "row", String.format("%016x", 1_000 + i), "dedupe", String.format("%032x", 1_000 + i), "work", "4000.0")
                        : usual.send(i + 1, 7_000, "lookup", "select title from sales_" + i % 9 + ".books", "work", "60.0"));
            } catch (IOException e) {
                lab.note("the usual client could not write: " + e.getMessage());
                break;
            }
            Thread.sleep(150);
        }
        int lost = 0;
        for (Lab.Sent request : sent) {
            boolean inTime = request.await() && request.answeredAt <= request.writtenAt + request.ttl + Lab.GRACE_MILLIS;
            if (!inTime || request.answers > 1) {
                lost++;
                lab.note("LOST " + request.call + ": " + request.outcome());
            }
        }
        lab.note("usual client: " + count(List.of(usual)) + ", lost " + lost);
        lab.note("bad clients: " + count(badClients));
        boolean ended = !manager.isAlive();
        lab.note(ended ? "THE WORKLOAD MANAGER HAS ENDED with exit code " + manager.process.exitValue() : "the workload manager runs");
        return ended || lost > 0 ? Lab.BROKEN : Lab.HELD;
    }

    /** All loads are whole and valid: one key, an idempotency key each, little time left. */
    private static void burst(Lab lab, Lab.Manager manager, List<Lab.Client> badClients) throws Exception {
        List<byte[]> bytes = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Lab.Client client = lab.new Client("bad" + i, manager.port);
            ByteArrayOutputStream requests = new ByteArrayOutputStream();
            for (int j = 1; j <= REQUESTS_EACH; j++) {
                Lab.Sent request = client.prepare(j, BAD_TTL_MILLIS);
                requests.writeBytes(client.encode(request, "load", "update sales_3.stock set price = " + j, "row",
                        KEY, "dedupe", String.format("%032x", 100_000 + i * REQUESTS_EACH + j), "work", "4000.0"));
            }
            badClients.add(client);
            bytes.add(requests.toByteArray());
        }
        lab.note("burst: " + BAD_CLIENTS + " clients send " + REQUESTS_EACH + " loads of one key each");
        Lab.Client first = lab.new Client("bad", manager.port);
        first.send(1, 20_000, "load", "update sales_3.stock set price = 0", "row", KEY, "dedupe",
                String.format("%032x", 99_999), "work", "4000.0");
        badClients.add(first);
        Thread.sleep(100);
        for (int i = 0; i < BAD_CLIENTS; i++) {
            long now = lab.millis();
            badClients.get(i).sent.values().forEach(request -> request.writtenAt = now);
            badClients.get(i).write(bytes.get(i));
        }
    }

    private static Map<String, Integer> count(List<Lab.Client> clients) {
        Map<String, Integer> outcomes = new TreeMap<>();
        clients.forEach(client -> client.sent.values().forEach(request -> outcomes.merge(request.outcome(), 1, Integer::sum)));
        return outcomes;
    }
}
