package cairnline.pools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which connections the budget evicts and which it expires. */
class ConnectionBudgetTest {
    private static final long IDLE_TIMEOUT_MICROS = 20_000_000;

    private final ConnectionBudget<FakeConnection> budget = new ConnectionBudget<>(3, IDLE_TIMEOUT_MICROS);
    private final FakeConnection first = new FakeConnection();
    private final FakeConnection second = new FakeConnection();
    private final FakeConnection third = new FakeConnection();

    private static final class FakeConnection implements ConnectionBudget.Pooled {
        boolean closed;
        boolean busy;

        @Override
        public boolean isClosed() {
            return closed;
        }

        @Override
        public boolean isIdle() {
            return !busy;
        }
    }

    private void openAll() {
        budget.markUsed(first, 1);
        budget.markUsed(second, 2);
        assertTrue(budget.hasRoom());
        budget.markUsed(third, 3);
        assertFalse(budget.hasRoom());
    }

    @Test
    void evictsLeastRecentlyUsedConnection() {
        openAll();
        budget.markUsed(first, 4);
        assertSame(second, budget.evictIdle());
        assertTrue(budget.hasRoom());
        assertSame(third, budget.evictIdle());
    }

    @Test
    void doesNotEvictBusyConnections() {
        openAll();
        first.busy = true;
        assertSame(second, budget.evictIdle());
        third.busy = true;
        assertNull(budget.evictIdle());
        assertEquals(2, budget.size());
    }

    @Test
    void evictsClosedConnectionEvenIfBusy() {
        openAll();
        first.busy = true;
        first.closed = true;
        assertSame(first, budget.evictIdle());
    }

    @Test
    void expiresIdleConnectionsAndRestartsTimeoutOfBusyOnes() {
        openAll();
        second.busy = true;
        assertEquals(List.of(), budget.removeExpired(IDLE_TIMEOUT_MICROS));
        assertEquals(List.of(first), budget.removeExpired(IDLE_TIMEOUT_MICROS + 2));
        second.busy = false;
        assertEquals(List.of(third), budget.removeExpired(IDLE_TIMEOUT_MICROS + 3));
        assertEquals(List.of(second), budget.removeExpired(2 * IDLE_TIMEOUT_MICROS + 2));
        assertEquals(0, budget.size());
    }
}
