package cairnline.transport;

import cairnline.routing.Clock;
import cairnline.routing.CriticalThread;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Comparator;
import java.util.Iterator;
import java.util.Queue;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One thread that serves any number of non-blocking channels, their timers, and tasks that other threads leave. The number
 * of threads is thus independent of the number of connections. Callbacks must not block for long; one that throws ends only
 * what it served.
 */
public final class EventLoop implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 16_384;
    private static final long MICROS_PER_MILLI = 1_000;

    private final Clock clock;
    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean wakeupPending = new AtomicBoolean();
    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparingLong(Timer::due).thenComparingLong(Timer::number));
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private long timerCount;
    /** When the selector was last asked, and no channel but those it gave was ready. */
    private long polledAt;
    private long arrivedSince;
    private volatile boolean closed;

    /** What a registered channel's readiness is told to. */
    interface Handler {
        /** The channel is ready for what its key says. */
        void ready(SelectionKey key);

        /** {@link #ready} or a timer of this channel threw: the channel must be given up. */
        void failed(Throwable cause);
    }

    /** A task that is due at a time, in microseconds on the loop's clock. */
    record Timer(long due, long number, Handler owner, Runnable task) { }

    /** A loop that does not run yet; the stack is in bytes. Throws if the system has no descriptor for its selector. */
    public EventLoop(String name, int stackBytes, Clock clock) throws IOException {
        this.clock = clock;
        this.selector = Selector.open();
        this.thread = new Thread(null, CriticalThread.wrap(this::run), name, stackBytes);
        thread.setDaemon(true);
    }

    /** Starts the loop's thread. */
    public void start() {
        thread.start();
    }

    /** The clock by which its timers go. */
    public Clock clock() {
        return clock;
    }

    /** Leaves a task for the loop's thread; tasks run in the order left. Any thread may call. */
    void execute(Runnable task) {
        tasks.add(task);
        if (Thread.currentThread() != thread && wakeupPending.compareAndSet(false, true)) {
            selector.wakeup();
        }
    }

    /** Registers a non-blocking channel; on the loop's thread. */
    SelectionKey register(SelectableChannel channel, int operations, Handler handler) throws IOException {
        return channel.register(selector, operations, handler);
    }

    /** Runs a task at a time in microseconds, unless it is cancelled before; on the loop's thread. */
    Timer schedule(long due, Handler owner, Runnable task) {
        Timer timer = new Timer(due, timerCount++, owner, task);
        timers.add(timer);
        return timer;
    }

    /** Takes a timer back; one that has fired or is null is ignored. On the loop's thread. */
    void cancel(Timer timer) {
        if (timer != null) {
            timers.remove(timer);
        }
    }

    /**
     * The earliest time at which what a ready channel holds can have come, as far as it was read out before: since the
     * selector was last asked, which is long ago where a round took long.
     */
    long arrivedSince() {
        return arrivedSince;
    }

    /** A buffer that any callback may use until it returns. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** Ends the thread; channels are left as they are. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
    }

    private void run() {
        polledAt = clock.micros();
        while (!closed) {
            select();
            wakeupPending.set(false);
            serveReady();
            runTasks();
            runTimers();
        }
    }

    private void select() {
        try {
            arrivedSince = polledAt;
            polledAt = clock.micros();
            int ready = selector.selectNow();
            // That has used up a wake-up: whoever leaves a task from here on must give another.
            wakeupPending.set(false);
            if (ready == 0) {
                arrivedSince = polledAt;
                await();
            }
        } catch (IOException e) {
            throw new IllegalStateException("the selector failed", e);
        }
    }

    /** Waits until something is ready; nothing was when the selector was asked before. */
    private void await() throws IOException {
        long wait = tasks.isEmpty() ? untilNextTimer() : 0;
        if (wait == Long.MAX_VALUE) {
            selector.select();
        } else if (wait > 0) {
            selector.select(wait);
        }
    }

    /** Milliseconds until the next timer is due, rounded up; 0 if one is due. */
    private long untilNextTimer() {
        if (timers.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long left = timers.first().due() - clock.micros();
        return left <= 0 ? 0 : (left + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    }

    private void serveReady() {
        Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
        while (ready.hasNext()) {
            SelectionKey key = ready.next();
            ready.remove();
            if (key.isValid()) {
                Handler handler = (Handler) key.attachment();
                guarded(handler, () -> handler.ready(key));
            }
        }
    }

    /** Runs the tasks that are there now; those that they leave wait for the next round, after channels were looked at. */
    private void runTasks() {
        int count = tasks.size();
        for (int i = 0; i < count; i++) {
            guarded(null, tasks.poll());
        }
    }

    private void runTimers() {
        long now = clock.micros();
        while (!timers.isEmpty() && timers.first().due() <= now) {
            Timer timer = timers.pollFirst();
            guarded(timer.owner(), timer.task());
        }
    }

    /** Tells the handler of uncaught errors of one that ends only what it served. */
    static void report(Throwable failure) {
        Thread current = Thread.currentThread();
        current.getUncaughtExceptionHandler().uncaughtException(current, failure);
    }

    private static void guarded(Handler owner, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | OutOfMemoryError e) {
            report(e);
            if (owner != null) {
                owner.failed(e);
            }
        }
    }
}
