package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.routing.Clock;
import cairnline.routing.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

/**
 * Accepts connections at one address, up to a cap, and keeps those that are open. All of it happens on the event loop, so
 * that a connection counts until its descriptor is free.
 */
public final class Listener implements EventLoop.Handler {
    private static final int BACKLOG = 1_024;
    /** Connections accepted before others are served again. */
    private static final int ACCEPTS_PER_ROUND = 8;
    /** So many calls in a row that give nothing show that nothing waits. */
    private static final int CALLS_FOR_NONE = 4;
    private static final long RETRY_ACCEPT_MICROS = 10_000;
    private static final long REPORT_EVERY_MICROS = 1_000_000;

    private final ServerSocketChannel server;
    private final EventLoop loop;
    private final Limits limits;
    private final int most;
    private final Clock clock;
    private final EventSink log;
    private Function<SocketChannel, Session> open;

    /* Only the loop's thread touches what follows. */
    private final Set<Session> sessions = new LinkedHashSet<>();
    private volatile int sessionCount;
    private SelectionKey key;
    private Runnable whenEmpty = () -> { };
    /** Since when connections may wait that were not accepted; 0 if none did when last looked at. */
    private long leftSince;
    private long evicted;
    private long turnedAway;
    private long acceptsFailed;
    private String lastFailure = "";
    private boolean reportDue;

    /** One accepted connection; all on the loop's thread. */
    interface Session {
        /** Starts to serve what may have come since a time; {@code ended} must be called once it is over. */
        void start(long since, Runnable ended) throws IOException;

        /** The program is stopping: asks the client to ask no more. */
        void stopping();

        /** Takes nothing more, and ends the connection once nothing is open on it. */
        void drain();

        /** Turns the client away without serving it: too many are here. */
        void tooMany();

        /** Since when nothing is open here; {@code Long.MAX_VALUE} while something is. */
        default long idleSince() {
            return Long.MAX_VALUE;
        }

        /** Whether anything whole has come. */
        default boolean hasAsked() {
            return true;
        }

        /** Takes nothing more if nothing is open, not even what the system holds unread; gives whether that is so. */
        default boolean retire() {
            return false;
        }

        /** Ends the connection. */
        void close();
    }

    /** Listens; fails if the address can't be had. */
    public Listener(InetSocketAddress address, int most, Limits limits, EventLoop loop, EventSink log) throws IOException {
        this.limits = limits;
        this.loop = loop;
        this.clock = loop.clock();
        this.most = most;
        this.log = log;
        server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.configureBlocking(false);
        server.bind(address, BACKLOG);
    }

    /** The port listened on. */
    public int port() {
        return server.socket().getLocalPort();
    }

    EventLoop loop() {
        return loop;
    }

    /** How many connections are open; any thread may call. */
    int connections() {
        return sessionCount;
    }

    void start(Function<SocketChannel, Session> opener) {
        open = opener;
        loop.execute(this::listen);
    }

    private void listen() {
        try {
            key = loop.register(server, SelectionKey.OP_ACCEPT, this);
        } catch (IOException e) {
            throw new IllegalStateException("can't listen", e);
        }
    }

    @Override
    public void ready(SelectionKey ready) {
        acceptWaiting(ACCEPTS_PER_ROUND);
    }

    /** One connection that can't be served must not end the listener. */
    @Override
    public void failed(Throwable cause) {
        pauseAccepting(String.valueOf(cause));
    }

    private void acceptWaiting(int atMost) {
        for (int i = 0; i < atMost; i++) {
            SocketChannel channel;
            try {
                channel = nextWaiting();
            } catch (IOException e) {
                // Out of descriptors or memory, or the connection has been aborted: others may still come up.
                pauseAccepting(e.getMessage());
                return;
            }
            if (channel == null) {
                leftSince = 0;
                return;
            }
            admit(channel);
        }
        leftSince = waitingSince();
    }

    /** The next connection that waits; null if none does. A call that was interrupted gives null too, and so is made again. */
    private SocketChannel nextWaiting() throws IOException {
        SocketChannel channel = null;
        for (int i = 0; i < CALLS_FOR_NONE && channel == null; i++) {
            channel = server.accept();
        }
        return channel;
    }

    private void pauseAccepting(String why) {
        leftSince = waitingSince();
        acceptsFailed++;
        lastFailure = why;
        report();
        if (key.isValid()) {
            key.interestOps(0);
            loop.schedule(clock.micros() + RETRY_ACCEPT_MICROS, this, this::resumeAccepting);
        }
    }

    private void resumeAccepting() {
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    private void admit(SocketChannel channel) {
        Session session = sessionOf(channel);
        if (sessions.size() >= most && !madeRoom()) {
            turnedAway++;
            report();
            session.tooMany();
            return;
        }
        sessions.add(session);
        sessionCount = sessions.size();
        try {
            session.start(waitingSince(), () -> ended(session));
        } catch (IOException e) {
            // It has left at once.
            session.close();
            ended(session);
        } catch (OutOfMemoryError e) {
            // It must not wait for an answer that never comes.
            ended(session);
            session.tooMany();
        }
    }

    private Session sessionOf(SocketChannel channel) {
        try {
            return open.apply(channel);
        } catch (RuntimeException | OutOfMemoryError e) {
            Threads.close(channel);
            throw e;
        }
    }

    /** Since when a connection that is accepted now may have waited. */
    private long waitingSince() {
        return leftSince > 0 ? leftSince : loop.arrivedSince();
    }

    private void ended(Session session) {
        sessions.remove(session);
        sessionCount = sessions.size();
        if (sessions.isEmpty()) {
            whenEmpty.run();
        }
    }

    /** Ends the connection that is missed least: one that has asked nothing before others, then the longest idle. */
    private boolean madeRoom() {
        long newest = clock.micros() - limits.clients().evictableAfter();
        List<Session> idle = sessions.stream().filter(session -> session.idleSince() <= newest)
                .sorted(Comparator.comparing(Session::hasAsked).thenComparingLong(Session::idleSince)).toList();
        for (Session session : idle) {
            if (session.retire()) {
                evicted++;
                report();
                session.close();
                ended(session);
                return true;
            }
        }
        return false;
    }

    /** Logs at most once a second what became of connections for which there was no room. */
    private void report() {
        if (!reportDue) {
            reportDue = true;
            loop.schedule(clock.micros() + REPORT_EVERY_MICROS, this, this::reportNow);
        }
    }

    private void reportNow() {
        reportDue = false;
        log.warn("clients.crowded", "no room for all connections", "open", sessions.size(), "most", most, "evicted", evicted,
                "turnedAway", turnedAway, "acceptsFailed", acceptsFailed, "lastFailure", lastFailure);
    }

    /** Tells all clients to ask no more; any thread may call. */
    void stopping() {
        loop.execute(() -> Set.copyOf(sessions).forEach(Session::stopping));
    }

    /** Stops listening and ends each connection once nothing is open on it; counts down when none is left. */
    void drain(CountDownLatch drained) {
        loop.execute(() -> {
            acceptWaiting(BACKLOG);
            close();
            whenEmpty = drained::countDown;
            Set.copyOf(sessions).forEach(Session::drain);
            if (sessions.isEmpty()) {
                drained.countDown();
            }
        });
    }

    /** Stops listening. */
    public void close() {
        Threads.close(server);
    }
}
