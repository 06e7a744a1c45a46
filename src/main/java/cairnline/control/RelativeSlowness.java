package cairnline.control;

/**
 * How many times slower than other engines one engine runs this front's queries, over all classes; plain state of
 * {@link Control}.
 *
 * <p>One of many fronts gets an answer of one class from one engine every few seconds: too few to tell a slow engine
 * from a long query. Answers of all classes, together with the delays projected from status updates, are several times
 * as many. The fewer and older the samples, the closer the factor is to 1, the mean of the other engines.
 */
final class RelativeSlowness {
    /** Time constant (decay to 1/e) of the samples: engines become overloaded and recover within seconds. */
    private static final double DECAY_NANOS = 4e9;
    /** Number of answers that the mean of the other engines counts for. */
    private static final double PRIOR_ANSWERS = 2;
    /** Bound for the logarithm of one sample: a larger one is due to a bad plan or a wrong estimate, not to the engine. */
    private static final double MAX_LOG_RATIO = 3;

    private double weightedLogSum, weight;
    private long updatedAt;

    /** Records a delay as a multiple of the typical one; {@code sampleWeight} is in answers. */
    void record(double ratio, double sampleWeight, long now) {
        double remaining = remaining(now);
        weightedLogSum = weightedLogSum * remaining
                + sampleWeight * Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, StrictMath.log(ratio)));
        weight = weight * remaining + sampleWeight;
        updatedAt = now;
    }

    /** Returns the expected delay here as a multiple of the delay at other engines. */
    double factor(long now) {
        double remaining = remaining(now);
        return StrictMath.exp(weightedLogSum * remaining / (weight * remaining + PRIOR_ANSWERS));
    }

    private double remaining(long now) {
        return weight == 0 ? 0 : StrictMath.exp((updatedAt - now) / DECAY_NANOS);
    }
}
