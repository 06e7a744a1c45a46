package cairnline.control;

/**
 * The work to expect of a query whose estimate is told, for one class; plain state of {@link Control}.
 *
 * <p>Estimates scatter about as widely as the work itself. So the larger one is, the more of it is error: a query told
 * as twelve times the usual is three times as large, and would be refused for what it does not need. This is the linear
 * regression of the logarithm of the work on that of the estimate, over recent answers.
 */
final class WorkEstimator {
    /** Weight of the newest answer, once there are some. */
    private static final double GAIN = 0.02;
    /** Answers that the prior counts for: that estimates are right. */
    private static final int PRIOR = 5;
    /** Variances, of logarithms, before anything is known, and least that is divided by. */
    private static final double VARIANCE = 0.5, LEAST = 1e-6;
    /** Remaining variance that is counted at most: a tail is no usual query. */
    private static final double REST_MOST = 1;

    private double told, work, toldSquare = VARIANCE, workSquare = VARIANCE, both = VARIANCE;
    private int heard;

    /** An answer has told the work that a query of this estimate needed; both in the same unit, above 0. */
    void learn(double estimate, double needed) {
        double x = StrictMath.log(estimate), y = StrictMath.log(needed);
        double gain = Math.max(GAIN, 1.0 / (heard + 1)), spread = Math.max(GAIN, 1.0 / (heard + 1 + PRIOR));
        double dx = x - told, dy = y - work;
        told += gain * dx;
        work += gain * dy;
        if (heard > 0) {
            toldSquare += spread * (dx * (x - told) - toldSquare);
            workSquare += spread * (dy * (y - work) - workSquare);
            both += spread * (dx * (y - work) - both);
        }
        heard++;
    }

    /** The work to expect on average, in the estimate's unit. */
    double expected(double estimate) {
        if (heard == 0) {
            return estimate;
        }
        double slope = Math.max(0, Math.min(1, both / Math.max(LEAST, toldSquare)));
        double rest = Math.max(0, Math.min(REST_MOST, workSquare - slope * both));
        return StrictMath.exp(work + slope * (StrictMath.log(estimate) - told) + rest / 2);
    }
}
