package cairnline.membership;

import cairnline.control.ControlApi.EngineStatus;

/**
 * The believed state of a listed engine. All state transitions are defined here; docs/membership.md has the diagram.
 *
 * <p>The control feed takes precedence over all evidence: only the feed leads to and from {@link #CONFIRMED},
 * {@link #DRAINING} and {@link #REMOVED}. Evidence moves an engine between the other states, and time moves it from
 * {@link #ALIVE} to {@link #WARM}.
 *
 * <p>The order of the constants is part of the snapshot format, which stores ordinals.
 */
public enum State {
    /** The feed reported the engine as ready during this run; only the decision module judges it. */
    CONFIRMED("told"),
    /** Restored from disk; not observed yet, or too little evidence for an entry of its age. */
    RESTORED("remembered"),
    /** Observed alive during this run, but not known to be warm. */
    ALIVE("alive"),
    /** Observed alive for at least the warm-up period. */
    WARM("proven"),
    /** Restored from disk, and observed not to serve. */
    UNHEALTHY("ill"),
    /** Restored from disk, and whatever answers at the address is not an engine. */
    MISIDENTIFIED("mistaken"),
    /** Last reported as draining: receives no new requests, regardless of evidence. */
    DRAINING("leaving"),
    /** Last reported as removed. */
    REMOVED("gone");

    private final String printedName;

    State(String printedName) {
        this.printedName = printedName;
    }

    /** Returns the name under which commands print this state; operators' tools match it. */
    public String printedName() {
        return printedName;
    }

    /** Returns the state after the feed has reported this status; the state before does not matter. */
    static State ofReported(EngineStatus status) {
        return switch (status) {
            case READY -> CONFIRMED;
            case DRAINING -> DRAINING;
            case REMOVED -> REMOVED;
        };
    }

    /** Returns the state of an entry restored at start-up: only the feed can end a drain or revoke a removal. */
    static State ofStored(State lastState) {
        return lastState == DRAINING || lastState == REMOVED ? lastState : RESTORED;
    }

    /**
     * Returns the state after this evidence.
     *
     * @param trusted whether trust in the entry, with this evidence included, suffices to offer the engine
     */
    State after(Evidence evidence, boolean trusted) {
        return switch (this) {
            case CONFIRMED, DRAINING, REMOVED -> this;
            case RESTORED, UNHEALTHY, MISIDENTIFIED -> evidence == Evidence.MALFORMED ? MISIDENTIFIED
                    : !evidence.isGood() ? this == MISIDENTIFIED ? MISIDENTIFIED : UNHEALTHY : trusted ? ALIVE : RESTORED;
            // The process is already known to be an engine; one malformed answer does not make it misidentified.
            case ALIVE, WARM -> evidence.isGood() ? this : trusted ? ALIVE : UNHEALTHY;
        };
    }

    /** Returns the state of an engine that has been observed alive without interruption for this long. */
    State afterAliveFor(long aliveMicros, long warmUpMicros) {
        return this == ALIVE && aliveMicros >= warmUpMicros ? WARM : this;
    }

    /** Whether the decision module may send requests to the engine. */
    public boolean isOffered() {
        return this == CONFIRMED || this == ALIVE || this == WARM;
    }

    /** Whether membership itself has to probe the engine, since neither the feed nor the decision module monitors it. */
    boolean needsProbing() {
        return this == RESTORED || this == UNHEALTHY || this == MISIDENTIFIED;
    }

    /** Whether the state rests on the stored entry and on evidence only, without a report from the feed in this run. */
    boolean isUnconfirmed() {
        return needsProbing() || this == ALIVE || this == WARM;
    }
}
