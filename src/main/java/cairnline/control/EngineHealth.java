package cairnline.control;

/**
 * The odds that an engine is sick, by Bayes from what this front saw there; past even odds it is passed over. What was
 * seen fades, so that an engine is tried again; plain state of {@link Control}.
 *
 * <p>Whether an engine is there and whether it does its work are told apart. A connection that breaks or falls silent
 * says little of the engine behind it, however many attempts it takes along; any answer, also a probe's, shows that the
 * engine is there, and nothing of the requests that it fails. Could harm where an engine answers probes and no requests:
 * then only the silence of each attempt is left to tell.
 */
final class EngineHealth {
    /** Odds before anything is seen, and at most. */
    private static final double PRIOR = 0.05, SURE = 4;
    /** Part of its attempts that a sick engine fails, and what well ones fail at least. */
    private static final double SICK_FAILS = 0.6, FAILS_LEAST = 0.03;
    /** Weight of the newest outcome in how often attempts fail anywhere. */
    private static final double GAIN = 0.05;
    /** Time after which what was seen counts half. */
    private static final long LIFE = 4_000_000_000L;
    /** What a lost connection, a silent attempt or a connection that does not come up tells. */
    private static final double LOST = 4;
    /** Attempts on one connection are lost together: within this time they count as one. */
    private static final long TOGETHER = 200_000_000L;

    private double failing = PRIOR, away = PRIOR;
    private long failedAt, awayAt = Long.MIN_VALUE / 2;

    double odds(long now) {
        return Math.max(faded(failing, now - failedAt), faded(away, now - awayAt));
    }

    /** How often attempts fail anywhere: against that an engine is judged. */
    static final class Usual {
        private double rate = FAILS_LEAST;

        private void move(double to) {
            rate += GAIN * (to - rate);
        }
    }

    /** The engine has done its work. */
    void served(Usual usual, long now) {
        answered();
        worked((1 - SICK_FAILS) / (1 - usual.rate), now);
        usual.move(FAILS_LEAST);
    }

    /** The engine has failed a request that another one served. */
    void failed(Usual usual, long now) {
        worked(SICK_FAILS / usual.rate, now);
        usual.move(SICK_FAILS);
    }

    private void worked(double factor, long now) {
        failing = Math.max(PRIOR, Math.min(SURE, faded(failing, now - failedAt) * factor));
        failedAt = now;
    }

    /** The engine may not be there any more. */
    void lost(long now) {
        if (now - awayAt >= TOGETHER) {
            away = Math.min(SURE, faded(away, now - awayAt) * LOST);
            awayAt = now;
        }
    }

    /** The engine is there. */
    void answered() {
        away = PRIOR;
    }

    private static double faded(double odds, long age) {
        return PRIOR + (odds - PRIOR) / (1 + (double) age / LIFE);
    }
}
