package cairnline.membership;

/**
 * What this manager itself has seen of an engine, and how far it moves the belief that the engine is the one listed and
 * serves: {@code nats}, the natural logarithm of a likelihood ratio. One refused connection undoes one answered probe;
 * a silent peer weighs less, since the network may have lost a single packet; bytes that no engine writes weigh most.
 */
public enum Evidence {
    /** It answered a probe as an engine does. */
    PROBE_ANSWERED(2.5),
    /** It answered a request: served, full or in error, but in an engine's words. */
    REQUEST_SERVED(3),
    /** Its address refused a connection: no process listens there. */
    REFUSED(-3),
    /** It said nothing: no connection came up, or none of what was due on one. */
    SILENCE(-2),
    /** A connection that was up ended from its side: its process may have ended too. */
    RESET(-1),
    /** It wrote what no engine writes. */
    UNREADABLE(-6);

    private final double nats;

    Evidence(double nats) {
        this.nats = nats;
    }

    double nats() {
        return nats;
    }

    /** Whether it speaks for the engine. */
    public boolean isGood() {
        return nats > 0;
    }
}
