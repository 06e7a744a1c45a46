package cairnline.control;

import cairnline.control.Query.Attempt;

import java.util.LinkedHashSet;
import java.util.Set;

/** The paper's three states, for one class at one engine; plain state of {@link Control}. */
final class Predictor {
    /** How far t min moves up to t with each success, so that it can age. */
    private static final double MIN_AGEING = 0.005;
    /** In flight: silence counts up to this many usual delays, so one runaway causes no refusals. */
    private static final double ELAPSED_CAP = 2;

    final Set<Attempt> inFlight = new LinkedHashSet<>();
    double t, tMin, crowdThen = 1;
    long doneAt;

    /**
     * Recent: t. In flight: silent time plus t min times rho; silence runs from the oldest attempt out or
     * the last success, whichever is later. Idle: t min times rho.
     */
    double predict(long now, double rho, double crowd, double meanCrowd) {
        if (now - doneAt < t * rho) {
            return t * crowd / crowdThen;
        }
        double idle = tMin * rho * crowd / meanCrowd;
        if (inFlight.isEmpty()) {
            return idle;
        }
        long since = Math.max(doneAt, inFlight.iterator().next().sentAt);
        return Math.min(now - since, ELAPSED_CAP * idle) + idle;
    }

    /** The first success moves what all engines say together: one query's luck must not mark one. */
    void learn(double delay, long now, double crowd, Control.Kin kin) {
        if (t == 0) {
            t = kin.usual;
            tMin = kin.meanMin;
            crowdThen = crowd;
        }
        t = Control.smooth(t, Math.max(1, delay));
        tMin = tMin == 0 || t < tMin ? t : tMin + MIN_AGEING * (t - tMin);
        doneAt = now;
        crowdThen = Control.smooth(crowdThen, crowd);
    }
}
