package cairnline.simhost;

/** Signals input that violates the line protocol; the message quotes the start of the offending line. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private static final int MAX_LINE_CHARS = 200;

    WireException(String problem, String line) {
        super(problem + " in line: " + (line.length() > MAX_LINE_CHARS ? line.substring(0, MAX_LINE_CHARS) + "..." : line));
    }
}
