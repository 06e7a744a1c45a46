package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.routing.Clock;
import cairnline.routing.Dispatcher;
import cairnline.routing.Limits;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Base of the client-facing servers: a listener whose sessions pass their requests to the dispatcher. */
public abstract class SocketFront {
    private static final long MEMORY_REPORT_INTERVAL_MICROS = 1_000_000;

    private final Listener listener;
    private final Dispatcher dispatcher;
    private final Limits limits;
    private final EventSink log;
    private final EventSink clientEvents;
    private final ConnectionMemory memory;
    private final SubmissionQueue submissions = new SubmissionQueue(task -> loop().execute(task));
    private final AtomicLong memoryReportedAt = new AtomicLong();
    private volatile boolean stopping;

    SocketFront(Listener listener, Dispatcher dispatcher, Limits limits, ConnectionMemory memory, EventSink log) {
        this.listener = listener;
        this.dispatcher = dispatcher;
        this.limits = limits;
        this.memory = memory;
        this.log = log;
        this.clientEvents = new RateLimitedEvents(log, listener.loop().clock()::micros);
    }

    abstract Listener.Session newSession(SocketChannel channel);

    /** Starts to accept connections. */
    public void start() {
        listener.start(this::newSession);
    }

    /** Asks all present and future clients to send no further requests, as far as their protocol has a message for that. */
    public void announceShutdown() {
        stopping = true;
        listener.announceShutdown();
    }

    /**
     * Closes all connections gracefully: input that waits in the sockets is read and answered, then the output is shut down
     * and the clients have time to shut down theirs. Blocks until that is done or {@code timeoutMicros} have passed.
     */
    public void drain(long timeoutMicros) {
        CountDownLatch drained = new CountDownLatch(1);
        listener.drain(drained);
        try {
            drained.await(timeoutMicros, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return listener.connectionCount();
    }

    /** Returns the memory budgets of the clients' connections. */
    ConnectionMemory memory() {
        return memory;
    }

    /** Logs that a memory budget is exceeded, at most once a second. Safe for any thread. */
    void reportMemoryExceeded() {
        long now = clock().micros();
        long previous = memoryReportedAt.get();
        if (now - previous >= MEMORY_REPORT_INTERVAL_MICROS && memoryReportedAt.compareAndSet(previous, now)) {
            log.warn("clients.memory", "a memory budget of the clients is exceeded", "receivedBytes",
                    memory.received().heldBytes(), "unsentBytes", memory.unsent().heldBytes());
        }
    }

    /** Returns the requests that were read and not passed on yet. */
    SubmissionQueue submissions() {
        return submissions;
    }

    boolean isStopping() {
        return stopping;
    }

    Dispatcher dispatcher() {
        return dispatcher;
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

    /** Returns the log of events that clients cause, whose rate is limited; on the event loop. */
    EventSink clientEvents() {
        return clientEvents;
    }
}
