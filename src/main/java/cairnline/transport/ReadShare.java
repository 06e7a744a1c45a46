package cairnline.transport;

/**
 * The amount that is read from one client in one turn, and whether the client used up its last turn. A client that did so is
 * busy: it is read again only after the other busy clients had their turns, while the others are read as soon as they have
 * sent something (deficit round robin with priority for new flows). Confined to the event loop.
 */
final class ReadShare {
    /** The largest single read of a turn; it bounds how many small messages are handled before the limits are checked. */
    private static final int MAX_READ_BYTES = 4_096;
    private static final int MAX_BUSY_TURN_BYTES = 16_384;
    /** Small, since any number of clients may have such a turn in one round; a usual request fits. */
    private static final int MAX_FIRST_TURN_BYTES = 2_048;
    private static final int MAX_TURN_MESSAGES = 64;

    private long messagesAtStart;
    private int maxTurnBytes = MAX_FIRST_TURN_BYTES;
    private int turnBytes;
    private boolean busy;

    /** Starts a turn of a connection on which this many messages have been received so far. */
    void startTurn(long messageCount) {
        maxTurnBytes = busy ? MAX_BUSY_TURN_BYTES : MAX_FIRST_TURN_BYTES;
        messagesAtStart = messageCount;
        turnBytes = 0;
        busy = false;
    }

    /** Returns the largest number of bytes to read at once. */
    int maxReadBytes() {
        return Math.min(MAX_READ_BYTES, maxTurnBytes);
    }

    /** Counts bytes that were read in this turn. */
    void countBytes(int count) {
        turnBytes += count;
    }

    /** Whether more may be read in this turn; once it may not, the client is busy. */
    boolean mayReadMore(long messageCount) {
        busy = turnBytes >= maxTurnBytes || messageCount - messagesAtStart >= MAX_TURN_MESSAGES;
        return !busy;
    }

    /** Whether the client used up its last turn. */
    boolean isBusy() {
        return busy;
    }
}
