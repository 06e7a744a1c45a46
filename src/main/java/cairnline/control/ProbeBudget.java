package cairnline.control;

import java.util.SplittableRandom;

/**
 * When an engine is asked for its load; plain state of {@link Control}. Times in nanoseconds.
 *
 * <p>Each front asking each engine every second is nothing for three fronts and six engines, but grows with fronts times
 * engines. So a front asks at most as often as its own requests pay for: then all fronts together do so too, however
 * many they are. Outside of that stand engines that may be lost, and one probe in the longest pause.
 * Each pause is drawn anew: fronts that hear of the same idle engine at the same moment all send there.
 */
final class ProbeBudget {
    /** Part of the worth asked for that all probes together may cost, at the price told. */
    private static final double SPEND = 0.03;
    /** Shortest and longest pause for an engine that is there. */
    private static final long LEAST = 1_000_000_000L, MOST = 30_000_000_000L;
    /** Engines that one front asks in the shortest pause; more of them are asked less often each. */
    private static final int ASKED_MOST = 50;
    /** First pause for one that may not be there any more, and how often it doubles. */
    private static final long LOST = 250_000_000L;
    private static final int DOUBLINGS = 4;
    /** Pauses are drawn between these parts of what is due. */
    private static final double EARLY = 0.75, LATE = 1.25;
    /** Time over which own requests are counted. */
    private static final long COUNTED = 4_000_000_000L;

    private final double perRequest;
    private final SplittableRandom random;
    private final SlidingWindow requests = new SlidingWindow();
    private final long startedAt;

    /** {@code price} is the part of the worth asked for that a probe for each request costs; 0 if they are free. */
    ProbeBudget(double price, long now, SplittableRandom random) {
        this.perRequest = price > 0 ? SPEND / price : Double.MAX_VALUE;
        this.random = random;
        this.startedAt = now;
    }

    void asked(long now) {
        requests.add(now, 1);
    }

    /** When an engine is to be asked next, of so many; {@code lost} is how often in a row it was thought lost. */
    long next(long now, int engines, int lost) {
        if (lost > 0) {
            return now + drawn(LOST << Math.min(DOUBLINGS, lost - 1));
        }
        double span = Math.max(LEAST, Math.min(COUNTED, now - startedAt));
        double paid = perRequest * Math.max(1, requests.since(now - COUNTED)) / span;
        double least = LEAST * Math.max(1, (double) engines / ASKED_MOST);
        return now + drawn((long) Math.max(least, Math.min(MOST, engines / paid)));
    }

    /** A first time for an engine just listed: spread over what is usually the pause. */
    long first(long now, int engines) {
        return now + (long) (random.nextDouble() * (next(now, engines, 0) - now));
    }

    private long drawn(long pause) {
        return (long) (pause * (EARLY + (LATE - EARLY) * random.nextDouble()));
    }
}
