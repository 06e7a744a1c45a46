package cairnline.program;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Records when this process, in which the stand-ins of a test run, was not scheduled: times that the stand-ins recorded
 * then are too late.
 */
final class StallMonitor implements AutoCloseable {
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final List<Stall> stalls = new CopyOnWriteArrayList<>();
    private final Thread thread = new Thread(null, this::recordStalls, "stall monitor", 256 * 1_024);
    private volatile boolean closed;

    private record Stall(long startNanos, long endNanos) { }

    StallMonitor() {
        thread.setDaemon(true);
        thread.start();
    }

    private void recordStalls() {
        long previous = System.nanoTime();
        while (!closed) {
            try {
                TimeUnit.MILLISECONDS.sleep(1);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            if (now - previous > MIN_STALL_NANOS) {
                stalls.add(new Stall(previous, now));
            }
            previous = now;
        }
    }

    /** Returns for how many nanoseconds this process stalled between two values of {@link System#nanoTime}. */
    long stalledNanos(long fromNanos, long toNanos) {
        return stalls.stream().mapToLong(stall ->
                Math.max(0, Math.min(toNanos, stall.endNanos) - Math.max(fromNanos, stall.startNanos))).sum();
    }

    @Override
    public void close() {
        closed = true;
    }
}
