package cairnline.pools;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which connections to engines are kept open, over all engines of the list together. Each costs a descriptor here and a
 * place at its engine. They are opened by need; where there is no room for one more the one that was used longest ago
 * gives way, and none that has anything open on it. It does no I/O, reads no clock and is used by one thread; times are
 * microseconds on the program's clock.
 *
 * @param <C> a connection
 */
public final class ConnectionBudget<C extends ConnectionBudget.Pooled> {
    private final int most;
    private final long idle;
    /** When each was last used; the one used longest ago stands first. */
    private final Map<C, Long> used = new LinkedHashMap<>();

    /** What is asked of a connection. */
    public interface Pooled {
        /** Whether it has ended. */
        boolean isClosed();

        /** Whether nothing is open on it. */
        boolean isIdle();
    }

    /** Room for {@code most} connections, which are let go after {@code idle} without use. */
    public ConnectionBudget(int most, long idle) {
        this.most = most;
        this.idle = idle;
    }

    /** It has been opened, or something was asked on it. */
    public void used(C connection, long now) {
        used.remove(connection);
        used.put(connection, now);
    }

    /** It is closed. */
    public void ended(C connection) {
        used.remove(connection);
    }

    /** Whether one more may be opened. */
    public boolean hasRoom() {
        return used.size() < most;
    }

    /** How many are kept. */
    public int size() {
        return used.size();
    }

    /**
     * Takes out the connection that is to be closed so that another may be opened: the one idle for longest; null if
     * something is open on all of them.
     */
    public C leastUseful() {
        for (Iterator<C> each = used.keySet().iterator(); each.hasNext();) {
            C connection = each.next();
            if (connection.isClosed() || connection.isIdle()) {
                each.remove();
                return connection;
            }
        }
        return null;
    }

    /** Takes out those to be closed because nothing was asked there for too long; what is open somewhere counts as use. */
    public List<C> stale(long now) {
        List<C> stale = new ArrayList<>(0);
        List<C> busy = new ArrayList<>(0);
        for (Iterator<Map.Entry<C, Long>> each = used.entrySet().iterator(); each.hasNext();) {
            Map.Entry<C, Long> entry = each.next();
            if (now - entry.getValue() < idle) {
                break;
            }
            each.remove();
            C connection = entry.getKey();
            (connection.isClosed() || connection.isIdle() ? stale : busy).add(connection);
        }
        busy.forEach(connection -> used(connection, now));
        return stale;
    }
}
