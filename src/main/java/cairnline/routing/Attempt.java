package cairnline.routing;

import cairnline.control.ControlApi.AttemptStatus;

/**
 * One attempt to serve a request on one engine. Attempts are compared by identity, so that a late answer to one is never
 * taken for the answer to another. Times are microseconds on the program's clock.
 */
public final class Attempt {
    private final Request request;
    private final String engine;
    private final int number;
    private final long sentAt;
    private final long deadline;
    private final int priority;
    private volatile boolean wanted = true;

    Attempt(Request request, String engine, int number, long sentAt, long deadline, int priority) {
        this.request = request;
        this.engine = engine;
        this.number = number;
        this.sentAt = sentAt;
        this.deadline = deadline;
        this.priority = priority;
    }

    /**
     * The result of an attempt.
     *
     * @param status how the attempt ended
     * @param rows the rows; empty unless the status is OK
     * @param work the work that the engine reported, in microseconds; 0 if it reported none
     * @param memory the memory that the engine reported, in megabytes; 0 if it reported none
     */
    public record Result(AttemptStatus status, byte[] rows, long work, double memory) {
        private static final byte[] NO_ROWS = {};

        /** Returns a result without rows. */
        public static Result of(AttemptStatus status) {
            return new Result(status, NO_ROWS, 0, 0);
        }
    }

    /** Returns the request that this attempt is to serve. */
    public Request request() {
        return request;
    }

    /** Returns the id of the engine to which the attempt is sent. */
    public String engine() {
        return engine;
    }

    /** Returns the index of this attempt among the attempts of its request, from 0. */
    public int number() {
        return number;
    }

    /** Returns when the dispatcher handed the attempt to the engine's link. */
    public long sentAt() {
        return sentAt;
    }

    /** Returns when the dispatcher gives up the attempt. */
    public long deadline() {
        return deadline;
    }

    /** Returns the priority from 0 to 3; 1 is the default. */
    public int priority() {
        return priority;
    }

    /** Whether anybody still waits for the answer. Safe to call on any thread. */
    public boolean isWanted() {
        return wanted && request.isWaitedFor();
    }

    /**
     * Whether the attempt may be sent to the engine now. What the client has sent by now is taken into account, so this must
     * not be called with a lock held.
     */
    public boolean confirmMayStart() {
        request.front().readClientInput(request);
        return wanted && request.mayStartAttempt();
    }

    void markUnwanted() {
        wanted = false;
    }
}
