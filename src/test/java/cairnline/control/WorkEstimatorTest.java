package cairnline.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The estimate of a query's work from the client's estimate and the work of earlier queries. */
class WorkEstimatorTest {
    private static final double TYPICAL_WORK = 400;

    /** Returns an estimator trained with work and errors of given standard deviations of their logarithms. */
    private static WorkEstimator estimatorWithSpreads(double workSpread, double errorSpread) {
        WorkEstimator estimator = new WorkEstimator();
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 400; i++) {
            double work = TYPICAL_WORK * Math.exp(workSpread * random.nextGaussian());
            estimator.record(work * Math.exp(errorSpread * random.nextGaussian()), work);
        }
        return estimator;
    }

    @Test
    void returnsEstimateBeforeAnyAnswer() {
        assertEquals(1234, new WorkEstimator().expectedWork(1234), 1e-9);
    }

    /** Guards against a query being refused because its estimate, twelve times the typical work, is mostly error. */
    @Test
    void shrinksLargeEstimatesThatScatterWidely() {
        double multiple = estimatorWithSpreads(0.7, 0.8).expectedWork(12 * TYPICAL_WORK) / TYPICAL_WORK;
        assertTrue(multiple > 2 && multiple < 5, "expected multiple for an estimate of twelve times: " + multiple);
    }

    @Test
    void keepsAccurateEstimates() {
        WorkEstimator estimator = estimatorWithSpreads(0.7, 0.01);
        assertEquals(12 * TYPICAL_WORK, estimator.expectedWork(12 * TYPICAL_WORK), 0.05 * 12 * TYPICAL_WORK);
        assertEquals(TYPICAL_WORK / 5, estimator.expectedWork(TYPICAL_WORK / 5), 0.05 * TYPICAL_WORK / 5);
    }

    @Test
    void raisesEstimatesThatAreTooLow() {
        WorkEstimator estimator = new WorkEstimator();
        for (int i = 1; i <= 100; i++) {
            estimator.record(10 * i, 20 * i);
        }
        assertEquals(1000, estimator.expectedWork(500), 20);
    }

    @Test
    void returnsTypicalWorkForConstantEstimate() {
        WorkEstimator estimator = new WorkEstimator();
        for (int i = 0; i < 100; i++) {
            estimator.record(50, i % 2 == 0 ? 100 : 400);
        }
        double expected = estimator.expectedWork(50);
        assertTrue(expected > 150 && expected < 350, "expected " + expected);
        assertTrue(Double.isFinite(estimator.expectedWork(5000)));
    }
}
