package cairnline.control;

/** The standard normal distribution. */
final class Gaussian {
    private Gaussian() { }

    /** Cumulative distribution function by Abramowitz and Stegun 26.2.17; its error is below 1e-7. */
    static double cdf(double z) {
        double k = 1 / (1 + 0.2316419 * Math.abs(z));
        double sum = 1.781477937 + k * (-1.821255978 + k * 1.330274429);
        double tail = k * (0.319381530 + k * (-0.356563782 + k * sum))
                * StrictMath.exp(-z * z / 2) / StrictMath.sqrt(2 * StrictMath.PI);
        return z >= 0 ? 1 - tail : tail;
    }
}
