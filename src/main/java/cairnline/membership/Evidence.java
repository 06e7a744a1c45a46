package cairnline.membership;

/**
 * An observation of an engine made by this process. Each kind carries the natural logarithm of a likelihood ratio: how
 * strongly it supports, or contradicts, the belief that the listed engine serves at its address.
 *
 * <p>One refused connection outweighs one answered probe. A missing answer weighs less than a refusal, since the network
 * may have lost a single packet. Bytes that no engine sends weigh most.
 */
public enum Evidence {
    /** The engine answered a probe with a valid reply. */
    PROBE_ANSWERED(2.5),
    /** The engine answered a request with a valid reply: rows, "full" or an error. */
    REQUEST_SERVED(3),
    /** The engine's address refused a connection: no process listens there. */
    CONNECTION_REFUSED(-3),
    /** A connection could not be established in time, or an expected reply did not arrive in time. */
    NO_ANSWER(-2),
    /** The engine's side closed an established connection: its process may have terminated too. */
    CONNECTION_RESET(-1),
    /** The peer sent bytes that no engine sends. */
    MALFORMED(-6);

    private final double logLikelihoodRatio;

    Evidence(double logLikelihoodRatio) {
        this.logLikelihoodRatio = logLikelihoodRatio;
    }

    double logLikelihoodRatio() {
        return logLikelihoodRatio;
    }

    /** Whether the observation supports the belief that the engine serves. */
    public boolean isGood() {
        return logLikelihoodRatio > 0;
    }
}
