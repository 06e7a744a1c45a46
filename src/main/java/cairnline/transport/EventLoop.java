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
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One thread that serves any number of non-blocking channels, their timers, and tasks submitted by other threads, so that
 * the number of threads does not depend on the number of connections. Callbacks must not block for long; one that throws
 * closes only the channel that it served.
 */
public final class EventLoop implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 16_384;
    private static final long MICROS_PER_MILLI = 1_000;
    /** Time in one round for the channels that wait for their turn; the turn that has begun then is served to its end. */
    private static final long MAX_TURNS_MICROS = 1_000;
    /** Longest time without turns; a turn may have seemed long because the process was stopped meanwhile. */
    private static final long MAX_PAUSE_MICROS = 50_000;

    private final Clock clock;
    private final Selector selector;
    private final Thread thread;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** Whether the selector has been woken up since the last poll, so that further tasks need no wake-up. */
    private final AtomicBoolean wakeupPending = new AtomicBoolean();
    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    /** When the next turns may begin. */
    private long nextTurnsAt;
    /** The channels that wait for their turn, the next one first. */
    private final Set<Handler> waitingForTurn = new LinkedHashSet<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private long nextTimerSequence;
    /** When the selector was last polled; channels that it did not return had nothing to read then. */
    private long lastPollAt;
    /** See {@link #earliestArrival()}. */
    private long earliestArrival;
    private volatile boolean closed;

    /** Receives the readiness events of a registered channel, on the loop's thread. */
    interface Handler {
        /** Handles a channel that is ready for its key's ready operations. */
        void onReady(SelectionKey key);

        /** Handles the turn for which this channel waited; see {@link EventLoop#awaitTurn}. */
        default void onTurn() { }

        /** Handles an exception from {@link #onReady} or from a timer of this channel, which must be closed. */
        void onFailure(Throwable failure);
    }

    /** A task to run at {@code dueAt}, in microseconds on the loop's clock; {@code sequence} orders timers of the same time. */
    record Timer(long dueAt, long sequence, Handler owner, Runnable task) { }

    /** Creates a loop, not yet started. Throws if the system has no file descriptor left for its selector. */
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

    /** Returns the clock of the loop's timers. */
    public Clock clock() {
        return clock;
    }

    /** Submits a task to the loop's thread; tasks run in the order of submission. Safe for any thread. */
    void execute(Runnable task) {
        tasks.add(task);
        if (!isCurrentThread() && wakeupPending.compareAndSet(false, true)) {
            selector.wakeup();
        }
    }

    /** Registers a non-blocking channel; on the loop's thread. */
    SelectionKey register(SelectableChannel channel, int operations, Handler handler) throws IOException {
        return channel.register(selector, operations, handler);
    }

    /**
     * Queues a channel for {@link Handler#onTurn}, unless it waits already. Each round of the loop serves a few of these
     * channels, one after another, so that what they have sent delays the other channels and tasks by a bounded time. On the
     * loop's thread.
     */
    void awaitTurn(Handler handler) {
        waitingForTurn.add(handler);
    }

    /** Whether a channel waits for its turn; on the loop's thread. */
    boolean isWaitingForTurn(Handler handler) {
        return waitingForTurn.contains(handler);
    }

    /** Schedules a task for a time in microseconds; its failure is reported to {@code owner}, if any. On the loop's thread. */
    Timer schedule(long dueAt, Handler owner, Runnable task) {
        Timer timer = new Timer(dueAt, nextTimerSequence++, owner, task);
        timers.add(timer);
        return timer;
    }

    /** Cancels a timer; a timer that has fired, or null, is ignored. On the loop's thread. */
    void cancel(Timer timer) {
        if (timer != null) {
            timers.remove(timer);
        }
    }

    /**
     * Returns the earliest time at which the data of a ready channel can have arrived, provided that the channel was read
     * empty before: the time of the poll before the one that returned it, which is long ago after a long round.
     */
    long earliestArrival() {
        return earliestArrival;
    }

    /** Whether the caller runs on the loop's thread. */
    boolean isCurrentThread() {
        return Thread.currentThread() == thread;
    }

    /** Returns the loop's shared read buffer, which a callback may use until it returns. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** Stops the thread; registered channels stay open. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
    }

    private void run() {
        lastPollAt = clock.micros();
        while (!closed) {
            select();
            wakeupPending.set(false);
            serveReady();
            serveTurns();
            runTasks();
            runTimers();
        }
    }

    private void select() {
        try {
            earliestArrival = lastPollAt;
            lastPollAt = clock.micros();
            int readyCount = selector.selectNow();
            // The poll may have consumed a wake-up, so a task submitted from here on must trigger another.
            wakeupPending.set(false);
            if (readyCount == 0) {
                earliestArrival = lastPollAt;
                awaitReadiness();
            }
        } catch (IOException e) {
            throw new IllegalStateException("selector failed", e);
        }
    }

    /** Blocks until a channel is ready, a task is submitted or a timer is due. Returns at once if tasks are queued. */
    private void awaitReadiness() throws IOException {
        long waitMillis = tasks.isEmpty() ? millisUntil(nextWorkAt()) : 0;
        if (waitMillis == Long.MAX_VALUE) {
            selector.select();
        } else if (waitMillis > 0) {
            selector.select(waitMillis);
        }
    }

    /** Returns when the next timer is due, or the next channel has its turn; {@code Long.MAX_VALUE} without either. */
    private long nextWorkAt() {
        long timerAt = timers.isEmpty() ? Long.MAX_VALUE : timers.first().dueAt();
        return waitingForTurn.isEmpty() ? timerAt : Math.min(timerAt, nextTurnsAt);
    }

    /** Returns the milliseconds until a time, rounded up; 0 if it has come, {@code Long.MAX_VALUE} for that value. */
    private long millisUntil(long time) {
        if (time == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        long micros = time - clock.micros();
        return micros <= 0 ? 0 : (micros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    }

    private void serveReady() {
        Iterator<SelectionKey> readyKeys = selector.selectedKeys().iterator();
        while (readyKeys.hasNext()) {
            SelectionKey key = readyKeys.next();
            readyKeys.remove();
            if (key.isValid()) {
                Handler handler = (Handler) key.attachment();
                runGuarded(handler, () -> handler.onReady(key));
            }
        }
    }

    /** Serves the next channels that wait. After a turn that took long, the others have as much time before the next one. */
    private void serveTurns() {
        long startedAt = clock.micros();
        if (startedAt < nextTurnsAt) {
            return;
        }
        long now = startedAt;
        int count = waitingForTurn.size();
        for (int i = 0; i < count && now - startedAt < MAX_TURNS_MICROS; i++) {
            Handler next = waitingForTurn.iterator().next();
            waitingForTurn.remove(next);
            runGuarded(next, next::onTurn);
            now = clock.micros();
        }
        nextTurnsAt = now + Math.min(MAX_PAUSE_MICROS, Math.max(0, now - startedAt - MAX_TURNS_MICROS));
    }

    /** Runs the tasks queued now; tasks that they submit wait for the next round, so that channels are served in between. */
    private void runTasks() {
        int count = tasks.size();
        for (int i = 0; i < count; i++) {
            runGuarded(null, tasks.poll());
        }
    }

    /** Runs the timers that are due; those that they schedule wait for the next round, also if they are due at once. */
    private void runTimers() {
        long now = clock.micros();
        long endSequence = nextTimerSequence;
        Timer next = nextDueTimer(now, endSequence);
        while (next != null) {
            timers.remove(next);
            runGuarded(next.owner(), next.task());
            next = nextDueTimer(now, endSequence);
        }
    }

    /** Returns the first timer that is due and was scheduled before {@code endSequence}; null without any. */
    private Timer nextDueTimer(long now, long endSequence) {
        for (Timer timer : timers) {
            if (timer.dueAt() > now) {
                return null;
            }
            if (timer.sequence() < endSequence) {
                return timer;
            }
        }
        return null;
    }

    /** Passes a failure that does not end the thread to the thread's uncaught exception handler. */
    static void reportUncaught(Throwable failure) {
        Thread current = Thread.currentThread();
        current.getUncaughtExceptionHandler().uncaughtException(current, failure);
    }

    /** Runs a task; what it throws is reported, and passed to the handler of the channel that it served, if any. */
    static void runGuarded(Handler owner, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | OutOfMemoryError e) {
            reportUncaught(e);
            if (owner != null) {
                owner.onFailure(e);
            }
        }
    }
}
