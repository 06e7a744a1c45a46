package cairnline.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What is due when; ties go in the order set. */
final class Timers {
    private record Timer(long due, long number, Runnable task) { }

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::due).thenComparingLong(Timer::number));
    private long count;

    void at(long due, Runnable task) {
        timers.add(new Timer(due, count++, task));
    }

    /** The next task that is due; null if none is. */
    Runnable due(long now) {
        return next() <= now ? timers.poll().task : null;
    }

    /** When the next is due; never if there is none. */
    long next() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().due;
    }
}
