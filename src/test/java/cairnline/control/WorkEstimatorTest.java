package cairnline.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WorkEstimatorTest {
    private static final double USUAL = 400;

    /** Work and estimates both scatter, in logarithms, by these deviations. */
    private static WorkEstimator learned(double workSpread, double error) {
        WorkEstimator estimator = new WorkEstimator();
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 400; i++) {
            double work = USUAL * Math.exp(workSpread * random.nextGaussian());
            estimator.record(work * Math.exp(error * random.nextGaussian()), work);
        }
        return estimator;
    }

    @Test
    void beforeAnyAnswerTheEstimateStands() {
        assertEquals(1234, new WorkEstimator().expectedWork(1234), 1e-9);
    }

    /** A lookup told as twelve times the usual was refused for what it did not need. */
    @Test
    void whereEstimatesScatterAsWidelyAsTheWorkALargeOneIsMostlyError() {
        double times = learned(0.7, 0.8).expectedWork(12 * USUAL) / USUAL;
        assertTrue(times > 2 && times < 5, "twelve times the usual is " + times);
    }

    @Test
    void estimatesThatHoldAreBelieved() {
        WorkEstimator estimator = learned(0.7, 0.01);
        assertEquals(12 * USUAL, estimator.expectedWork(12 * USUAL), 0.05 * 12 * USUAL);
        assertEquals(USUAL / 5, estimator.expectedWork(USUAL / 5), 0.05 * USUAL / 5);
    }

    @Test
    void estimatesThatLieTooLowByAClassAreRaised() {
        WorkEstimator estimator = new WorkEstimator();
        for (int i = 1; i <= 100; i++) {
            estimator.record(10 * i, 20 * i);
        }
        assertEquals(1000, estimator.expectedWork(500), 20);
    }

    @Test
    void theSameEstimateForAllSaysOnlyWhatIsUsual() {
        WorkEstimator estimator = new WorkEstimator();
        for (int i = 0; i < 100; i++) {
            estimator.record(50, i % 2 == 0 ? 100 : 400);
        }
        double expected = estimator.expectedWork(50);
        assertTrue(expected > 150 && expected < 350, "expected " + expected);
        assertTrue(Double.isFinite(estimator.expectedWork(5000)));
    }
}
