package cairnline.transport;

import cairnline.pools.MemoryBudget;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of attempts on a connection that ended before their complete answer, which may therefore still arrive. The oldest ids
 * are evicted once there are too many on the connection, or once the memory budget is exceeded. Not thread-safe.
 */
final class AbandonedIds {
    /** Memory of an id: the string with its 16 digits, and the entry of the set. */
    private static final int ID_BYTES = 120;

    private final int maxIds;
    private final MemoryBudget.Account memory;
    private final Set<String> ids = new LinkedHashSet<>();

    AbandonedIds(int maxIds, MemoryBudget budget) {
        this.maxIds = maxIds;
        this.memory = budget.openAccount();
    }

    boolean contains(String id) {
        return ids.contains(id);
    }

    void add(String id) {
        if (!ids.add(id)) {
            return;
        }
        boolean hasRoom = memory.add(ID_BYTES) && ids.size() <= maxIds;
        if (!hasRoom && ids.size() > 1) {
            evictOldest();
        }
    }

    private void evictOldest() {
        Iterator<String> oldest = ids.iterator();
        oldest.next();
        oldest.remove();
        memory.add(-ID_BYTES);
    }

    /** Discards all ids when the connection has ended. */
    void close() {
        ids.clear();
        memory.close();
    }
}
