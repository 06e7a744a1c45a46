package cairnline.routing;

import cairnline.control.ControlApi.AttemptStatus;

/** One send of a request to one engine. Identity tells attempts apart, so no answer can be taken for another's. */
public final class Attempt {
    private final Request request;
    private final String engine;
    private final int number;
    private final long sentAt;
    private final long endsAt;
    private final int priority;
    private volatile boolean wanted = true;

    Attempt(Request request, String engine, int number, long sentAt, long endsAt, int priority) {
        this.request = request;
        this.engine = engine;
        this.number = number;
        this.sentAt = sentAt;
        this.endsAt = endsAt;
        this.priority = priority;
    }

    /** How an attempt ended; {@code work} in microseconds and {@code memory} in megabytes, 0 where not told. */
    public record Result(AttemptStatus end, byte[] rows, long work, double memory) {
        private static final byte[] NO_ROWS = {};

        /** An end without rows. */
        public static Result of(AttemptStatus end) {
            return new Result(end, NO_ROWS, 0, 0);
        }
    }

    /** What it is an attempt of. */
    public Request request() {
        return request;
    }

    /** Id of the engine that it goes to. */
    public String engine() {
        return engine;
    }

    /** Its place among the attempts of its request, from 0. */
    public int number() {
        return number;
    }

    /** When the core handed it to the link. */
    public long sentAt() {
        return sentAt;
    }

    /** When the core gives it up. */
    public long endsAt() {
        return endsAt;
    }

    /** 0 to 3; 1 is usual. */
    public int priority() {
        return priority;
    }

    /** False once nobody waits for its answer; read by links on their own threads. */
    public boolean wanted() {
        return wanted && request.isWaitedFor();
    }

    /** Whether it may still leave; read by links on their own threads. */
    public boolean mayBegin() {
        return wanted && request.mayBegin();
    }

    void unwanted() {
        wanted = false;
    }
}
