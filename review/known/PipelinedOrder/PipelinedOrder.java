import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An uploader sends many commands at once on one connection; the last is a load of a key. A till sends a load of the same
 * key later, on another connection. Checks that the two loads run in the order in which they were taken.
 */
final class PipelinedOrder {
    private static final int ENGINES = 6;
    private static final int ROUNDS = 5;
    /** One connection carries up to 32 open requests: the loads of other keys, and the one of the shared key. */
    private static final int OTHERS = 31;
    private static final int LOAD_MILLIS = 150;
    /** Requests with one key are written no less than 60 ms apart. */
    private static final int APART_MILLIS = 100;
    private static final int STATEMENT_BYTES = 100_000;

    private PipelinedOrder() { }

    public static void main(String[] arguments) {
        Lab.main(PipelinedOrder::run);
    }

    /** A load as an uploader writes it: its rows go through the schema staging first. */
    private static String statement(int group) {
        StringBuilder text = new StringBuilder();
        while (text.length() < STATEMENT_BYTES) {
            text.append("insert into staging.rows(isbn, price) values (97800").append(text.length()).append(", 12.50);\n");
        }
        return text.append("update sales_").append(group).append(".stock set price = staging.rows.price").toString();
    }

    private static int run(Lab lab) throws Exception {
        Map<String, Double> began = new ConcurrentHashMap<>();
        Lab.Feed feed = lab.closing(new Lab.Feed());
        List<String> hosts = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            hosts.add(lab.new Engine("s-" + i, (query, body) -> {
                began.putIfAbsent(query.id(), query.at());
                return LOAD_MILLIS;
            }).host("in_service"));
        }
        feed.tell(true, hosts.toArray(new String[0]));
        Lab.Manager manager = lab.new Manager("n1", lab.configuration(feed), "");
        manager.start();

        Lab.Client uploader = lab.new Client("uploader", manager.port);
        Lab.Client till = lab.new Client("till", manager.port);
        // Neither connection is new when the requests of the shared key come.
        uploader.send(1, 7_000, "lookup", "select 1 from sales_1.books").await();
        till.send(1, 7_000, "lookup", "select 1 from sales_1.books").await();
        String statement = statement(4);
        int inverted = 0;
        int notRun = 0;
        for (int round = 0; round < ROUNDS; round++) {
            int number = 1_000 * (round + 1);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            List<Lab.Sent> others = new ArrayList<>();
            for (int i = 1; lab.trouble && i <= OTHERS; i++) {
                others.add(uploader.prepare(number + i, 20_000));
                bytes.writeBytes(uploader.encode(others.get(i - 1), "load", statement, "row", String.format("%016x", number + i),
                        "dedupe", String.format("%032x", number + i), "work", "300.0"));
            }
            String row = String.format("%016x", 0xaa0000 + round);
            Lab.Sent first = uploader.prepare(number + 100, 20_000);
            bytes.writeBytes(uploader.encode(first, "load", "update sales_4.stock set price = 1", "row", row, "dedupe",
                    String.format("%032x", number + 100), "work", "300.0"));
            uploader.write(bytes.toByteArray());
            first.writtenAt = lab.millis();
            others.forEach(request -> request.writtenAt = first.writtenAt);
            Thread.sleep(APART_MILLIS);
            double before = lab.millis() / 1e3;
            Lab.Sent second = till.send(number + 100, 20_000, "load", "update sales_4.stock set price = 2", "row", row, "dedupe",
                    String.format("%032x", number + 200), "work", "300.0");
            first.await();
            second.await();
            Double firstBegan = began.get(first.call);
            Double secondBegan = began.get(second.call);
            boolean swapped = firstBegan != null && secondBegan != null && secondBegan < firstBegan;
            inverted += swapped ? 1 : 0;
            notRun += firstBegan == null || secondBegan == null ? 1 : 0;
            lab.note("key " + row + ": written whole " + first.writtenAt / 1e3 + " (uploader), begun to write " + before
                    + " (till); ran at " + firstBegan + " (" + first.outcome() + ") and " + secondBegan + " (" + second.outcome()
                    + ")" + (swapped ? ": THE LATER ONE RAN FIRST" : ""));
            for (Lab.Sent request : others) {
                request.await();
            }
            lab.note("others: " + count(others));
            Thread.sleep(700);
        }
        lab.note("keys whose loads ran in the wrong order: " + inverted + " of " + ROUNDS + ", not run: " + notRun);
        return inverted > 0 ? Lab.BROKEN : notRun == ROUNDS ? Lab.NOT_RUN : Lab.HELD;
    }

    private static Map<String, Integer> count(List<Lab.Sent> requests) {
        Map<String, Integer> outcomes = new TreeMap<>();
        requests.forEach(request -> outcomes.merge(request.outcome(), 1, Integer::sum));
        return outcomes;
    }
}
