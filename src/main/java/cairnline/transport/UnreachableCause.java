package cairnline.transport;

import cairnline.membership.Evidence;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;

/** Why a connection could not be established, and what that says about the engine's state. */
enum UnreachableCause {
    /** The address refused the connection. */
    REFUSED(Evidence.CONNECTION_REFUSED),
    /** Connecting timed out, or there is no route to the address. */
    NO_ANSWER(Evidence.NO_ANSWER),
    /** A local problem such as a lack of sockets, ports or memory, which says nothing about the engine. */
    LOCAL(null);

    private static final String REFUSAL_MESSAGE = "Connection refused";

    private final Evidence evidence;

    UnreachableCause(Evidence evidence) {
        this.evidence = evidence;
    }

    /** Returns the evidence of the engine's state; null for none. */
    Evidence evidence() {
        return evidence;
    }

    /** Classifies a failure to connect. */
    static UnreachableCause of(IOException failure) {
        // Java reports a refusal and a time-out detected by the operating system with the same exception class.
        if (failure instanceof ConnectException && String.valueOf(failure.getMessage()).startsWith(REFUSAL_MESSAGE)) {
            return REFUSED;
        }
        boolean noAnswer = failure instanceof ConnectException || failure instanceof SocketTimeoutException
                || failure instanceof NoRouteToHostException;
        return noAnswer ? NO_ANSWER : LOCAL;
    }
}
