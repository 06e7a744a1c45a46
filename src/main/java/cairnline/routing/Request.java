package cairnline.routing;

import java.util.Objects;

/**
 * A client's request, independent of the protocol by which it was received.
 *
 * @param id the client's id of the request; passed to engines unchanged
 * @param type name of the request class
 * @param statement the statement to execute; passed to engines unchanged
 * @param idempotencyKey passed to engines unchanged; null for none
 * @param orderingKey requests with the same key run one at a time; null for none
 * @param receivedAt when the last byte was read, in microseconds on the program's clock
 * @param timeout how long the client waits from then on, in microseconds
 * @param work estimated work in microseconds on one core; 0 if unknown
 * @param memory estimated memory in megabytes; 0 if unknown
 * @param tableGroup number of the group of tables that the request uses; -1 if unknown
 * @param front receives the answer
 * @param interest whether the client still waits for the answer
 */
public record Request(String id, String type, Statement statement, String idempotencyKey, Long orderingKey, long receivedAt,
                      long timeout, long work, double memory, int tableGroup, Front front, Interest interest) {
    /** Creates a request whose client waits for the answer. */
    public Request(String id, String type, Statement statement, String idempotencyKey, Long orderingKey, long receivedAt,
                   long timeout, long work, double memory, int tableGroup, Front front) {
        this(id, type, statement, idempotencyKey, orderingKey, receivedAt, timeout, work, memory, tableGroup, front,
                new Interest());
    }

    /**
     * Whether the client still waits for the answer. Links read it on their own threads, so that a change takes effect
     * before the dispatcher processes it from its mailbox.
     */
    public static final class Interest {
        private volatile boolean lost;
        private volatile boolean detached;

        void markLost() {
            lost = true;
        }

        void markDetached() {
            detached = true;
        }
    }

    /** Whether anybody waits for the answer. */
    boolean isWaitedFor() {
        return !interest.lost;
    }

    /** Whether a further attempt may start. */
    boolean mayStartAttempt() {
        return !interest.lost && !interest.detached;
    }

    /** Whether another request with the same id is a repetition of this one, as a client may send on a new connection. */
    boolean isRepeatedBy(Request other) {
        return type.equals(other.type) && statement.hasSameBytes(other.statement)
                && Objects.equals(idempotencyKey, other.idempotencyKey) && Objects.equals(orderingKey, other.orderingKey);
    }
}
