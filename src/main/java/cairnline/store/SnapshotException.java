package cairnline.store;

/** Thrown for a snapshot that can't be used and is skipped. */
public final class SnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why a snapshot can't be used; the names are values in log events. */
    public enum Cause {
        /** The file is truncated. */
        CUT,
        /** The checksum or a field is wrong. */
        DAMAGED,
        /** The file is not an engine list snapshot. */
        FOREIGN,
        /** A newer release wrote it. */
        NEWER_VERSION,
        /** It is dated in the future by more than the allowed clock skew. */
        FUTURE_DATED,
        /** The file is larger than the limit. */
        HUGE,
        /** Reading the file failed. */
        UNREADABLE
    }

    private final Cause reason;

    SnapshotException(Cause reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** Returns why the snapshot can't be used. */
    public Cause reason() {
        return reason;
    }
}
