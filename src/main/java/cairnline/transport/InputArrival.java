package cairnline.transport;

/**
 * When the bytes that wait in a connection's socket can have arrived at the earliest. All times are microseconds on the loop's
 * clock. Confined to the event loop.
 */
final class InputArrival {
    /** Since when received bytes may have waited in the socket; 0 if the socket was read empty. */
    private long unreadSince;
    /** When the socket was last read empty. */
    private long readEmptyAt;

    /** Records that bytes may have waited since this time, unless some may have waited for longer. */
    void assumeUnreadSince(long time) {
        unreadSince = unreadSince > 0 ? unreadSince : time;
    }

    /** Returns when the next bytes can have arrived at the earliest; {@code loopArrival} is {@link EventLoop#earliestArrival}. */
    long earliest(long loopArrival) {
        return unreadSince > 0 ? unreadSince : loopArrival;
    }

    /** Records the result of a read that began at {@code readAt}; a count of 0 alone shows that the socket was empty then. */
    void onRead(int count, long readAt, long receivedAt) {
        unreadSince = count == 0 ? 0 : receivedAt;
        readEmptyAt = count == 0 ? readAt : readEmptyAt;
    }

    /** Returns how long bytes may have waited in the socket; {@code loopArrival} is {@link EventLoop#earliestArrival}. */
    long age(long now, long loopArrival) {
        return now - earliest(Math.max(readEmptyAt, loopArrival));
    }
}
