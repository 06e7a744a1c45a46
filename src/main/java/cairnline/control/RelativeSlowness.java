package cairnline.control;

/**
 * How many times slower than elsewhere an engine runs what this front sends it, all classes together; plain state of
 * {@link Control}.
 *
 * <p>A front of many has an answer of one class from one engine every few seconds: too few to tell a slow engine from a
 * long query. All classes together, with what the notes of running attempts foretell, are several times as many. The
 * less was heard and the longer ago, the nearer this is to 1, the others' mean.
 */
final class RelativeSlowness {
    /** Time in which what was heard comes down to 1/e: engines jam and recover in seconds. */
    private static final double LIFE = 4e9;
    /** Answers that the others' mean counts for. */
    private static final double PRIOR = 2;
    /** One that is off by more is a query with a bad plan or an estimate far off, not an engine. */
    private static final double MOST = 3;

    private double sum, weight;
    private long at;

    /** Heard, with this weight in answers: it took or will take so many times what is usual. */
    void hear(double times, double worth, long now) {
        double left = left(now);
        sum = sum * left + worth * Math.max(-MOST, Math.min(MOST, StrictMath.log(times)));
        weight = weight * left + worth;
        at = now;
    }

    /** Times that a query takes here what it takes elsewhere. */
    double factor(long now) {
        double left = left(now);
        return StrictMath.exp(sum * left / (weight * left + PRIOR));
    }

    private double left(long now) {
        return weight == 0 ? 0 : StrictMath.exp((at - now) / LIFE);
    }
}
