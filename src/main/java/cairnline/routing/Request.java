package cairnline.routing;

import java.util.Arrays;
import java.util.Objects;

/**
 * A client's request as any front takes it. {@code id} and {@code idempotencyKey} pass to engines unchanged; {@code order}
 * is the key whose requests go one at a time, null without; {@code takenAt} is when its last byte was read and
 * {@code patience} how long the client waits from then, both in microseconds; {@code work} is the estimate in
 * microseconds on one core, 0 if unknown; {@code tables} is -1 if unknown.
 */
public record Request(String id, String type, byte[] statement, String idempotencyKey, Long order, long takenAt, long patience,
                      long work, double memory, int tables, Front front, Interest interest) {
    /** A request that its client waits for. */
    public Request(String id, String type, byte[] statement, String idempotencyKey, Long order, long takenAt, long patience,
                   long work, double memory, int tables, Front front) {
        this(id, type, statement, idempotencyKey, order, takenAt, patience, work, memory, tables, front, new Interest());
    }

    /** Whether the client still waits, set by its front and read by links at once, ahead of the core's mailbox. */
    public static final class Interest {
        private volatile boolean lost;
        private volatile boolean detached;

        void lose() {
            lost = true;
        }

        void detach() {
            detached = true;
        }
    }

    /** Whether anybody waits for the answer. */
    boolean isWaitedFor() {
        return !interest.lost;
    }

    /** Whether an attempt may begin. */
    boolean mayBegin() {
        return !interest.lost && !interest.detached;
    }


    /** Whether another request that bears the same id is this one once more, as a client may ask on a new connection. */
    boolean asksTheSame(Request other) {
        return type.equals(other.type) && Arrays.equals(statement, other.statement)
                && Objects.equals(idempotencyKey, other.idempotencyKey) && Objects.equals(order, other.order);
    }
}
