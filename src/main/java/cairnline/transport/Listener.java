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
 * Accepts connections at one address up to a limit, and tracks the open ones. All work happens on the event loop, so that a
 * connection counts against the limit until its file descriptor is released.
 */
public final class Listener implements EventLoop.Handler {
    private static final int BACKLOG_CONNECTIONS = 1_024;
    /** Keeps a burst of new connections from starving the open ones. */
    private static final int MAX_ACCEPTS_PER_ROUND = 8;
    /** An interrupted accept returns null too, so only several null results in a row show that no connection waits. */
    private static final int ACCEPT_CALLS_TO_CONFIRM_EMPTY = 4;
    private static final long ACCEPT_RETRY_DELAY_MICROS = 10_000;
    private static final long REPORT_INTERVAL_MICROS = 1_000_000;

    private final ServerSocketChannel server;
    private final EventLoop loop;
    private final Limits limits;
    private final int maxConnections;
    private final Clock clock;
    private final EventSink log;
    private Function<SocketChannel, Session> sessionFactory;

    /* The fields below are confined to the loop's thread, except that any thread may read sessionCount. */
    private final Set<Session> sessions = new LinkedHashSet<>();
    private volatile int sessionCount;
    private SelectionKey key;
    private Runnable onEmpty = () -> { };
    /** Since when connections may have waited to be accepted; 0 if none waited at the last check. */
    private long pendingSince;
    private long evictedCount;
    private long rejectedCount;
    private long failedAcceptCount;
    private String lastFailure = "";
    private boolean reportScheduled;

    /** One accepted connection; all methods are called on the loop's thread. */
    interface Session {
        /**
         * Starts to serve the connection, whose first bytes may have arrived since {@code arrivedSince}. Must call
         * {@code onClosed} once the connection is closed.
         */
        void start(long arrivedSince, Runnable onClosed) throws IOException;

        /** Asks the client to send no further requests, since the program is shutting down. */
        void announceShutdown();

        /** Accepts no further requests, and closes the connection once all open ones are answered. */
        void drain();

        /** Rejects the client without serving it, since the connection limit is reached. */
        void reject();

        /** Returns since when no request is open; {@code Long.MAX_VALUE} while one is. */
        default long idleSince() {
            return Long.MAX_VALUE;
        }

        /** Whether a complete request has been received. */
        default boolean hasSentRequest() {
            return true;
        }

        /**
         * Reads what waits in the socket, so that closing loses no request. Returns whether there was nothing to read and no
         * request is open.
         */
        default boolean confirmIdle() {
            return false;
        }

        /** Closes the connection. */
        void close();
    }

    /** Binds the address, for up to {@code maxConnections} connections at once; throws if the address is not available. */
    public Listener(InetSocketAddress address, int maxConnections, Limits limits, EventLoop loop, EventSink log)
            throws IOException {
        this.limits = limits;
        this.loop = loop;
        this.clock = loop.clock();
        this.maxConnections = maxConnections;
        this.log = log;
        server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.configureBlocking(false);
        server.bind(address, BACKLOG_CONNECTIONS);
    }

    /** Returns the local port. */
    public int port() {
        return server.socket().getLocalPort();
    }

    EventLoop loop() {
        return loop;
    }

    /** Returns the number of open connections; safe for any thread. */
    int connectionCount() {
        return sessionCount;
    }

    void start(Function<SocketChannel, Session> factory) {
        sessionFactory = factory;
        loop.execute(this::listen);
    }

    private void listen() {
        try {
            key = loop.register(server, SelectionKey.OP_ACCEPT, this);
        } catch (IOException e) {
            throw new IllegalStateException("can't register the listening socket", e);
        }
    }

    @Override
    public void onReady(SelectionKey readyKey) {
        acceptPending(MAX_ACCEPTS_PER_ROUND);
    }

    /** A connection that can't be served must not stop the listener. */
    @Override
    public void onFailure(Throwable failure) {
        pauseAccepting(String.valueOf(failure));
    }

    private void acceptPending(int maxAccepts) {
        for (int i = 0; i < maxAccepts; i++) {
            SocketChannel channel;
            try {
                channel = nextPending();
            } catch (IOException e) {
                // Out of file descriptors or memory, or the connection was aborted: later accepts may succeed.
                pauseAccepting(e.getMessage());
                return;
            }
            if (channel == null) {
                pendingSince = 0;
                return;
            }
            admit(channel);
        }
        pendingSince = earliestPending();
    }

    /** Returns the next connection that waits, or null. Repeats the call, since an interrupted one returns null too. */
    private SocketChannel nextPending() throws IOException {
        SocketChannel channel = null;
        for (int i = 0; i < ACCEPT_CALLS_TO_CONFIRM_EMPTY && channel == null; i++) {
            channel = server.accept();
        }
        return channel;
    }

    private void pauseAccepting(String reason) {
        pendingSince = earliestPending();
        failedAcceptCount++;
        lastFailure = reason;
        scheduleReport();
        if (key.isValid()) {
            key.interestOps(0);
            loop.schedule(clock.micros() + ACCEPT_RETRY_DELAY_MICROS, this, this::resumeAccepting);
        }
    }

    private void resumeAccepting() {
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    private void admit(SocketChannel channel) {
        Session session = createSession(channel);
        if (sessions.size() >= maxConnections && !evictIdleSession()) {
            rejectedCount++;
            scheduleReport();
            session.reject();
            return;
        }
        sessions.add(session);
        sessionCount = sessions.size();
        try {
            session.start(earliestPending(), () -> onSessionClosed(session));
        } catch (IOException e) {
            // The client has already disconnected.
            session.close();
            onSessionClosed(session);
        } catch (OutOfMemoryError e) {
            // Without a rejection the client would wait for an answer that is never sent.
            onSessionClosed(session);
            session.reject();
        }
    }

    private Session createSession(SocketChannel channel) {
        try {
            return sessionFactory.apply(channel);
        } catch (RuntimeException | OutOfMemoryError e) {
            Threads.close(channel);
            throw e;
        }
    }

    /** Returns the earliest time at which a connection that is accepted now can have arrived. */
    private long earliestPending() {
        return pendingSince > 0 ? pendingSince : loop.earliestArrival();
    }

    private void onSessionClosed(Session session) {
        sessions.remove(session);
        sessionCount = sessions.size();
        if (sessions.isEmpty()) {
            onEmpty.run();
        }
    }

    /** Evicts an idle connection, preferably one that never sent a request, then the one idle for longest; false without any. */
    private boolean evictIdleSession() {
        long idleBefore = clock.micros() - limits.clients().evictableAfter();
        List<Session> idle = sessions.stream().filter(session -> session.idleSince() <= idleBefore)
                .sorted(Comparator.comparing(Session::hasSentRequest).thenComparingLong(Session::idleSince)).toList();
        for (Session session : idle) {
            if (session.confirmIdle()) {
                evictedCount++;
                scheduleReport();
                session.close();
                onSessionClosed(session);
                return true;
            }
        }
        return false;
    }

    /** Schedules a log line about evicted and rejected connections, at most one a second. */
    private void scheduleReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            loop.schedule(clock.micros() + REPORT_INTERVAL_MICROS, this, this::logReport);
        }
    }

    private void logReport() {
        reportScheduled = false;
        log.warn("clients.crowded", "connection limit reached or accept failed", "open", sessions.size(),
                "most", maxConnections, "evicted", evictedCount, "turnedAway", rejectedCount,
                "acceptsFailed", failedAcceptCount, "lastFailure", lastFailure);
    }

    /** Asks all clients to send no further requests; safe for any thread. */
    void announceShutdown() {
        loop.execute(() -> Set.copyOf(sessions).forEach(Session::announceShutdown));
    }

    /** Stops listening and drains each connection; counts {@code drained} down when none is left. Safe for any thread. */
    void drain(CountDownLatch drained) {
        loop.execute(() -> {
            acceptPending(BACKLOG_CONNECTIONS);
            close();
            onEmpty = drained::countDown;
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
