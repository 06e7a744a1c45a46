package cairnline.protocol;

/** Thrown for input from a peer that violates its protocol. The message may be sent to that peer. */
public final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without stack trace. */
    public ProtocolException(String problem) {
        super(problem, null, false, false);
    }
}
