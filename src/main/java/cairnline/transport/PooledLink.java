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
 * What the links share: connections opened as needed, within what all links together may have, and the time after which
 * nothing new may leave.
 */
public abstract class PooledLink<C extends PooledLink.Connection> implements EngineLink {
    private final int most;
    private final ConnectionBudget<Connection> budget;
    private final Clock clock;
    /** Only the core's thread touches these. */
    private final List<C> connections = new ArrayList<>();
    private volatile long lastSend = Long.MAX_VALUE;

    /** A connection of a link. */
    public interface Connection extends Pooled {
        /** Ends the attempt if it is out here. */
        void giveUp(Attempt attempt);

        /** Ends the connection, and with it what is out here. */
        void close();
    }

    /** A link of at most so many connections to its engine, and with all others as many as the budget has. */
    PooledLink(int most, ConnectionBudget<Connection> budget, Clock clock) {
        this.most = most;
        this.budget = budget;
        this.clock = clock;
    }

    /**
     * The connection with the least on it of those that will do; a new one if that is too much, as long as there may
     * be more; null if there is none.
     */
    final C connection(Predicate<C> willDo, ToIntFunction<C> load, int tooMuch, Supplier<C> open) {
        long now = clock.micros();
        budget.stale(now).forEach(Connection::close);
        connections.removeIf(Connection::isOver);
        C least = connections.stream().filter(willDo).min(Comparator.comparingInt(load)).orElse(null);
        boolean enough = least != null && load.applyAsInt(least) < tooMuch || connections.size() >= most;
        C chosen = enough || !madeRoom() ? least : open.get();
        if (chosen != null && chosen != least) {
            connections.add(chosen);
        }
        if (chosen != null) {
            budget.used(chosen, now);
        }
        return chosen;
    }

    private boolean madeRoom() {
        Connection least = budget.hasRoom() ? null : budget.leastUseful();
        if (least != null) {
            least.close();
        }
        return budget.hasRoom();
    }

    final List<C> connections() {
        return connections;
    }

    @Override
    public final void giveUp(Attempt attempt) {
        connections.forEach(connection -> connection.giveUp(attempt));
    }

    @Override
    public final void stopSendingAfter(long time) {
        lastSend = time;
    }

    final long lastSend() {
        return lastSend;
    }

    @Override
    public final void resetConnections() {
        connections.forEach(budget::ended);
        connections.forEach(Connection::close);
        connections.clear();
    }

    @Override
    public final void close() {
        resetConnections();
    }
}
