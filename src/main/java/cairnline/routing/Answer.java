package cairnline.routing;

/**
 * The final answer to a request: the rows if served, else a reason in words. {@code retryAfter} is when to come back,
 * in microseconds; 0 without advice. {@code late} is true if time ran out.
 */
public record Answer(Kind kind, byte[] rows, String reason, long retryAfter, boolean late) {
    /** What became of a request; refused says that a new try is harmless. */
    public enum Kind { SERVED, REFUSED, FAILED }

    private static final byte[] NONE = {};

    static Answer served(byte[] rows) {
        return new Answer(Kind.SERVED, rows, "", 0, false);
    }

    static Answer refused(String reason, long retryAfter) {
        return new Answer(Kind.REFUSED, NONE, reason, retryAfter, false);
    }

    static Answer failed(String reason, boolean late) {
        return new Answer(Kind.FAILED, NONE, reason, 0, late);
    }
}
