package cairnline.control;

/**
 * Estimates the work of a query from the client's estimate, for one class; plain state of {@link Control}.
 *
 * <p>Clients' estimates scatter about as widely as the work itself. So the larger an estimate is, the more of it is error:
 * a query estimated at twelve times the usual work needs about three times the usual, and taken at face value would be
 * refused for work that it does not need. This is the linear regression of the logarithm of the work on that of the
 * estimate, over recent answers.
 */
final class WorkEstimator {
    /** Weight of the newest answer, once there are enough of them. */
    private static final double SMOOTHING = 0.02;
    /** Number of answers that the prior counts for: that estimates are right. */
    private static final int PRIOR_ANSWERS = 5;
    /** Prior of the variances of the logarithms, and the least variance to divide by. */
    private static final double PRIOR_VARIANCE = 0.5, MIN_VARIANCE = 1e-6;
    /** Upper bound of the residual variance: a long tail is not representative. */
    private static final double MAX_RESIDUAL_VARIANCE = 1;

    private double meanLogEstimate, meanLogWork;
    private double estimateVariance = PRIOR_VARIANCE, workVariance = PRIOR_VARIANCE, covariance = PRIOR_VARIANCE;
    private int answers;

    /** Records the work that a query with this estimate needed; both in the same unit, above 0. */
    void record(double estimate, double work) {
        double x = StrictMath.log(estimate), y = StrictMath.log(work);
        double meanWeight = Math.max(SMOOTHING, 1.0 / (answers + 1));
        double varianceWeight = Math.max(SMOOTHING, 1.0 / (answers + 1 + PRIOR_ANSWERS));
        double dx = x - meanLogEstimate, dy = y - meanLogWork;
        meanLogEstimate += meanWeight * dx;
        meanLogWork += meanWeight * dy;
        if (answers > 0) {
            estimateVariance += varianceWeight * (dx * (x - meanLogEstimate) - estimateVariance);
            workVariance += varianceWeight * (dy * (y - meanLogWork) - workVariance);
            covariance += varianceWeight * (dx * (y - meanLogWork) - covariance);
        }
        answers++;
    }

    /** Returns the expected work, in the unit of the estimate. */
    double expectedWork(double estimate) {
        if (answers == 0) {
            return estimate;
        }
        double slope = Math.max(0, Math.min(1, covariance / Math.max(MIN_VARIANCE, estimateVariance)));
        double residual = Math.max(0, Math.min(MAX_RESIDUAL_VARIANCE, workVariance - slope * covariance));
        return StrictMath.exp(meanLogWork + slope * (StrictMath.log(estimate) - meanLogEstimate) + residual / 2);
    }
}
