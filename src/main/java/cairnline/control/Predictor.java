package cairnline.control;

import cairnline.control.Query.Attempt;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The three-state delay prediction of the paper that {@link Control} names, for one class at one engine;
 * plain state of {@link Control}.
 */
final class Predictor {
    /** Share of the gap to the recent delay by which the minimum rises with each success, to let it age. */
    private static final double MIN_DELAY_AGEING = 0.005;
    /** Silence counts up to this many idle predictions, so that one runaway query causes no refusals. */
    private static final double MAX_SILENCE_FACTOR = 2;

    /** Successes at which an engine's own delays weigh as much as all engines'; their decay to 1/e. */
    private static final double EQUAL_WEIGHT_SUCCESSES = 8, SUCCESS_DECAY_NANOS = 5e9;

    final Set<Attempt> inFlight = new LinkedHashSet<>();
    double recentDelay, minDelay, recentContention = 1;
    long lastSuccessAt;
    private double successes;

    /**
     * Recent success: the recent delay. Attempts in flight: the silence plus the minimum delay times the load
     * ratio; silence runs from the later of the oldest attempt in flight and the last success. Idle: the
     * minimum delay times the load ratio.
     */
    double predict(long now, double loadRatio, double contention, double meanContention) {
        if (now - lastSuccessAt < recentDelay * loadRatio) {
            return recentDelay * contention / recentContention;
        }
        double idle = minDelay * loadRatio * contention / meanContention;
        if (inFlight.isEmpty()) {
            return idle;
        }
        long silentSince = Math.max(lastSuccessAt, inFlight.iterator().next().sentAt);
        return Math.min(now - silentSince, MAX_SILENCE_FACTOR * idle) + idle;
    }

    /** Returns the weight of this engine's own prediction against that of all engines: by count and age. */
    double ownWeight(long now) {
        double remaining = successes * StrictMath.exp((lastSuccessAt - now) / SUCCESS_DECAY_NANOS);
        return remaining / (remaining + EQUAL_WEIGHT_SUCCESSES);
    }

    /** Starts from the means of all engines: one untypical query must not define an engine. */
    void recordSuccess(double delay, long now, double contention, RequestClass requestClass) {
        if (recentDelay == 0) {
            recentDelay = requestClass.recentDelay;
            minDelay = requestClass.meanMinDelay;
            recentContention = contention;
        }
        recentDelay = Control.smooth(recentDelay, Math.max(1, delay));
        minDelay = minDelay == 0 || recentDelay < minDelay ? recentDelay
                : minDelay + MIN_DELAY_AGEING * (recentDelay - minDelay);
        successes = successes * StrictMath.exp((lastSuccessAt - now) / SUCCESS_DECAY_NANOS) + 1;
        lastSuccessAt = now;
        recentContention = Control.smooth(recentContention, contention);
    }
}
