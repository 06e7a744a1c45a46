package cairnline.transport;

import cairnline.routing.Limits;

/**
 * What a client may take: time for its first message, for the rest of one that has begun, and between two; and room
 * for what has begun. Bytes alone prolong nothing, since a client may drip them for ever.
 */
final class Allowance {
    private final SocketFront front;
    private final Limits limits;
    private final long since;
    private long partialSince;
    private long held;
    private volatile boolean asked;
    private volatile long activeAt;

    Allowance(SocketFront front) {
        this.front = front;
        this.limits = front.limits();
        this.since = front.clock().micros();
        this.activeAt = since;
    }

    /**
     * Bytes have been read, with a whole message among them or not, and another has begun or not; on the loop's thread, as
     * all but what is asked of it.
     */
    void read(long now, boolean whole, boolean partial) {
        asked |= whole;
        activeAt = now;
        if (!partial) {
            partialSince = 0;
        } else if (whole || partialSince == 0) {
            partialSince = now;
        }
    }

    /** The connection is over. */
    void end() {
        hold(0);
    }

    /** So many bytes are held of a message that has begun; false if all clients together hold too much. */
    boolean hold(long bytes) {
        long more = bytes - held;
        held = bytes;
        return more == 0 || front.hold(more) || more < 0;
    }

    /** Something has been answered; on any thread. */
    void answered(long now) {
        activeAt = now;
    }

    /** When the client must have moved on, if it last did so then. */
    long due(long lastRead) {
        return Math.min(lastRead + limits.clients().idleTimeout(), owed());
    }

    /** When a message is owed. */
    private long owed() {
        if (partialSince > 0) {
            return partialSince + limits.clients().messageTimeout();
        }
        return asked ? Long.MAX_VALUE : since + limits.clients().firstMessageTimeout();
    }

    /** Whether a message is owed for too long. */
    boolean isOver(long now) {
        return now >= owed();
    }

    /** Whether the client has been still for so long that it may go if it waits for nothing. */
    boolean isIdle(long now) {
        return now - activeAt >= limits.clients().idleTimeout();
    }

    boolean hasAsked() {
        return asked;
    }

    long activeAt() {
        return activeAt;
    }
}
