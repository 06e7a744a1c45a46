package cairnline.routing;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Tasks scheduled for a time; tasks with the same time run in the order in which they were scheduled. A task, with all that
 * it refers to, is held until it is due or cancelled. Not thread-safe.
 */
final class Timers {
    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    private long nextSequence;

    /** A scheduled task; {@code sequence} orders tasks of the same time. */
    record Timer(long dueAt, long sequence, Runnable task) { }

    Timer schedule(long dueAt, Runnable task) {
        Timer timer = new Timer(dueAt, nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Cancels a task; one that has run or was cancelled before, or null, is ignored. */
    void cancel(Timer timer) {
        if (timer != null) {
            timers.remove(timer);
        }
    }

    /** Removes and returns the next task that is due; null if none is. */
    Runnable pollDue(long now) {
        return nextDueAt() <= now ? timers.pollFirst().task : null;
    }

    /** Returns when the next task is due; {@code Long.MAX_VALUE} if there is none. */
    long nextDueAt() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.first().dueAt;
    }

    /** Returns the number of tasks that are not due yet. */
    int size() {
        return timers.size();
    }
}
