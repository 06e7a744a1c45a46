package cairnline.program;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Notes when this process, which holds the stand-ins of a test, did not run: what they record then is late. */
final class StallMonitor implements AutoCloseable {
    private static final long LEAST_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final List<Stall> stalls = new CopyOnWriteArrayList<>();
    private final Thread thread = new Thread(null, this::run, "stall monitor", 256 * 1_024);
    private volatile boolean closed;

    private record Stall(long from, long to) { }

    StallMonitor() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        long before = System.nanoTime();
        while (!closed) {
            try {
                TimeUnit.MILLISECONDS.sleep(1);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            if (now - before > LEAST_NANOS) {
                stalls.add(new Stall(before, now));
            }
            before = now;
        }
    }

    /** How long this process stood still between two times of {@link System#nanoTime}, in nanoseconds. */
    long between(long from, long to) {
        return stalls.stream().mapToLong(stall -> Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from))).sum();
    }

    @Override
    public void close() {
        closed = true;
    }
}
