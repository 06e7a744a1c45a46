package cairnline.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that are open, still run, or ended a moment ago, by the ids that clients gave them. The protocol has a new id for
 * each request; one that comes again is a request that crossed the close of its connection, or a client's mistake. Used only on
 * the dispatcher's thread.
 */
final class ClientRequestIds {
    private final Map<String, OpenRequest> requests = new HashMap<>();

    /** Returns why a request can't be opened beside the one that has its id; null if it can. */
    String conflictOf(Request request) {
        OpenRequest known = requests.get(request.id());
        if (known == null) {
            return null;
        }
        if (!known.answered && !request.isRepeatedBy(known.request)) {
            // Engines know requests by this id alone: they could answer one with the rows of the other.
            return "its id is that of another request that is open";
        }
        return known.isUnsafe && (!known.answered || known.mayHaveRun()) ? "a request with its id may have run" : null;
    }

    /** Records a request that is opened; an earlier one with its id is forgotten. */
    void add(OpenRequest request) {
        requests.put(request.request.id(), request);
    }

    /** Forgets a request. */
    void remove(OpenRequest request) {
        requests.remove(request.request.id(), request);
    }
}
