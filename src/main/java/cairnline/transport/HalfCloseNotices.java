package cairnline.transport;

import java.util.function.Supplier;

/**
 * Finds out whether a client that has closed its output still reads. Only a write tells: if the client has closed the connection
 * entirely, it answers with a reset, and the next write fails. So notices that the client may ignore are sent at doubling
 * intervals while requests are open. Confined to the event loop.
 */
final class HalfCloseNotices {
    private static final long FIRST_DELAY_MICROS = 20_000;

    private final EventLoop loop;
    private final TcpConnection connection;
    private final Supplier<byte[]> nextNotice;

    /** Creates notices that are not sent yet; {@code nextNotice} returns null once no more are to be sent. */
    HalfCloseNotices(EventLoop loop, TcpConnection connection, Supplier<byte[]> nextNotice) {
        this.loop = loop;
        this.connection = connection;
        this.nextNotice = nextNotice;
    }

    /** Sends the first notice at once. */
    void start() {
        sendAndRepeat(FIRST_DELAY_MICROS);
    }

    private void sendAndRepeat(long delay) {
        if (nextNotice.get() != null) {
            // Asked for once more when its turn has come: the last answer may be written before.
            connection.enqueue(now -> nextNotice.get());
            loop.schedule(loop.clock().micros() + delay, connection, () -> sendAndRepeat(2 * delay));
        }
    }
}
