package cairnline.transport;

import cairnline.membership.Evidence;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;

/** Why a connection did not come up, and what that tells of the engine. */
enum UnreachableCause {
    /** Its address refused the connection. */
    REFUSED(Evidence.CONNECTION_REFUSED),
    /** Nothing came back in time, or nothing leads there. */
    SILENT(Evidence.NO_ANSWER),
    /** This system had no socket, port or memory for it, which tells nothing of the engine. */
    LOCAL(null);

    private static final String REFUSAL = "Connection refused";

    private final Evidence evidence;

    UnreachableCause(Evidence evidence) {
        this.evidence = evidence;
    }

    /** The evidence of the engine's state; null for none. */
    Evidence evidence() {
        return evidence;
    }

    static UnreachableCause of(IOException why) {
        // The platform's library has one class for a refusal and for a time-out that the system found.
        if (why instanceof ConnectException && String.valueOf(why.getMessage()).startsWith(REFUSAL)) {
            return REFUSED;
        }
        boolean silent = why instanceof ConnectException || why instanceof SocketTimeoutException
                || why instanceof NoRouteToHostException;
        return silent ? SILENT : LOCAL;
    }
}
