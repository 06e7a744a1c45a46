package cairnline.protocol;

/** A request that OData can't serve, with the status that says why. */
public final class ODataException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    /** Names what is wrong. */
    public ODataException(int status, String problem) {
        super(problem, null, false, false);
        this.status = status;
    }

    /** The HTTP status. */
    public int status() {
        return status;
    }
}
