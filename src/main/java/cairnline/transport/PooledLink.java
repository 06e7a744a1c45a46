package cairnline.transport;

import cairnline.routing.Attempt;
import cairnline.routing.EngineLink;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

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

    /**
     * The connection with the least on it of those that will do; a new one if that is too much, as long as there may
     * be more; null if there is none.
     */
    final C connection(Predicate<C> willDo, ToIntFunction<C> load, int tooMuch, Supplier<C> open) {
        connections.removeIf(Connection::isOver);
        C least = connections.stream().filter(willDo).min(Comparator.comparingInt(load)).orElse(null);
        if (least != null && load.applyAsInt(least) < tooMuch || connections.size() >= most) {
            return least;
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
