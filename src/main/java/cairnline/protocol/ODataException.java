package cairnline.protocol;

/** Thrown for an OData request that is rejected with an HTTP error status. */
public final class ODataException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    /** Creates an exception without stack trace; the message is sent to the client. */
    public ODataException(int status, String problem) {
        super(problem, null, false, false);
        this.status = status;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }
}
