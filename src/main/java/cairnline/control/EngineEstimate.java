package cairnline.control;

import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.Settings;
import cairnline.control.Query.Attempt;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Estimates for one engine: its threads, of this front and of others, its speed and its health. */
final class EngineEstimate extends EngineState {
    /** Maximum of the concurrency limit: threads per core of all managers, up to which an engine has room. */
    static final double MAX_LIMIT = 2.2;
    /** Share of memory granted at the concurrency limit; beyond it queries spill or all slow down. */
    static final double MEMORY_LIMIT = 0.9;
    /** Utilization up to which it shows the number of threads; busier cores hide how many there are. */
    private static final double INFORMATIVE_UTILIZATION = 0.85;
    /** Further threads per core assumed at full utilization: enough to exceed the concurrency limit. */
    private static final double SATURATED_THREADS_PER_CORE = 4;
    /** Share of its time for which a thread keeps a core busy; the rest is input and output. */
    private static final double CPU_TIME_SHARE = 0.6;
    /** Age at which a report counts half. */
    private static final long REPORT_HALF_LIFE_NANOS = 1_000_000_000L;
    /** Weight of a report in this front's share of the engine: small, since reports are late and noisy. */
    private static final double SHARE_SMOOTHING = 0.03;
    /** Threads per query, assumed before this front has sent any. */
    private static final double INITIAL_THREADS = 1.5;

    final FleetLoad fleetLoad;
    final List<Predictor> predictors = new ArrayList<>();
    /** Work sent while the engine was cold. */
    final SlidingWindow coldWork;
    EngineHealth health = new EngineHealth();
    RelativeSlowness slowness = new RelativeSlowness();
    /** Times of the last load report, of the next random draw while cold, and of the next probe. */
    long reportedAt, coldDrawUntil, nextProbeAt;
    /** Number of consecutive probes sent while the engine may be unreachable. */
    int unreachableProbes;
    /** Threads of other fronts by the last report, this front's share of all threads, and the last draw. */
    double reportedOtherThreads, frontShare, coldDraw;

    EngineEstimate(Engine entry, Settings settings, FleetLoad fleetLoad) {
        super(entry, settings.machineTypes().get(entry.machineType()));
        this.fleetLoad = fleetLoad;
        this.frontShare = 1.0 / settings.frontCount();
        this.coldWork = new SlidingWindow(settings.safetyRules().overloadWindow());
        settings.requestClasses().forEach(each -> predictors.add(new Predictor()));
    }

    /** Discards what was learned before the engine's restart. */
    void resetAfterRestart(long restartedAt) {
        startedAt = restartedAt;
        coldSince = restartedAt;
        health = new EngineHealth();
        slowness = new RelativeSlowness();
        reportedOtherThreads = 0;
        reportedAt = restartedAt;
        predictors.forEach(predictor -> predictor.recentDelay = 0);
    }

    /**
     * Records a load report, with bounded trust: it sets the estimate of others' threads and, slowly, moves
     * this front's share. {@code full} if the engine is known to have no room, whatever the report says.
     */
    void recordLoad(Load load, boolean full, long now) {
        double utilization = full ? 1 : Math.max(load.utilization() >= 0 ? load.utilization() : -1,
                load.disk() >= 0 ? load.disk() : -1);
        double excess = Math.max(0, utilization - INFORMATIVE_UTILIZATION) / (1 - INFORMATIVE_UTILIZATION);
        double perQuery = (fleetLoad.meanThreads + INITIAL_THREADS) / (fleetLoad.meanAttempts + 1);
        double all = load.inflight() >= 0
                ? load.inflight() * (threadsInFlight + perQuery) / (attemptsInFlight + 1)
                : cores * (Math.min(INFORMATIVE_UTILIZATION, utilization) / CPU_TIME_SHARE
                + excess * SATURATED_THREADS_PER_CORE);
        if (all < 0) {
            return;
        }
        double byMemory = load.memory() > 0 ? load.memory() / MEMORY_LIMIT * MAX_LIMIT * cores : 0;
        if (load.inflight() >= 0 || utilization < INFORMATIVE_UTILIZATION) {
            fleetLoad.recordReport(threadsInFlight, Math.max(byMemory, Math.max(all, threadsInFlight)), cores,
                    now);
            if (threadsInFlight > 0) {
                double share = Math.min(1, threadsInFlight / Math.max(all, threadsInFlight));
                frontShare += SHARE_SMOOTHING * ownWeight(MAX_LIMIT) * (share - frontShare);
            }
        }
        reportedOtherThreads = Math.max(0, Math.max(all, byMemory) - threadsInFlight);
        reportedAt = now;
    }

    /** Estimates others' threads by the last report here, which yields to the fleet's mean as it ages. */
    double otherThreads(long now) {
        double mean = fleetLoad.otherThreadsPerCore(MAX_LIMIT, now) * cores * warmth;
        return mean
                + (reportedOtherThreads - mean) / (1 + (double) (now - reportedAt) / REPORT_HALF_LIFE_NANOS);
    }

    /** Returns how many times slower a query runs with the estimated threads there than alone. */
    double contention(int moreThreads, long now) {
        return 1 + (threadsInFlight + otherThreads(now) + moreThreads) / (cores * warmth);
    }

    /** Returns the weight of own threads as evidence: it grows with how many of them reach the limit. */
    private double ownWeight(double concurrencyLimit) {
        return FleetLoad.ownWeight(frontShare * cores * concurrencyLimit);
    }

    /**
     * Returns threads, or memory, of all fronts as a multiple of the concurrency limit; above 1 the engine is
     * full. Own threads over this front's share are weighted by how many own threads reach the limit:
     * where those are fewer than a query has, only own and reported threads count.
     */
    double fullness(int moreThreads, long now, double concurrencyLimit) {
        double own = threadsInFlight + moreThreads;
        double weight = ownWeight(concurrencyLimit);
        return (weight * own / frontShare + (1 - weight) * (own + otherThreads(now)))
                / (cores * warmth * concurrencyLimit);
    }

    /** Adds (1) or removes (-1) an attempt. */
    void countAttempt(Attempt attempt, int count) {
        addAttempts(attempt.query.requestClass.settings, attempt.query.tableGroup, count);
        if (status == EngineStatus.READY) {
            fleetLoad.addCounts(0, count, count * attempt.query.requestClass.settings.threads());
        }
        Set<Attempt> inFlight = predictors.get(attempt.query.requestClass.index).inFlight;
        if (count > 0) {
            inFlight.add(attempt);
        } else {
            inFlight.remove(attempt);
        }
    }
}
