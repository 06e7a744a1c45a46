package cairnline.membership;

/**
 * Belief that an entry still holds, as log-odds in nats. It begins at what an entry of that age deserves and moves by
 * Bayes with each piece of evidence; bounded on both sides, so that no run of evidence makes it deaf to the next.
 *
 * @param nats log-odds, from {@link #LEAST} to {@link #MOST}
 */
record Trust(double nats) {
    static final double LEAST = -6;
    static final double MOST = 6;
    /** What remains of a fresh entry's trust if it was ill, or no engine, when it was written. */
    private static final double ONCE_ILL = 0.4;
    private static final double ONCE_MISTAKEN = 0.05;

    Trust {
        nats = Math.max(LEAST, Math.min(MOST, nats));
    }

    /** Of an entry last confirmed so long ago; it halves with every half-life. {@code fresh} lies between 0 and 1. */
    static Trust aged(double fresh, long age, long halfLife, State last) {
        double once = last == State.UNHEALTHY ? ONCE_ILL : last == State.MISIDENTIFIED ? ONCE_MISTAKEN : 1;
        double probability = fresh * once * Math.pow(2, -(double) Math.max(0, age) / halfLife);
        return new Trust(Math.log(probability / (1 - probability)));
    }

    Trust after(Evidence seen) {
        return new Trust(nats + seen.nats());
    }

    /** Even odds suffice: what is offered is still bound to a cold engine's part. */
    boolean suffices() {
        return nats >= 0;
    }

    double probability() {
        return 1 / (1 + Math.exp(-nats));
    }
}
