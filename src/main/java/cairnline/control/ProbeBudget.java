package cairnline.control;

import java.util.SplittableRandom;

/**
 * Schedules the load probes of engines; plain state of {@link Control}. Times in nanoseconds.
 *
 * <p>A probe by each front of each engine every second is negligible for three fronts and six engines, but the cost
 * grows with fronts times engines. So a front probes at most as often as its own requests pay for; then all fronts
 * together stay within that budget too, however many they are. Exempt from the budget are engines that may be
 * unreachable, and one probe of each engine per longest interval. Each interval is drawn at random: fronts that learned
 * of the same idle engine at the same moment would all send there.
 */
final class ProbeBudget {
    /** Part of the worth of all requests that all probes together may cost, at the configured cost of a probe. */
    private static final double MAX_WORTH_SHARE = 0.03;
    /** Shortest and longest interval for a reachable engine. */
    private static final long MIN_INTERVAL_NANOS = 1_000_000_000L, MAX_INTERVAL_NANOS = 30_000_000_000L;
    /** Engines that one front probes per shortest interval; with more engines each is probed less often. */
    private static final int MAX_ENGINES_PER_INTERVAL = 50;
    /** First interval for an engine that may be unreachable, and how often it doubles. */
    private static final long UNREACHABLE_INTERVAL_NANOS = 250_000_000L;
    private static final int MAX_DOUBLINGS = 4;
    /** Bounds of the random factor on an interval. */
    private static final double MIN_JITTER = 0.75, MAX_JITTER = 1.25;
    /** Time over which own requests are counted. */
    private static final long REQUEST_WINDOW_NANOS = 4_000_000_000L;

    private final double probesPerRequest;
    private final SplittableRandom random;
    private final SlidingWindow requests = new SlidingWindow(REQUEST_WINDOW_NANOS);
    private final long startedAt;

    /** {@code cost} is the part of the requests' worth that a probe for each request costs; 0 if probes are free. */
    ProbeBudget(double cost, long now, SplittableRandom random) {
        this.probesPerRequest = cost > 0 ? MAX_WORTH_SHARE / cost : Double.MAX_VALUE;
        this.random = random;
        this.startedAt = now;
    }

    void recordRequest(long now) {
        requests.add(now, 1);
    }

    /**
     * Returns the time of an engine's next probe, given the number of engines; {@code unreachableProbes} is the number
     * of consecutive probes for which it was assumed to be unreachable.
     */
    long nextAt(long now, int engines, int unreachableProbes) {
        if (unreachableProbes > 0) {
            return now + withJitter(UNREACHABLE_INTERVAL_NANOS << Math.min(MAX_DOUBLINGS, unreachableProbes - 1));
        }
        double window = Math.max(MIN_INTERVAL_NANOS, Math.min(REQUEST_WINDOW_NANOS, now - startedAt));
        double probeRate = probesPerRequest * Math.max(1, requests.sumSince(now - REQUEST_WINDOW_NANOS)) / window;
        double minInterval = MIN_INTERVAL_NANOS * Math.max(1, (double) engines / MAX_ENGINES_PER_INTERVAL);
        return now + withJitter((long) Math.max(minInterval, Math.min(MAX_INTERVAL_NANOS, engines / probeRate)));
    }

    /** Returns the time of the first probe of an engine just listed: spread evenly over the usual interval. */
    long firstAt(long now, int engines) {
        return now + (long) (random.nextDouble() * (nextAt(now, engines, 0) - now));
    }

    private long withJitter(long interval) {
        return (long) (interval * (MIN_JITTER + (MAX_JITTER - MIN_JITTER) * random.nextDouble()));
    }
}
