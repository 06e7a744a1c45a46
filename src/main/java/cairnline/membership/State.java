package cairnline.membership;

import cairnline.control.ControlApi.EngineStatus;

/**
 * What is believed of a listed engine. The transitions stand here and nowhere else; docs/membership.md draws them.
 *
 * <p>The control feed's word stands above all evidence: it alone leads to and from {@link #TOLD}, {@link #LEAVING} and
 * {@link #GONE}. Between the other states evidence leads, and time from {@link #ALIVE} to {@link #PROVEN}.
 */
public enum State {
    /** The feed of this run lists it in service: the module decides alone. */
    TOLD,
    /** Known from disk; nothing seen yet, or too little for an entry so old. */
    REMEMBERED,
    /** Seen alive in this run, not known to be warm. */
    ALIVE,
    /** Seen alive for as long as an engine takes to warm up. */
    PROVEN,
    /** Known from disk, and seen not to serve. */
    ILL,
    /** Known from disk, and what answers there is no engine. */
    MISTAKEN,
    /** Last told to drain: gets nothing new, whatever is seen of it. */
    LEAVING,
    /** Last told to have ended. */
    GONE;

    /** What the feed's word makes of any state. */
    static State told(EngineStatus listed) {
        return switch (listed) {
            case READY -> TOLD;
            case DRAINING -> LEAVING;
            case REMOVED -> GONE;
        };
    }

    /** What the disk's word makes of an entry at a start: only the feed lifts a drain or an end. */
    static State remembered(State last) {
        return last == LEAVING || last == GONE ? last : REMEMBERED;
    }

    /** Where evidence leads; {@code believed} if trust in the entry, this evidence included, suffices to offer it. */
    State after(Evidence seen, boolean believed) {
        return switch (this) {
            case TOLD, LEAVING, GONE -> this;
            case REMEMBERED, ILL, MISTAKEN -> seen == Evidence.UNREADABLE ? MISTAKEN
                    : !seen.isGood() ? this == MISTAKEN ? MISTAKEN : ILL : believed ? ALIVE : REMEMBERED;
            // An engine that was seen to be one may still spoil an answer: that is no mistake about what it is.
            case ALIVE, PROVEN -> seen.isGood() ? this : believed ? ALIVE : ILL;
        };
    }

    /** Where time leads an engine that has been seen alive for so long without a break. */
    State afterAlive(long aliveFor, long warmWithin) {
        return this == ALIVE && aliveFor >= warmWithin ? PROVEN : this;
    }

    /** Whether the module may choose it. */
    public boolean isOffered() {
        return this == TOLD || this == ALIVE || this == PROVEN;
    }

    /** Whether membership itself must look after it, since neither the feed nor the module does. */
    boolean isWatched() {
        return this == REMEMBERED || this == ILL || this == MISTAKEN;
    }

    /** Whether it stands only on what was remembered and seen. */
    boolean isUntold() {
        return isWatched() || this == ALIVE || this == PROVEN;
    }
}
