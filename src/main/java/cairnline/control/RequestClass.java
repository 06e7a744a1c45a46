package cairnline.control;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Request;
import cairnline.control.ControlApi.RequestClassSettings;
import java.util.TreeSet;

/**
 * Estimates for one class of requests (load ratio, delay, work, memory), and its held queries; plain state of
 * {@link Control}, which names the paper.
 */
final class RequestClass {
    /** Initial delay as a share of the latency target: with the full target any wait would mean refusal. */
    private static final double INITIAL_DELAY_SHARE = 0.5;
    /** Weight of the newest value in the class means of work, memory and error. */
    static final double CLASS_SMOOTHING = 0.05;
    /** Upper bound of the load ratio; above it the sums carry no more information than "very slow". */
    static final double MAX_LOAD_RATIO = 20;
    /** Initial work as a share of latency target times threads: high, so that cold engines are protected. */
    private static final double INITIAL_WORK_SHARE = 0.5;
    /** Share of queries that may spill; a spill costs several times as much as spare memory does. */
    private static final double MAX_SPILL_SHARE = 0.1;
    /** Bounds for the size of a query, in class means: estimates are imprecise. */
    static final double MIN_SIZE = 0.3;
    private static final double MAX_SIZE = 40;

    final RequestClassSettings settings;
    final int index;
    final TreeSet<Query> heldQueries = new TreeSet<>(Query.BY_LATENCY_TARGET);
    final double initialWork;
    final WorkEstimator workEstimator = new WorkEstimator();
    double meanWork, memoryRatio = 1;
    long longestTimeout;
    /** Delays are for a query of size 1; {@code recentLoadRatio} is the mean ratio of delays to minima. */
    double requestCount = 1, meanSquareError, meanWait, loadRatio = 1, recentDelay, recentLoadRatio = 1,
            meanMinDelay, meanContention = 1;

    RequestClass(RequestClassSettings settings, int index) {
        this.settings = settings;
        this.index = index;
        this.initialWork = INITIAL_WORK_SHARE * settings.latencyTarget() * settings.threads();
        this.meanWork = initialWork;
        this.meanSquareError = (double) settings.latencyTarget() * settings.latencyTarget();
    }

    double typicalDelay() {
        return recentDelay > 0 ? recentDelay : settings.latencyTarget() * INITIAL_DELAY_SHARE;
    }

    double typicalWork() {
        return Math.max(meanWork, initialWork / 2);
    }

    /** Returns the work to expect of a request: from its estimate, or the class mean where it has none. */
    double expectedWork(Request request) {
        return request.work() > 0 ? workEstimator.expectedWork(request.work()) : meanWork;
    }

    /** Returns work as a multiple of the class mean, within bounds. */
    double relativeSize(double work) {
        return Math.min(MAX_SIZE, Math.max(MIN_SIZE, work / meanWork));
    }

    /** Raises the memory ratio with each spill, else lowers it slowly, until only a small share spills. */
    void adjustMemoryRatio(boolean spilled) {
        memoryRatio *= 1 + CLASS_SMOOTHING * ((spilled ? 1 : 0) - MAX_SPILL_SHARE);
    }

    /** Records the work of a served query; {@code estimate} is the client's, 0 if it gave none. */
    void recordWork(double work, double estimate) {
        meanWork += CLASS_SMOOTHING * (work - meanWork);
        if (estimate > 0) {
            workEstimator.record(estimate, work);
        }
    }

    /** Updates the load ratio of the paper: summed predictions over minima; idle engines by recent ratio. */
    void updateLoadRatio(Iterable<EngineEstimate> engines, long now) {
        double predictions = 0, minima = 0, contentions = 0;
        int count = 0, measured = 0;
        for (EngineEstimate engine : engines) {
            Predictor predictor = engine.predictors.get(index);
            contentions += engine.contention(1, now);
            count++;
            if (predictor.recentDelay > 0 && engine.status == EngineStatus.READY) {
                predictions += predictor.predict(now, recentLoadRatio, predictor.recentContention,
                        predictor.recentContention);
                minima += predictor.minDelay;
                measured++;
            }
        }
        meanContention = contentions / Math.max(1, count);
        if (measured > 0) {
            loadRatio = Math.max(1, Math.min(MAX_LOAD_RATIO, predictions / minima));
            meanMinDelay = minima / measured;
        }
    }
}
