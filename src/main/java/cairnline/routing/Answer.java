package cairnline.routing;

/**
 * The final answer to a request.
 *
 * @param kind whether the request was served, refused or has failed
 * @param rows the result of a served request; otherwise empty
 * @param reason why the request was refused or has failed; otherwise empty
 * @param retryAfter time in microseconds after which the client should retry; 0 for no advice
 * @param timedOut whether the request failed because its time ran out
 */
public record Answer(Kind kind, byte[] rows, String reason, long retryAfter, boolean timedOut) {
    /** The outcome of a request. {@code REFUSED} guarantees that it did not run, so that a retry is safe. */
    public enum Kind { SERVED, REFUSED, FAILED }

    private static final byte[] NO_ROWS = {};

    static Answer served(byte[] rows) {
        return new Answer(Kind.SERVED, rows, "", 0, false);
    }

    static Answer refused(String reason, long retryAfter) {
        return new Answer(Kind.REFUSED, NO_ROWS, reason, retryAfter, false);
    }

    static Answer failed(String reason, boolean timedOut) {
        return new Answer(Kind.FAILED, NO_ROWS, reason, 0, timedOut);
    }
}
