package cairnline.simhost;

/** Input that does not follow the wire. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private static final int SHOWN = 200;

    WireException(String problem, String line) {
        super(problem + " in line: " + (line.length() > SHOWN ? line.substring(0, SHOWN) + "..." : line));
    }
}
