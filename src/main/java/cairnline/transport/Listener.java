package cairnline.transport;

import cairnline.routing.Clock;
import cairnline.routing.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Accepts connections at one address, up to a cap, and keeps those that are open. */
public final class Listener {
    private static final int BACKLOG = 1_024;
    private static final long PAUSE = 10_000;

    private final ServerSocket server;
    private final Limits limits;
    private final int most;
    private final Clock clock;
    private final Set<Session> sessions = ConcurrentHashMap.newKeySet();

    /** One accepted connection. */
    interface Session {
        /** Starts to serve; {@code ended} must be called once it is over. */
        void start(Runnable ended);

        /** The program is stopping: asks the client to ask no more. */
        void stopping();

        /** Waits until what has been answered is written, this many microseconds at most. */
        void flush(long most);

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

        /**
         * Takes nothing more, if nothing is open; decided and marked in one step, so that no request is taken on a
         * connection that is about to close.
         */
        default boolean retire() {
            return false;
        }

        /** Ends the connection. */
        void close();
    }

    /** Listens; fails if the address can't be had. */
    public Listener(InetSocketAddress address, int most, Limits limits, Clock clock) throws IOException {
        this.limits = limits;
        this.clock = clock;
        this.most = most;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address, BACKLOG);
    }

    /** The port listened on. */
    public int port() {
        return server.getLocalPort();
    }

    void start(String name, Function<Socket, Session> open) {
        Threads.startVital(name, limits.coreStack(), () -> accept(open));
    }

    private void accept(Function<Socket, Session> open) {
        while (!server.isClosed()) {
            try {
                admit(server.accept(), open);
            } catch (IOException | OutOfMemoryError e) {
                // Out of descriptors or memory: neither may end the program.
                Threads.pause(PAUSE);
            }
        }
    }

    private void admit(Socket socket, Function<Socket, Session> open) {
        try {
            socket.setTcpNoDelay(true);
        } catch (IOException e) {
            // It has left at once.
            Threads.close(socket);
            return;
        }
        Session session = open.apply(socket);
        if (sessions.size() >= most && !madeRoom()) {
            session.tooMany();
            return;
        }
        sessions.add(session);
        try {
            session.start(() -> sessions.remove(session));
        } catch (OutOfMemoryError e) {
            // There is no thread to be had for it: it must not wait for an answer that never comes.
            sessions.remove(session);
            session.tooMany();
        }
    }

    /** Ends the connection that is missed least: one that has asked nothing before others, then the longest idle. */
    private boolean madeRoom() {
        Session least = null;
        long leastSince = Long.MAX_VALUE;
        long newest = clock.micros() - limits.evictable();
        for (Session session : sessions) {
            long since = session.idleSince();
            if (since <= newest && (least == null || least.hasAsked() && !session.hasAsked()
                    || least.hasAsked() == session.hasAsked() && since < leastSince)) {
                least = session;
                leastSince = since;
            }
        }
        if (least == null || !least.retire()) {
            return false;
        }
        sessions.remove(least);
        least.close();
        return true;
    }

    Set<Session> sessions() {
        return sessions;
    }

    void stopping() {
        sessions.forEach(Session::stopping);
    }

    void flush(long most) {
        sessions.forEach(session -> session.flush(most / Math.max(1, sessions.size())));
    }

    /** Stops listening. */
    public void close() {
        Threads.close(server);
    }
}
