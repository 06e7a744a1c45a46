package cairnline.transport;

import cairnline.pools.MemoryBudget;
import cairnline.routing.Limits;

/**
 * Tracks the time limits of one client, for its first message, for the rest of a partial message and for idle time between
 * messages, and the bytes held for its partial message. Partial input extends no deadline, since a client could send single
 * bytes indefinitely. Confined to the event loop's thread, except where noted.
 */
final class ClientActivity {
    private final Limits limits;
    private final MemoryBudget.Account received;
    private final long connectedAt;
    /** Since when the current partial message has been incomplete; 0 without a partial message. */
    private long partialSince;
    private volatile boolean requestReceived;
    private volatile long lastActiveAt;

    ClientActivity(SocketFront front) {
        this.received = front.memory().received().openAccount();
        this.limits = front.limits();
        this.connectedAt = front.clock().micros();
        this.lastActiveAt = connectedAt;
    }

    /**
     * Records a read. {@code complete} says whether it completed a message, {@code partial} whether a partial message is left.
     */
    void onRead(long now, boolean complete, boolean partial) {
        requestReceived |= complete;
        lastActiveAt = now;
        if (!partial) {
            partialSince = 0;
        } else if (complete || partialSince == 0) {
            partialSince = now;
        }
    }

    /** Sets the memory held for the partial message; false if it grew and the bytes held for all clients exceed their limit. */
    boolean setHeldBytes(long bytes) {
        return received.set(bytes);
    }

    /** Records an answer; safe for any thread. */
    void onAnswered(long now) {
        lastActiveAt = now;
    }

    /** Returns the next deadline, given the time of the last read. */
    long timeoutAt(long lastReadAt) {
        return Math.min(lastReadAt + limits.clients().idleTimeout(), messageDeadline());
    }

    /** Returns when the current or first message must be complete; {@code Long.MAX_VALUE} without such a deadline. */
    private long messageDeadline() {
        if (partialSince > 0) {
            return partialSince + limits.clients().messageTimeout();
        }
        return requestReceived ? Long.MAX_VALUE : connectedAt + limits.clients().firstMessageTimeout();
    }

    /** Whether the current or first message is overdue. */
    boolean isMessageOverdue(long now) {
        return now >= messageDeadline();
    }

    /** Whether the client has been inactive for the idle time; its connection may be closed if no request is open. */
    boolean isIdle(long now) {
        return now - lastActiveAt >= limits.clients().idleTimeout();
    }

    /** Whether a complete message has been received; safe for any thread. */
    boolean hasSentRequest() {
        return requestReceived;
    }

    /** Returns the time of the last read or answer; safe for any thread. */
    long lastActiveAt() {
        return lastActiveAt;
    }
}
