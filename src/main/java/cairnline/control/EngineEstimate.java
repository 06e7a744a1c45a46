package cairnline.control;

import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.Settings;
import cairnline.control.Query.Attempt;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** What is believed of an engine: the threads that run there, own and others', and how it does. */
final class EngineEstimate extends EngineState {
    /** Threads per core of all managers at the mark, up to which an engine counts as having room. */
    static final double MARK = 2.2;
    /** Share of memory granted at the mark; beyond it queries spill or all slow down. */
    static final double MEMORY_MARK = 0.9;
    /** Utilization up to which it tells how many threads run; fuller cores hide any number of them. */
    private static final double BUSY_KNOWN = 0.85;
    /** Further threads per core that fully busy cores stand for: enough to lie past the mark. */
    private static final double BUSY_THREADS = 4;
    /** Part of its time that a thread keeps a core busy; the rest it reads or writes. */
    private static final double CPU_PART = 0.6;
    /** A report of this age counts half, in nanoseconds. */
    private static final long REPORT_LIFE = 1_000_000_000L;
    /** Weight of a report in this manager's share of an engine: slow, since reports are late and noisy. */
    private static final double SHARE_GAIN = 0.03;
    /** Threads of a query before this manager has sent any. */
    private static final double THREADS_PRIOR = 1.5;

    final FleetLoad fleet;
    final List<Predictor> predictors = new ArrayList<>();
    EngineHealth health = new EngineHealth();
    RelativeSlowness pace = new RelativeSlowness();
    long reportedAt, drawnUntil, probeAt;
    int lostProbes;
    double foreignThreads, share, draw;

    EngineEstimate(Engine e, Settings settings, FleetLoad fleet) {
        super(e, settings.machineTypes().get(e.machineType()));
        this.fleet = fleet;
        this.share = 1.0 / settings.frontCount();
        settings.requestClasses().forEach(type -> predictors.add(new Predictor()));
    }

    void restarted(long at) {
        startedAt = at;
        coldSince = at;
        health = new EngineHealth();
        pace = new RelativeSlowness();
        foreignThreads = 0;
        reportedAt = at;
        predictors.forEach(p -> p.t = 0);
    }

    /** Bounded trust: reports move what others are thought to hold and, slowly, this front's share. */
    void report(Load load, boolean full, long now) {
        double busy = full ? 1 : Math.max(load.utilization() >= 0 ? load.utilization() : -1,
                load.disk() >= 0 ? load.disk() : -1);
        double over = Math.max(0, busy - BUSY_KNOWN) / (1 - BUSY_KNOWN);
        double perQuery = (fleet.meanThreads + THREADS_PRIOR) / (fleet.meanAttempts + 1);
        double all = load.inflight() >= 0 ? load.inflight() * (threads + perQuery) / (attempts + 1)
                : cores * (Math.min(BUSY_KNOWN, busy) / CPU_PART + over * BUSY_THREADS);
        if (all < 0) {
            return;
        }
        double byMemory = load.memory() > 0 ? load.memory() / MEMORY_MARK * MARK * cores : 0;
        if (load.inflight() >= 0 || busy < BUSY_KNOWN) {
            fleet.hear(threads, Math.max(byMemory, Math.max(all, threads)), cores, now);
            if (threads > 0) {
                double part = Math.min(1, threads / Math.max(all, threads));
                share += SHARE_GAIN * trust(MARK) * (part - share);
            }
        }
        foreignThreads = Math.max(0, Math.max(all, byMemory) - threads);
        reportedAt = now;
    }

    /** Others by the last report here, which as it ages gives way to what recent reports say together. */
    double foreign(long now) {
        double usual = fleet.others(MARK, now) * cores * warmth;
        return usual + (foreignThreads - usual) / (1 + (double) (now - reportedAt) / REPORT_LIFE);
    }

    /** How much slower than alone a query runs with what is thought to be there. */
    double crowd(int more, long now) {
        return 1 + (threads + foreign(now) + more) / (cores * warmth);
    }

    /** How far own threads tell of all: by how many of them the mark would mean. */
    private double trust(double mark) {
        return FleetLoad.trust(share * cores * mark);
    }

    /**
     * Threads of all fronts against the mark; or memory. Own threads over this front's share count by how
     * many of them the mark would mean: where that is under a query's, only own and reported ones count.
     */
    double fill(int more, long now, double mark) {
        double own = threads + more;
        double trust = trust(mark);
        return (trust * own / share + (1 - trust) * (own + foreign(now))) / (cores * warmth * mark);
    }

    /** Books an attempt on (1) or off (-1). */
    void book(Attempt a, int count) {
        add(a.query.kin.type, a.query.tables, count);
        if (listed == EngineStatus.READY) {
            fleet.count(0, count, count * a.query.kin.type.threads());
        }
        Set<Attempt> inFlight = predictors.get(a.query.kin.index).inFlight;
        if (count > 0) {
            inFlight.add(a);
        } else {
            inFlight.remove(a);
        }
    }
}
