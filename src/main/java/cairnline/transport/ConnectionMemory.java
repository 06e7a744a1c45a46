package cairnline.transport;

import cairnline.pools.MemoryBudget;
import cairnline.routing.Limits;

/**
 * The memory budgets of a group of connections: those of all clients, or those to all engines.
 *
 * @param received what was received and is still in use: partial messages, and the requests or results that they made up
 * @param unsent messages that the peers have not accepted yet
 */
public record ConnectionMemory(MemoryBudget received, MemoryBudget unsent) {
    /** The part of the memory for received requests that is kept for clients with small ones. */
    private static final int RESERVED_PART = 4;

    /** Creates the budgets of the connections of all clients. */
    public static ConnectionMemory forClients(Limits limits) {
        long heldBytes = limits.clients().heldBytes();
        return new ConnectionMemory(
                new MemoryBudget(heldBytes, heldBytes / RESERVED_PART, limits.clients().connections()),
                new MemoryBudget(limits.clients().unsentBytes()));
    }

    /** Creates the budgets of the connections to all engines. */
    public static ConnectionMemory forEngines(Limits limits) {
        return new ConnectionMemory(new MemoryBudget(limits.engines().heldBytes()),
                new MemoryBudget(limits.engines().unsentBytes()));
    }
}
