package cairnline.membership;

/**
 * The belief that a restored entry is still valid, as log-odds in nats. It starts at a value that depends on the age of the
 * entry, and each piece of evidence updates it by Bayes' rule. It is bounded on both sides, so that even a long run of
 * evidence can be reversed by the evidence that follows.
 *
 * @param logOdds from {@link #MIN_LOG_ODDS} to {@link #MAX_LOG_ODDS}
 */
record Trust(double logOdds) {
    static final double MIN_LOG_ODDS = -6;
    static final double MAX_LOG_ODDS = 6;
    /** Factor for the initial trust in an entry that was unhealthy when it was stored. */
    private static final double UNHEALTHY_FACTOR = 0.4;
    /** Factor for the initial trust in an entry whose address did not belong to an engine when it was stored. */
    private static final double MISIDENTIFIED_FACTOR = 0.05;

    Trust {
        logOdds = Math.max(MIN_LOG_ODDS, Math.min(MAX_LOG_ODDS, logOdds));
    }

    /**
     * Returns the trust in an entry of this age, which halves with every half-life.
     *
     * @param initialTrust probability that an entry confirmed just now is valid, between 0 and 1
     */
    static Trust ofAge(double initialTrust, long age, long halfLife, State lastState) {
        double factor = lastState == State.UNHEALTHY ? UNHEALTHY_FACTOR
                : lastState == State.MISIDENTIFIED ? MISIDENTIFIED_FACTOR : 1;
        double probability = initialTrust * factor * Math.pow(2, -(double) Math.max(0, age) / halfLife);
        return new Trust(Math.log(probability / (1 - probability)));
    }

    Trust after(Evidence evidence) {
        return new Trust(logOdds + evidence.logLikelihoodRatio());
    }

    /** Whether the engine may be offered. Even odds suffice, since it still gets only the share of a cold engine. */
    boolean suffices() {
        return logOdds >= 0;
    }

    double probability() {
        return 1 / (1 + Math.exp(-logOdds));
    }
}
