package cairnline.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A processor-sharing model of an engine: all queries run at once and their threads share the cores, of which a cold
 * engine has fewer. It compares the work that arrives in each window with the capacity at that moment, as the rule that
 * protects cold engines does. The model is event-driven and is given the time by its caller; times are microseconds, work
 * is microseconds on one core. Not thread-safe.
 */
public final class EngineModel {
    /** Interval at which the capacity is recalculated while it grows gradually. */
    private static final long CAPACITY_STEP_MICROS = 50_000;
    /** A query with less work left is done; absorbs rounding errors. */
    private static final double DONE_WORK_MICROS = 0.5;

    private final EngineParameters parameters;
    private final long startedAt;
    private final boolean cold;
    private final Map<String, RunningQuery> running = new LinkedHashMap<>();
    private final ArrayDeque<Arrival> recentArrivals = new ArrayDeque<>();
    private double workInWindow;
    private double peakColdLoad;
    private boolean overloaded;
    private long now;

    /**
     * Capacity and warm-up behavior of an engine.
     *
     * @param cores number of cores when warm
     * @param initialCapacityShare share of the cores that a cold engine has at its start
     * @param warmUpMicros time from its start until a cold engine is warm
     * @param stepWarmUp whether it keeps the initial share until it is warm, the worst case that the rules allow; otherwise
     *     its capacity grows with the square of its age
     * @param overloadMultiple a cold engine is overloaded by more than this multiple of its capacity
     * @param overloadWindowMicros length of the window in which that work arrives
     */
    public record EngineParameters(int cores, double initialCapacityShare, long warmUpMicros, boolean stepWarmUp,
                                   double overloadMultiple, long overloadWindowMicros) { }

    private record Arrival(long at, double work) { }

    private static final class RunningQuery {
        final double work;
        final int threads;
        double remainingWork;

        RunningQuery(double work, int threads) {
            this.work = work;
            this.threads = threads;
            this.remainingWork = work;
        }
    }

    /** Creates an engine that starts at time {@code now}. */
    public EngineModel(EngineParameters parameters, boolean cold, long now) {
        this.parameters = parameters;
        this.cold = cold;
        this.startedAt = now;
        this.now = now;
    }

    /** Returns the number of cores available at a time. */
    public double capacity(long at) {
        double age = Math.min(1, (double) (at - startedAt) / parameters.warmUpMicros());
        double warmth = !cold || age >= 1 ? 1 : parameters.stepWarmUp() ? 0 : age * age;
        return parameters.cores()
                * (parameters.initialCapacityShare() + (1 - parameters.initialCapacityShare()) * warmth);
    }

    /** Starts a query now; queries that have completed by now must have been collected with {@link #advance}. */
    public void startQuery(String id, long work, int threads) {
        running.put(id, new RunningQuery(work, threads));
        recentArrivals.addLast(new Arrival(now, work));
        workInWindow += work;
        while (recentArrivals.peekFirst().at < now - parameters.overloadWindowMicros()) {
            workInWindow -= recentArrivals.pollFirst().work;
        }
        if (cold && now - startedAt < parameters.warmUpMicros()) {
            double load = workInWindow / (capacity(now) * parameters.overloadWindowMicros());
            peakColdLoad = Math.max(peakColdLoad, load);
            overloaded |= load > parameters.overloadMultiple();
        }
    }

    /** Advances the time and returns the queries that completed, in order of completion. */
    public List<String> advance(long to) {
        List<String> completed = new ArrayList<>();
        while (now < to) {
            long until = Math.min(to, nextEventAt());
            double speed = threadSpeed();
            for (RunningQuery query : running.values()) {
                query.remainingWork -= query.threads * speed * (until - now);
            }
            now = until;
            for (Iterator<Map.Entry<String, RunningQuery>> iterator = running.entrySet().iterator(); iterator.hasNext();) {
                Map.Entry<String, RunningQuery> entry = iterator.next();
                if (entry.getValue().remainingWork <= DONE_WORK_MICROS) {
                    completed.add(entry.getKey());
                    iterator.remove();
                }
            }
        }
        return completed;
    }

    /** Returns the share of a core that each thread gets. */
    private double threadSpeed() {
        int threads = running.values().stream().mapToInt(query -> query.threads).sum();
        return threads == 0 ? 1 : Math.min(1, capacity(now) / threads);
    }

    /**
     * Returns the time of the next completion or capacity change, whichever is earlier; {@link Long#MAX_VALUE} if no query
     * runs.
     */
    public long nextEventAt() {
        if (running.isEmpty()) {
            return Long.MAX_VALUE;
        }
        double speed = threadSpeed();
        double minRemaining = Double.MAX_VALUE;
        for (RunningQuery query : running.values()) {
            minRemaining = Math.min(minRemaining, query.remainingWork / (query.threads * speed));
        }
        long completionAt = now + Math.max(1, (long) Math.ceil(minRemaining));
        long warmAt = startedAt + parameters.warmUpMicros();
        return !cold || now >= warmAt ? completionAt
                : Math.min(completionAt, parameters.stepWarmUp() ? warmAt : now + CAPACITY_STEP_MICROS);
    }

    /** Returns the number of running queries. */
    public int runningCount() {
        return running.size();
    }

    /** Returns the share of its work that a query has completed; 1 if it does not run. */
    public double progress(String id) {
        RunningQuery query = running.get(id);
        return query == null ? 1 : 1 - query.remainingWork / query.work;
    }

    /** Returns the utilization of the cores, from 0 to 1. */
    public double utilization() {
        return Math.min(1, running.values().stream().mapToInt(query -> query.threads).sum() / capacity(now));
    }

    /** Returns the most work that arrived in a window while cold, as a multiple of the capacity at that moment. */
    public double peakColdLoad() {
        return peakColdLoad;
    }

    /** Returns whether the engine was overloaded while cold. */
    public boolean isOverloaded() {
        return overloaded;
    }
}
