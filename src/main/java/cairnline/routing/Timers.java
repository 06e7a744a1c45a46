package cairnline.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Tasks scheduled for a time; tasks with the same time run in the order in which they were scheduled. Not thread-safe. */
final class Timers {
    private record Timer(long dueAt, long sequence, Runnable task) { }

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    private long nextSequence;

    void schedule(long dueAt, Runnable task) {
        timers.add(new Timer(dueAt, nextSequence++, task));
    }

    /** Removes and returns the next task that is due; null if none is. */
    Runnable pollDue(long now) {
        return nextDueAt() <= now ? timers.poll().task : null;
    }

    /** Returns when the next task is due; {@code Long.MAX_VALUE} if there is none. */
    long nextDueAt() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt;
    }
}
