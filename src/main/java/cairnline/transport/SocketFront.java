package cairnline.transport;

import cairnline.logs.Events;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** What the fronts share: a listener whose sessions hand their requests to the core. */
public abstract class SocketFront {
    private final String name;
    private final Listener listener;
    private final Core core;
    private final Limits limits;
    private final Clock clock;
    private final Events log;
    private final AtomicLong openBytes = new AtomicLong();
    private volatile boolean stopping;

    SocketFront(String name, Listener listener, Core core, Limits limits, Clock clock, Events log) {
        this.name = name;
        this.listener = listener;
        this.core = core;
        this.limits = limits;
        this.clock = clock;
        this.log = log;
    }

    abstract Listener.Session session(Socket socket);

    /** Starts to accept. */
    public void start() {
        listener.start(name, this::session);
    }

    /** Tells all clients, those still to come too, to ask no more, as far as their protocol can. */
    public void stopping() {
        stopping = true;
        listener.stopping();
    }

    /** Waits until the last answers have left. */
    public void flush() {
        listener.flush(limits.flush());
    }

    /** Connections that are open now. */
    public int connections() {
        return listener.sessions().size();
    }

    /**
     * Counts bytes held for clients, or given back; false if they are too many. Each client is within its own limits
     * where hundreds of them together would fill the memory.
     */
    boolean hold(long bytes) {
        return openBytes.addAndGet(bytes) <= limits.openBytes();
    }

    boolean isStopping() {
        return stopping;
    }

    Core core() {
        return core;
    }

    Limits limits() {
        return limits;
    }

    Clock clock() {
        return clock;
    }

    Events log() {
        return log;
    }
}
