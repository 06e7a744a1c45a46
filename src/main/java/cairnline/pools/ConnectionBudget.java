package cairnline.pools;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits the open connections to all engines together, since each costs a file descriptor here and a connection slot at its
 * engine. If there is no room for another connection, the least recently used one that has nothing in flight is evicted.
 * Does no I/O, reads no clock and is not thread-safe; times are microseconds on the program's clock.
 *
 * @param <C> the type of the connections
 */
public final class ConnectionBudget<C extends ConnectionBudget.Pooled> {
    private final int maxConnections;
    private final long idleTimeout;
    /** The time of the last use of each connection, least recently used first. */
    private final Map<C, Long> lastUsedAt = new LinkedHashMap<>();

    /** A connection that counts against the budget. */
    public interface Pooled {
        /** Whether the connection is closed. */
        boolean isClosed();

        /** Whether the connection is open with nothing in flight. */
        boolean isIdle();
    }

    /** Creates a budget of {@code maxConnections}, which expire after {@code idleTimeout} microseconds without use. */
    public ConnectionBudget(int maxConnections, long idleTimeout) {
        this.maxConnections = maxConnections;
        this.idleTimeout = idleTimeout;
    }

    /** Adds a connection that was opened, or marks one as most recently used. */
    public void markUsed(C connection, long now) {
        lastUsedAt.remove(connection);
        lastUsedAt.put(connection, now);
    }

    /** Removes a closed connection. */
    public void remove(C connection) {
        lastUsedAt.remove(connection);
    }

    /** Whether another connection may be opened. */
    public boolean hasRoom() {
        return lastUsedAt.size() < maxConnections;
    }

    /** Returns the number of connections. */
    public int size() {
        return lastUsedAt.size();
    }

    /**
     * Removes and returns the least recently used connection that is idle or closed, which the caller must close; null if all
     * connections are in use.
     */
    public C evictIdle() {
        for (Iterator<C> iterator = lastUsedAt.keySet().iterator(); iterator.hasNext();) {
            C connection = iterator.next();
            if (connection.isClosed() || connection.isIdle()) {
                iterator.remove();
                return connection;
            }
        }
        return null;
    }

    /** Removes and returns the connections to close because they expired; one with something in flight is marked as used now. */
    public List<C> removeExpired(long now) {
        List<C> expired = new ArrayList<>(0);
        List<C> busy = new ArrayList<>(0);
        for (Iterator<Map.Entry<C, Long>> iterator = lastUsedAt.entrySet().iterator(); iterator.hasNext();) {
            Map.Entry<C, Long> entry = iterator.next();
            if (now - entry.getValue() < idleTimeout) {
                break;
            }
            iterator.remove();
            C connection = entry.getKey();
            (connection.isClosed() || connection.isIdle() ? expired : busy).add(connection);
        }
        busy.forEach(connection -> markUsed(connection, now));
        return expired;
    }
}
