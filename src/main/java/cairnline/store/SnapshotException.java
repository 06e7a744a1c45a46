package cairnline.store;

/** A snapshot that can't be used, and the one cause for which it is skipped. */
public final class SnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why a snapshot can't be used; the words of the event that tells of it. */
    public enum Cause {
        /** It ends before its last byte. */
        CUT,
        /** Its checksum, or a field in it, is wrong. */
        DAMAGED,
        /** It is no snapshot of a list. */
        FOREIGN,
        /** A later release wrote it. */
        NEWER_VERSION,
        /** It was written later than now, by more than clocks may differ. */
        FUTURE_DATED,
        /** It is larger than the limit. */
        HUGE,
        /** The system does not let it be read. */
        UNREADABLE
    }

    private final Cause why;

    SnapshotException(Cause why, String words) {
        super(words);
        this.why = why;
    }

    /** The cause. */
    public Cause why() {
        return why;
    }
}
