package cairnline.routing;

import cairnline.control.ControlApi.AttemptStatus;
import java.util.ArrayList;
import java.util.List;

/**
 * A request with its attempts. It is kept after the answer until the last attempt has ended. Used only on the dispatcher's
 * thread.
 */
final class OpenRequest {
    /** The id under which the decision module knows the request. */
    final String id;
    final Request request;
    /** When the answer is due, in microseconds. */
    final long deadline;
    /** Whether the request must not run twice, not even with the same idempotency key. */
    final boolean isUnsafe;
    /** All attempts, indexed by their number. */
    final List<Attempt> attempts = new ArrayList<>(2);
    final List<Attempt> inFlight = new ArrayList<>(2);
    int priority = 1;
    /** Answers the request if nothing else has by then. */
    Timers.Timer overdueTimer;
    boolean answered;
    /** Whether no further attempt may start, since the client sends nothing more. */
    boolean detached;
    /** Its place among the requests of its ordering key; null without one. */
    KeyPlace place;
    private boolean mayHaveRun;
    private boolean timedOut;

    OpenRequest(String id, Request request, long deadline, boolean isUnsafe) {
        this.id = id;
        this.request = request;
        this.deadline = deadline;
        this.isUnsafe = isUnsafe;
    }

    /** Whether an attempt runs, or has ended without proof that it never ran. */
    boolean mayHaveRun() {
        return mayHaveRun || !inFlight.isEmpty();
    }

    /** Records the end of an attempt. */
    void attemptEnded(Attempt attempt, AttemptStatus status) {
        inFlight.remove(attempt);
        timedOut |= status == AttemptStatus.TIMEOUT;
        mayHaveRun |= status != AttemptStatus.NOT_SENT && status != AttemptStatus.FULL && status != AttemptStatus.CONNECT_FAILED;
    }

    /** Whether an attempt has timed out. */
    boolean hasTimedOut() {
        return timedOut;
    }

    /** Returns the answer for a request that ends now without rows: refused only if it certainly never ran. */
    Answer unserved(String reason, long retryAfter) {
        return mayHaveRun() ? Answer.failed(reason, timedOut) : Answer.refused(reason, retryAfter);
    }
}
