package cairnline.program;

import cairnline.standin.StandInClient;
import cairnline.standin.StandInRespEngine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * An open-loop workload of the platform's three request classes: it sends at a fixed rate however the answers arrive, and
 * counts outcomes by class. Shares, worths and latency targets are those of the deployment's requirements.
 */
final class SyntheticWorkload {
    private static final int MAX_OPEN_PER_CONNECTION = 32;

    private record ClassProfile(String name, double share, double worth, long timeoutMillis, double workMillis,
                                long latencyTargetMillis) { }

    private static final List<ClassProfile> PROFILES = List.of(new ClassProfile("lookup", 0.81, 1, 7_000, 310, 1_965),
            new ClassProfile("report", 0.14, 5, 14_000, 4_200, 4_625),
            new ClassProfile("load", 0.05, 4, 24_000, 4_500, 9_750));

    /** Outcome counts of one class; only requests served within their latency target add to the worth served. */
    static final class Tally {
        int requested;
        int served;
        int refused;
        int failed;
        double worthRequested;
        double worthServed;
    }

    private final int port;
    private final SplittableRandom random;
    private final double scale;
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final List<StandInClient> clients = new ArrayList<>();
    private long firstServedNanos;
    private int requestCount;

    /** Creates a workload for the manager at a port; {@code scale} multiplies the work of each query. */
    SyntheticWorkload(int port, long seed, double scale) {
        this.port = port;
        this.random = new SplittableRandom(seed);
        this.scale = scale;
    }

    /** Sends {@code count} requests at the given rate; returns when the last one is sent. */
    void send(int count, double perSecond) throws IOException, InterruptedException {
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long sendAt = start + (long) (i / perSecond * 1e9);
            for (long remaining = sendAt - System.nanoTime(); remaining > 0; remaining = sendAt - System.nanoTime()) {
                TimeUnit.NANOSECONDS.sleep(remaining);
            }
            sendRandomRequest();
        }
    }

    private void sendRandomRequest() throws IOException {
        double drawn = random.nextDouble();
        ClassProfile profile = PROFILES.get(drawn < PROFILES.get(0).share ? 0 : drawn < 1 - PROFILES.get(2).share ? 1 : 2);
        synchronized (this) {
            Tally tally = tallies.computeIfAbsent(profile.name, name -> new Tally());
            tally.requested++;
            tally.worthRequested += profile.worth;
        }
        StandInClient client = clients.stream().filter(c -> c.openRequests() < MAX_OPEN_PER_CONNECTION).findFirst()
                .orElse(null);
        if (client == null) {
            client = new StandInClient(port, answer -> countAnswer(answer));
            clients.add(client);
        }
        String requestId = String.format("%08x%08x", random.nextInt(), requestCount++);
        String orderingKey = profile.name.equals("load") ? String.format("%016x", random.nextInt(1_000)) : null;
        client.send(profile.name, requestId, orderingKey, profile.timeoutMillis, profile.workMillis * scale);
    }

    private synchronized void countAnswer(StandInClient.Answer answer) {
        ClassProfile profile = PROFILES.stream().filter(p -> p.name.equals(answer.requestClass())).findFirst().orElseThrow();
        Tally tally = tallies.get(answer.requestClass());
        if (answer.code() == 1) {
            tally.served++;
            tally.worthServed += answer.latencyMicros() <= profile.latencyTargetMillis * 1_000 ? profile.worth : 0;
            firstServedNanos = firstServedNanos == 0 ? System.nanoTime() : firstServedNanos;
        } else if (answer.code() == 0) {
            tally.refused++;
        } else {
            tally.failed++;
        }
        notifyAll();
    }

    /** Waits until all requests are answered, at most for the given time. */
    synchronized void await(long timeoutSeconds) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        while (answerCount() < requestCount && System.nanoTime() < deadline) {
            TimeUnit.NANOSECONDS.timedWait(this, Math.max(1, deadline - System.nanoTime()));
        }
    }

    private int answerCount() {
        return tallies.values().stream().mapToInt(t -> t.served + t.refused + t.failed).sum();
    }

    /** Returns the {@link System#nanoTime} of the first served answer; 0 if there is none. */
    synchronized long firstServedNanos() {
        return firstServedNanos;
    }

    /** Returns the worth served within the latency targets as a share of the worth requested. */
    synchronized double worthServedShare() {
        double requested = tallies.values().stream().mapToDouble(t -> t.worthRequested).sum();
        return requested == 0 ? 0 : tallies.values().stream().mapToDouble(t -> t.worthServed).sum() / requested;
    }

    /** Returns a table with a line for each class. */
    synchronized String report() {
        StringBuilder out = new StringBuilder(String.format("%-8s %8s %8s %8s %8s %8s%n", "class", "asked", "served",
                "refused", "failed", "open"));
        tallies.forEach((name, t) -> out.append(String.format("%-8s %8d %8d %8d %8d %8d%n", name, t.requested, t.served,
                t.refused, t.failed, t.requested - t.served - t.refused - t.failed)));
        return out.toString();
    }

    void close() throws IOException {
        for (StandInClient client : clients) {
            client.close();
        }
    }

    /** Returns what the queries of each class cost an engine at the given scale. */
    static Map<String, StandInRespEngine.Cost> costs(double scale) {
        Map<String, StandInRespEngine.Cost> costs = new TreeMap<>();
        int[] threads = {1, 4, 2};
        for (int i = 0; i < PROFILES.size(); i++) {
            costs.put(PROFILES.get(i).name, new StandInRespEngine.Cost(
                    (long) (PROFILES.get(i).workMillis * scale * 1_000), threads[i]));
        }
        return costs;
    }
}
