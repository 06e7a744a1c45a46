package cairnline.program;

import cairnline.standin.StandInRespEngine;
import cairnline.standin.StandInClient;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A mix of the platform's three classes, sent at a steady rate whatever becomes of it, and what became of it by class.
 * Shares, worths and wanted times are those of the deployment's brief.
 */
final class SyntheticWorkload {
    private static final int OPEN_PER_CONNECTION = 32;

    private record Kind(String type, double share, double worth, long ttlMs, double workMs, long aimMs) { }

    private static final List<Kind> KINDS = List.of(new Kind("lookup", 0.81, 1, 7_000, 310, 1_965),
            new Kind("report", 0.14, 5, 14_000, 4_200, 4_625), new Kind("load", 0.05, 4, 24_000, 4_500, 9_750));

    /** What became of one class; worth is that of what was served in its wanted time. */
    static final class Tally {
        int asked;
        int served;
        int refused;
        int failed;
        double worthAsked;
        double worthServed;
    }

    private final int port;
    private final SplittableRandom random;
    private final double scale;
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final List<StandInClient> clients = new ArrayList<>();
    private long firstServed;
    private int calls;

    /** For the manager at this port; {@code scale} is how large each query is against the brief's. */
    SyntheticWorkload(int port, long seed, double scale) {
        this.port = port;
        this.random = new SplittableRandom(seed);
        this.scale = scale;
    }

    /** So many requests at so many a second; returns when the last is sent. */
    void send(int count, double perSecond) throws IOException, InterruptedException {
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long due = start + (long) (i / perSecond * 1e9);
            for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
                TimeUnit.NANOSECONDS.sleep(left);
            }
            ask();
        }
    }

    private void ask() throws IOException {
        double drawn = random.nextDouble();
        Kind kind = KINDS.get(drawn < KINDS.get(0).share ? 0 : drawn < 1 - KINDS.get(2).share ? 1 : 2);
        synchronized (this) {
            Tally tally = tallies.computeIfAbsent(kind.type, name -> new Tally());
            tally.asked++;
            tally.worthAsked += kind.worth;
        }
        StandInClient free = clients.stream().filter(c -> c.open() < OPEN_PER_CONNECTION).findFirst().orElse(null);
        if (free == null) {
            free = new StandInClient(port, answer -> take(answer));
            clients.add(free);
        }
        String call = String.format("%08x%08x", random.nextInt(), calls++);
        String key = kind.type.equals("load") ? String.format("%016x", random.nextInt(1_000)) : null;
        free.send(kind.type, call, key, kind.ttlMs, kind.workMs * scale);
    }

    private synchronized void take(StandInClient.Answer answer) {
        Kind kind = KINDS.stream().filter(k -> k.type.equals(answer.type())).findFirst().orElseThrow();
        Tally tally = tallies.get(answer.type());
        if (answer.code() == 1) {
            tally.served++;
            tally.worthServed += answer.micros() <= kind.aimMs * 1_000 ? kind.worth : 0;
            firstServed = firstServed == 0 ? System.nanoTime() : firstServed;
        } else if (answer.code() == 0) {
            tally.refused++;
        } else {
            tally.failed++;
        }
        notifyAll();
    }

    /** Waits for all answers, this long at most. */
    synchronized void await(long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (answered() < calls && System.nanoTime() < end) {
            TimeUnit.NANOSECONDS.timedWait(this, Math.max(1, end - System.nanoTime()));
        }
    }

    private int answered() {
        return tallies.values().stream().mapToInt(t -> t.served + t.refused + t.failed).sum();
    }

    /** When the first was served, by {@link System#nanoTime}; 0 if none was. */
    synchronized long firstServed() {
        return firstServed;
    }

    /** Worth served in time over worth asked for. */
    synchronized double worth() {
        double asked = tallies.values().stream().mapToDouble(t -> t.worthAsked).sum();
        return asked == 0 ? 0 : tallies.values().stream().mapToDouble(t -> t.worthServed).sum() / asked;
    }

    /** A line for each class. */
    synchronized String report() {
        StringBuilder out = new StringBuilder(String.format("%-8s %8s %8s %8s %8s %8s%n", "class", "asked", "served",
                "refused", "failed", "open"));
        tallies.forEach((name, t) -> out.append(String.format("%-8s %8d %8d %8d %8d %8d%n", name, t.asked, t.served,
                t.refused, t.failed, t.asked - t.served - t.refused - t.failed)));
        return out.toString();
    }

    void close() throws IOException {
        for (StandInClient client : clients) {
            client.close();
        }
    }

    /** What the queries of each class cost an engine, in the same scale. */
    static Map<String, StandInRespEngine.Cost> costs(double scale) {
        Map<String, StandInRespEngine.Cost> costs = new TreeMap<>();
        int[] threads = {1, 4, 2};
        for (int i = 0; i < KINDS.size(); i++) {
            costs.put(KINDS.get(i).type, new StandInRespEngine.Cost(
                    (long) (KINDS.get(i).workMs * scale * 1_000), threads[i]));
        }
        return costs;
    }
}
