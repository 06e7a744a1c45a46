package cairnline.control;

/**
 * The odds that an engine is unhealthy, by Bayes' rule from this front's attempts there; past even odds the engine is
 * avoided. Evidence decays, so that the engine is tried again; plain state of {@link Control}.
 *
 * <p>Reachability and the ability to serve requests are tracked apart. A connection that breaks or falls silent is weak
 * evidence about the engine behind it, however many attempts are lost with it; any response, also to a probe, shows that
 * the engine is reachable, but is no evidence about requests that it fails. Could harm where an engine answers probes but
 * no requests: then only the silence of each attempt reveals it.
 */
final class EngineHealth {
    /** Odds before any evidence, and their upper bound. */
    private static final double PRIOR_ODDS = 0.05, MAX_ODDS = 4;
    /** Failure rate of an unhealthy engine, and the least failure rate assumed of healthy ones. */
    private static final double UNHEALTHY_FAILURE_RATE = 0.6, MIN_FAILURE_RATE = 0.03;
    /** Weight of the newest outcome in the failure rate of all engines. */
    private static final double RATE_SMOOTHING = 0.05;
    /** Age at which evidence counts half. */
    private static final long EVIDENCE_HALF_LIFE_NANOS = 4_000_000_000L;
    /** Factor on the odds for a lost connection, a silent attempt or a failed connect. */
    private static final double LOSS_FACTOR = 4;
    /** Attempts on one connection are lost together: losses within this time count as one. */
    private static final long LOSS_GROUPING_NANOS = 200_000_000L;

    private double failureOdds = PRIOR_ODDS, unreachableOdds = PRIOR_ODDS;
    private long failureOddsAt, unreachableOddsAt = Long.MIN_VALUE / 2;

    /** Returns the odds that the engine is unreachable or fails requests, whichever are higher. */
    double odds(long now) {
        return Math.max(decayed(failureOdds, now - failureOddsAt), decayed(unreachableOdds, now - unreachableOddsAt));
    }

    /** The rate at which attempts fail at any engine, against which each engine is compared. */
    static final class FailureRate {
        private double rate = MIN_FAILURE_RATE;

        private void moveTowards(double target) {
            rate += RATE_SMOOTHING * (target - rate);
        }
    }

    /** Records that the engine has served a request. */
    void recordSuccess(FailureRate overall, long now) {
        recordAnswer();
        updateFailureOdds((1 - UNHEALTHY_FAILURE_RATE) / (1 - overall.rate), now);
        overall.moveTowards(MIN_FAILURE_RATE);
    }

    /** Records that the engine has failed a request that another engine served. */
    void recordFailure(FailureRate overall, long now) {
        updateFailureOdds(UNHEALTHY_FAILURE_RATE / overall.rate, now);
        overall.moveTowards(UNHEALTHY_FAILURE_RATE);
    }

    private void updateFailureOdds(double factor, long now) {
        failureOdds = Math.max(PRIOR_ODDS, Math.min(MAX_ODDS, decayed(failureOdds, now - failureOddsAt) * factor));
        failureOddsAt = now;
    }

    /** Records a sign that the engine may be unreachable. */
    void recordLoss(long now) {
        if (now - unreachableOddsAt >= LOSS_GROUPING_NANOS) {
            unreachableOdds = Math.min(MAX_ODDS, decayed(unreachableOdds, now - unreachableOddsAt) * LOSS_FACTOR);
            unreachableOddsAt = now;
        }
    }

    /** Records a response of any kind: the engine is reachable. */
    void recordAnswer() {
        unreachableOdds = PRIOR_ODDS;
    }

    private static double decayed(double odds, long age) {
        return PRIOR_ODDS + (odds - PRIOR_ODDS) / (1 + (double) age / EVIDENCE_HALF_LIFE_NANOS);
    }
}
