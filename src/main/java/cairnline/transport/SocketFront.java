package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** What the fronts share: a listener whose sessions hand their requests to the core. */
public abstract class SocketFront {
    private final Listener listener;
    private final Core core;
    private final Limits limits;
    private final EventSink log;
    private final AtomicLong openBytes = new AtomicLong();
    private volatile boolean stopping;

    SocketFront(Listener listener, Core core, Limits limits, EventSink log) {
        this.listener = listener;
        this.core = core;
        this.limits = limits;
        this.log = log;
    }

    abstract Listener.Session session(SocketChannel channel);

    /** Starts to accept. */
    public void start() {
        listener.start(this::session);
    }

    /** Tells all clients, those still to come too, to ask no more, as far as their protocol can. */
    public void stopping() {
        stopping = true;
        listener.stopping();
    }

    /**
     * Ends all connections in order: what the system holds unread is read and answered, then the output is ended and the
     * clients have time to end theirs. Waits for that, this many microseconds at most.
     */
    public void drain(long most) {
        CountDownLatch drained = new CountDownLatch(1);
        listener.drain(drained);
        try {
            drained.await(most, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Connections that are open now. */
    public int connections() {
        return listener.connections();
    }

    /**
     * Counts bytes held for clients, or given back; false if they are too many. Each client is within its own limits
     * where hundreds of them together would fill the memory.
     */
    boolean hold(long bytes) {
        return openBytes.addAndGet(bytes) <= limits.clients().heldBytes();
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

    EventLoop loop() {
        return listener.loop();
    }

    Clock clock() {
        return loop().clock();
    }

    EventSink log() {
        return log;
    }
}
