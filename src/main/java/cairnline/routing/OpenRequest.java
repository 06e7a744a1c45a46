package cairnline.routing;

import cairnline.control.ControlApi.AttemptStatus;
import java.util.ArrayList;
import java.util.List;

/** A request with its attempts; kept after its answer until the last attempt is over. Only the core's thread uses it. */
final class OpenRequest {
    /** The id under which the module knows it. */
    final String id;
    final Request request;
    /** When its answer is due, in microseconds. */
    final long deadline;
    /** All attempts, by their numbers. */
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Those that are out. */
    final List<Attempt> out = new ArrayList<>(2);
    int priority = 1;
    boolean answered;
    /** No further attempt may begin. */
    boolean detached;
    private boolean mayHaveRun;
    private boolean timedOut;

    OpenRequest(String id, Request request, long deadline) {
        this.id = id;
        this.request = request;
        this.deadline = deadline;
    }

    /** An attempt of it has ended in this way. */
    void ended(Attempt attempt, AttemptStatus end) {
        out.remove(attempt);
        timedOut |= end == AttemptStatus.TIMEOUT;
        mayHaveRun |= end != AttemptStatus.NOT_SENT && end != AttemptStatus.FULL && end != AttemptStatus.CONNECT_FAILED;
    }

    /** Whether time ran out for an attempt of it. */
    boolean hasTimedOut() {
        return timedOut;
    }

    /** The answer if it ends now without rows: refused only if it surely never ran. */
    Answer unserved(String reason, long retryAfter) {
        return mayHaveRun || !out.isEmpty() ? Answer.failed(reason, timedOut) : Answer.refused(reason, retryAfter);
    }
}
