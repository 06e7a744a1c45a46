package cairnline.transport;

import cairnline.pools.ConnectionBudget;
import cairnline.pools.ConnectionBudget.Pooled;
import cairnline.routing.Attempt;
import cairnline.routing.Clock;
import cairnline.routing.EngineLink;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

/**
 * Base of the links to engines. Opens connections as needed, within the budget that all links share, and keeps the time after
 * which no attempt may be sent. Confined to the dispatcher's thread, except where noted.
 *
 * @param <C> the type of the connections
 */
public abstract class PooledLink<C extends PooledLink.Connection> implements EngineLink {
    private final int maxConnections;
    private final ConnectionBudget<Connection> budget;
    private final Clock clock;
    /** The open connections; confined to the dispatcher's thread. */
    private final List<C> connections = new ArrayList<>();
    /** No attempt may be sent after this time; read by the event loop. */
    private volatile long sendDeadline = Long.MAX_VALUE;

    /** A connection of a link. */
    public interface Connection extends Pooled {
        /** Cancels the attempt if it is in flight on this connection. */
        void cancel(Attempt attempt);

        /** Closes the connection, and so ends the attempts in flight on it. */
        void close();
    }

    /** Creates a link of up to {@code maxConnections} connections to its engine, as far as the shared budget has room. */
    PooledLink(int maxConnections, ConnectionBudget<Connection> budget, Clock clock) {
        this.maxConnections = maxConnections;
        this.budget = budget;
        this.clock = clock;
    }

    /**
     * Returns the least loaded eligible connection, or a new one if its load reaches {@code loadThreshold} and the limits allow
     * another connection. Returns null if there is neither.
     */
    final C acquire(Predicate<C> eligible, ToIntFunction<C> load, int loadThreshold, Supplier<C> opener) {
        long now = clock.micros();
        budget.removeExpired(now).forEach(Connection::close);
        connections.removeIf(Connection::isClosed);
        C leastLoaded = connections.stream().filter(eligible).min(Comparator.comparingInt(load)).orElse(null);
        boolean reuse = leastLoaded != null && load.applyAsInt(leastLoaded) < loadThreshold
                || connections.size() >= maxConnections;
        C chosen = reuse || !makeRoom() ? leastLoaded : opener.get();
        if (chosen != null && chosen != leastLoaded) {
            connections.add(chosen);
        }
        if (chosen != null) {
            budget.markUsed(chosen, now);
        }
        return chosen;
    }

    /** Evicts an idle connection of any link if the budget is used up; returns whether another connection may be opened. */
    private boolean makeRoom() {
        Connection evicted = budget.hasRoom() ? null : budget.evictIdle();
        if (evicted != null) {
            evicted.close();
        }
        return budget.hasRoom();
    }

    final List<C> connections() {
        return connections;
    }

    @Override
    public final void giveUp(Attempt attempt) {
        connections.forEach(connection -> connection.cancel(attempt));
    }

    @Override
    public final void stopSendingAfter(long time) {
        sendDeadline = time;
    }

    final long sendDeadline() {
        return sendDeadline;
    }

    @Override
    public final void resetConnections() {
        connections.forEach(budget::remove);
        connections.forEach(Connection::close);
        connections.clear();
    }

    @Override
    public final void close() {
        resetConnections();
    }
}
