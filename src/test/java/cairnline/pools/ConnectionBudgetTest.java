package cairnline.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConnectionBudgetTest {
    private static final long IDLE = 20_000_000;

    private final ConnectionBudget<Fake> budget = new ConnectionBudget<>(3, IDLE);
    private final Fake first = new Fake();
    private final Fake second = new Fake();
    private final Fake third = new Fake();

    private static final class Fake implements ConnectionBudget.Pooled {
        boolean over;
        boolean busy;

        @Override
        public boolean isClosed() {
            return over;
        }

        @Override
        public boolean isIdle() {
            return !busy;
        }
    }

    private void openAll() {
        budget.used(first, 1);
        budget.used(second, 2);
        assertTrue(budget.hasRoom());
        budget.used(third, 3);
        assertFalse(budget.hasRoom());
    }

    @Test
    void theOneUsedLongestAgoGivesWay() {
        openAll();
        budget.used(first, 4);
        assertSame(second, budget.leastUseful());
        assertTrue(budget.hasRoom());
        assertSame(third, budget.leastUseful());
    }

    @Test
    void noneWithSomethingOpenGivesWay() {
        openAll();
        first.busy = true;
        assertSame(second, budget.leastUseful());
        third.busy = true;
        assertNull(budget.leastUseful());
        assertEquals(2, budget.size());
    }

    @Test
    void oneThatHasEndedGivesWayWhateverWasOpenThere() {
        openAll();
        first.busy = true;
        first.over = true;
        assertSame(first, budget.leastUseful());
    }

    @Test
    void whatIsIdleForTooLongIsLetGoAndWhatIsBusyStartsAnew() {
        openAll();
        second.busy = true;
        assertEquals(List.of(), budget.stale(IDLE));
        assertEquals(List.of(first), budget.stale(IDLE + 2));
        second.busy = false;
        assertEquals(List.of(third), budget.stale(IDLE + 3));
        assertEquals(List.of(second), budget.stale(2 * IDLE + 2));
        assertEquals(0, budget.size());
    }
}
