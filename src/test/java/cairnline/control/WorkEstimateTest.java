package cairnline.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WorkEstimateTest {
    private static final double USUAL = 400;

    /** Work and estimates both scatter, in logarithms, by these deviations. */
    private static WorkEstimator learned(double workSpread, double error) {
        WorkEstimator estimate = new WorkEstimator();
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 400; i++) {
            double work = USUAL * Math.exp(workSpread * random.nextGaussian());
            estimate.learn(work * Math.exp(error * random.nextGaussian()), work);
        }
        return estimate;
    }

    @Test
    void beforeAnyAnswerTheEstimateStands() {
        assertEquals(1234, new WorkEstimator().expected(1234), 1e-9);
    }

    /** A lookup told as twelve times the usual was refused for what it did not need. */
    @Test
    void whereEstimatesScatterAsWidelyAsTheWorkALargeOneIsMostlyError() {
        double times = learned(0.7, 0.8).expected(12 * USUAL) / USUAL;
        assertTrue(times > 2 && times < 5, "twelve times the usual is " + times);
    }

    @Test
    void estimatesThatHoldAreBelieved() {
        WorkEstimator estimate = learned(0.7, 0.01);
        assertEquals(12 * USUAL, estimate.expected(12 * USUAL), 0.05 * 12 * USUAL);
        assertEquals(USUAL / 5, estimate.expected(USUAL / 5), 0.05 * USUAL / 5);
    }

    @Test
    void estimatesThatLieTooLowByAClassAreRaised() {
        WorkEstimator estimate = new WorkEstimator();
        for (int i = 1; i <= 100; i++) {
            estimate.learn(10 * i, 20 * i);
        }
        assertEquals(1000, estimate.expected(500), 20);
    }

    @Test
    void theSameEstimateForAllSaysOnlyWhatIsUsual() {
        WorkEstimator estimate = new WorkEstimator();
        for (int i = 0; i < 100; i++) {
            estimate.learn(50, i % 2 == 0 ? 100 : 400);
        }
        double expected = estimate.expected(50);
        assertTrue(expected > 150 && expected < 350, "expected " + expected);
        assertTrue(Double.isFinite(estimate.expected(5000)));
    }
}
