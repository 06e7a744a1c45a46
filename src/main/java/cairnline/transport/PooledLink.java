package cairnline.transport;

import cairnline.routing.Attempt;
import cairnline.routing.EngineLink;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** What the links share: connections opened as needed, and the time after which nothing new may leave. */
abstract class PooledLink<C extends PooledLink.Connection> implements EngineLink {
    private final int most;
    /** Only the core's thread touches these. */
    private final List<C> connections = new ArrayList<>();
    private volatile long lastSend = Long.MAX_VALUE;

    /** A connection of a link. */
    interface Connection {
        boolean isOver();

        void giveUp(Attempt attempt);

        void close();
    }

    PooledLink(int most) {
        this.most = most;
    }

    /** The first connection that will do, or a new one; null if there are too many. */
    final C connection(Predicate<C> willDo, Supplier<C> open) {
        connections.removeIf(Connection::isOver);
        for (C connection : connections) {
            if (willDo.test(connection)) {
                return connection;
            }
        }
        if (connections.size() >= most) {
            return null;
        }
        C opened = open.get();
        connections.add(opened);
        return opened;
    }

    final List<C> connections() {
        return connections;
    }

    @Override
    public final void giveUp(Attempt attempt) {
        connections.forEach(connection -> connection.giveUp(attempt));
    }

    @Override
    public final void lastSend(long time) {
        lastSend = time;
    }

    final long lastSend() {
        return lastSend;
    }

    @Override
    public final void renew() {
        connections.forEach(Connection::close);
        connections.clear();
    }

    @Override
    public final void close() {
        renew();
    }
}
