package cairnline.control;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Request;
import cairnline.control.ControlApi.RequestClassSettings;
import java.util.TreeSet;

/** What is learnt of a class of requests: load ratio, spread and usual work; and the queries held of it. */
final class RequestClass {
    /** Delay of a class never heard, as a share of its aim: at the whole aim any wait would refuse it. */
    private static final double UNHEARD_SHARE = 0.5;
    /** Weight of the newest value in class means of work, memory and error. */
    static final double CLASS_GAIN = 0.05;
    /** The load ratio is held under this; above it the sums say no more than "very slow". */
    static final double RHO_MAX = 20;
    /** Usual work before any is known, as a share of aim times threads: high, so cold engines are spared. */
    private static final double WORK_PRIOR = 0.5;
    /** Share of queries that may spill at the grant; a spill costs several times what spare memory does. */
    private static final double SPILL_SHARE = 0.1;
    /** Sizes, in class means, are held between these: estimates are rough. */
    static final double SIZE_LEAST = 0.3;
    private static final double SIZE_MOST = 40;

    final RequestClassSettings type;
    final int index;
    final TreeSet<Query> held = new TreeSet<>(Query.BY_DEADLINE);
    final double priorWork;
    final WorkEstimator estimate = new WorkEstimator();
    double meanWork, memoryRatio = 1;
    long patience;
    double asked = 1, errorSquare, wait, rho = 1, usual, ratio = 1, meanMin, meanCrowd = 1;

    RequestClass(RequestClassSettings type, int index) {
        this.type = type;
        this.index = index;
        this.priorWork = WORK_PRIOR * type.latencyTarget() * type.threads();
        this.meanWork = priorWork;
        this.errorSquare = (double) type.latencyTarget() * type.latencyTarget();
    }

    double usualDelay() {
        return usual > 0 ? usual : type.latencyTarget() * UNHEARD_SHARE;
    }

    double usualWork() {
        return Math.max(meanWork, priorWork / 2);
    }

    double workOf(Request r) {
        return r.work() > 0 ? estimate.expected(r.work()) : meanWork;
    }

    double sizeOf(double work) {
        return Math.min(SIZE_MOST, Math.max(SIZE_LEAST, work / meanWork));
    }

    /** The grant suffices for all but a share of queries: up with each spill, slowly down else. */
    void learnMemory(boolean spilt) {
        memoryRatio *= 1 + CLASS_GAIN * ((spilt ? 1 : 0) - SPILL_SHARE);
    }

    void learnWork(double work, double told) {
        meanWork += CLASS_GAIN * (work - meanWork);
        if (told > 0) {
            estimate.learn(told, work);
        }
    }

    /** The paper's load ratio: predictions over minima, summed; idle engines by the ratio last seen. */
    void survey(Iterable<EngineEstimate> hosts, long now) {
        double sum = 0, minima = 0, crowds = 0;
        int count = 0, heard = 0;
        for (EngineEstimate h : hosts) {
            Predictor p = h.predictors.get(index);
            crowds += h.crowd(1, now);
            count++;
            if (p.t > 0 && h.listed == EngineStatus.READY) {
                sum += p.predict(now, ratio, p.crowdThen, p.crowdThen);
                minima += p.tMin;
                heard++;
            }
        }
        meanCrowd = crowds / Math.max(1, count);
        if (heard > 0) {
            rho = Math.max(1, Math.min(RHO_MAX, sum / minima));
            meanMin = minima / heard;
        }
    }
}
