package cairnline.protocol;

/** Bytes from a peer that do not follow its protocol; the message is fit to be shown to that peer. */
public final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Names what is wrong. */
    public ProtocolException(String problem) {
        super(problem, null, false, false);
    }
}
