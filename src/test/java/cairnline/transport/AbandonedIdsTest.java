package cairnline.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.pools.MemoryBudget;
import org.junit.jupiter.api.Test;

/** Guards against ids of attempts that ended early filling the heap on connections that live long. */
class AbandonedIdsTest {
    private static final int BUDGET_BYTES = 12_000;

    @Test
    void evictsTheOldestIdsOnceTheBudgetIsExceededAndReleasesAllAtTheEnd() {
        MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
        AbandonedIds ids = new AbandonedIds(1 << 20, budget);
        for (int i = 0; i < 10_000; i++) {
            ids.add(String.format("%016x", i));
            ids.add(String.format("%016x", i));
        }
        assertTrue(budget.heldBytes() > BUDGET_BYTES / 2 && budget.heldBytes() <= BUDGET_BYTES, budget.heldBytes() + " held");
        assertTrue(ids.contains(String.format("%016x", 9_999)));
        assertFalse(ids.contains(String.format("%016x", 0)));
        ids.close();
        assertEquals(0, budget.heldBytes());
    }

    @Test
    void keepsTheNewestIdsOfAConnection() {
        AbandonedIds ids = new AbandonedIds(2, new MemoryBudget(BUDGET_BYTES));
        ids.add("a");
        ids.add("b");
        ids.add("c");
        assertFalse(ids.contains("a"));
        assertTrue(ids.contains("b"));
        assertTrue(ids.contains("c"));
    }
}
