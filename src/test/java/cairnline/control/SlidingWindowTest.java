package cairnline.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.SafetyRules;
import org.junit.jupiter.api.Test;

/** Guards against windows that grow with every request, where nothing asks for their sum. */
class SlidingWindowTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final int WINDOW_SECONDS = 10;

    @Test
    void holdsOnlyTheAmountsOfItsLengthWithoutBeingSummed() {
        SlidingWindow window = new SlidingWindow(WINDOW_SECONDS * SECOND_NANOS);
        for (int second = 0; second < 1_000; second++) {
            window.add(second * SECOND_NANOS, 1);
            assertTrue(window.size() <= WINDOW_SECONDS + 1, () -> window.size() + " amounts held");
        }
        assertEquals(WINDOW_SECONDS + 1, window.sumSince(989 * SECOND_NANOS));
        assertEquals(0, window.sumSince(1_000 * SECOND_NANOS));
    }

    @Test
    void retryBudgetHoldsOnlyTheRequestsOfItsWindowWhileNothingIsRetried() {
        RetryBudget budget = new RetryBudget(new SafetyRules(0, 1, 0, 0, 0, 0, 1, 0.5, WINDOW_SECONDS * SECOND_NANOS));
        for (int second = 0; second < 1_000; second++) {
            budget.recordRequest(second * SECOND_NANOS);
        }
        assertTrue(budget.size() <= WINDOW_SECONDS + 1, () -> budget.size() + " events held");
        long now = 999 * SECOND_NANOS;
        for (int retry = 0; retry < 1 + WINDOW_SECONDS / 2; retry++) {
            assertTrue(budget.hasRoom(now), "retry " + retry);
            budget.recordRetry(now);
        }
        assertFalse(budget.hasRoom(now));
    }
}
