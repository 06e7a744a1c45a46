package cairnline.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How an engine runs what it is sent: all at once, its cores shared by threads, less of them while it is cold. It counts
 * the work that reaches it in each window against what it can do at that moment, as the rule on cold engines does.
 * Event-driven and without a clock of its own; times are microseconds, work microseconds on one core. Used by one
 * thread at a time.
 */
public final class EngineModel {
    /** While it warms up on a curve, what it can do is taken anew this often. */
    private static final long STEP = 50_000;
    private static final double DONE = 0.5;

    private final Shape shape;
    private final long startedAt;
    private final boolean cold;
    private final Map<String, Running> running = new LinkedHashMap<>();
    private final ArrayDeque<Arrival> window = new ArrayDeque<>();
    private double inWindow;
    private double highest;
    private boolean fell;
    private long now;

    /**
     * An engine's figures.
     *
     * @param cores when it is warm
     * @param coldFrom the share of them that it starts with
     * @param warmWithin after this it is warm
     * @param late whether it stays at the first share until then, the worst that the rules leave open; else it gains
     *     with the square of time
     * @param tipMultiple so many times what it can do make it fall, cold
     * @param overloadFor if sent within such a window
     */
    public record Shape(int cores, double coldFrom, long warmWithin, boolean late, double tipMultiple,
                        long overloadFor) { }

    private record Arrival(long at, double work) { }

    private static final class Running {
        final double work;
        final int threads;
        double left;

        Running(double work, int threads) {
            this.work = work;
            this.threads = threads;
            this.left = work;
        }
    }

    /** An engine that starts now. */
    public EngineModel(Shape shape, boolean cold, long now) {
        this.shape = shape;
        this.cold = cold;
        this.startedAt = now;
        this.now = now;
    }

    /** How many cores it has to give at this time. */
    public double capacity(long at) {
        double age = Math.min(1, (double) (at - startedAt) / shape.warmWithin());
        double grown = !cold || age >= 1 ? 1 : shape.late() ? 0 : age * age;
        return shape.cores() * (shape.coldFrom() + (1 - shape.coldFrom()) * grown);
    }

    /** A query comes; those that were done before must have been taken with {@link #advance}. */
    public void arrive(String id, long work, int threads) {
        running.put(id, new Running(work, threads));
        window.addLast(new Arrival(now, work));
        inWindow += work;
        while (window.peekFirst().at < now - shape.overloadFor()) {
            inWindow -= window.pollFirst().work;
        }
        if (cold && now - startedAt < shape.warmWithin()) {
            double over = inWindow / (capacity(now) * shape.overloadFor());
            highest = Math.max(highest, over);
            fell |= over > shape.tipMultiple();
        }
    }

    /** Runs on to this time; gives what got done, in order. */
    public List<String> advance(long to) {
        List<String> done = new ArrayList<>();
        while (now < to) {
            long until = Math.min(to, next());
            double speed = speed();
            for (Running each : running.values()) {
                each.left -= each.threads * speed * (until - now);
            }
            now = until;
            for (Iterator<Map.Entry<String, Running>> each = running.entrySet().iterator(); each.hasNext();) {
                Map.Entry<String, Running> entry = each.next();
                if (entry.getValue().left <= DONE) {
                    done.add(entry.getKey());
                    each.remove();
                }
            }
        }
        return done;
    }

    /** What one thread gets of a core. */
    private double speed() {
        int threads = running.values().stream().mapToInt(r -> r.threads).sum();
        return threads == 0 ? 1 : Math.min(1, capacity(now) / threads);
    }

    /** When the next is done, or is to be reckoned with anew; never if nothing runs. */
    public long next() {
        if (running.isEmpty()) {
            return Long.MAX_VALUE;
        }
        double speed = speed();
        double least = Double.MAX_VALUE;
        for (Running each : running.values()) {
            least = Math.min(least, each.left / (each.threads * speed));
        }
        long done = now + Math.max(1, (long) Math.ceil(least));
        long warm = startedAt + shape.warmWithin();
        return !cold || now >= warm ? done : Math.min(done, shape.late() ? warm : now + STEP);
    }

    /** How many it runs. */
    public int inflight() {
        return running.size();
    }

    /** Share of its work that a query has done; 1 if it does not run. */
    public double progress(String id) {
        Running r = running.get(id);
        return r == null ? 1 : 1 - r.left / r.work;
    }

    /** How busy its cores are, from 0 to 1. */
    public double utilization() {
        return Math.min(1, running.values().stream().mapToInt(r -> r.threads).sum() / capacity(now));
    }

    /** The most work that came in a window while it was cold, in multiples of what it could do at that moment. */
    public double highest() {
        return highest;
    }

    /** Whether that was more than it stands. */
    public boolean fell() {
        return fell;
    }
}
