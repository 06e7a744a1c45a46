package cairnline.transport;

import cairnline.protocol.ByteQueue;
import cairnline.protocol.ProtocolException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/**
 * The non-blocking connection of one subscription to the control feed: writes the subscription and splits what it receives into
 * lines. Confined to the thread of its {@link FeedClient}.
 */
final class FeedConnection {
    private static final int END_OF_INPUT = -1;

    private final long id;
    private final InetSocketAddress address;
    private final long openedAt;
    private final int maxLineBytes;
    private final boolean collecting;
    private final ByteBuffer subscription;
    private final ByteQueue received = new ByteQueue();
    private SocketChannel channel;
    private SelectionKey key;
    /** Number of the last event that it has told, or that it need not tell. */
    private long lastNumber;
    /** Bytes at the front that hold no line end. */
    private int scannedBytes;

    /**
     * Creates a subscription that is not connected yet.
     *
     * @param openedAt the time of its creation, in microseconds
     * @param lastNumber number of the event after which it starts
     * @param collecting whether it tells the events of a feed whose numbers have begun again, which are collected first
     */
    FeedConnection(long id, InetSocketAddress address, long openedAt, long lastNumber, int maxLineBytes,
                   boolean collecting) {
        this.id = id;
        this.address = address;
        this.openedAt = openedAt;
        this.lastNumber = lastNumber;
        this.maxLineBytes = maxLineBytes;
        this.collecting = collecting;
        this.subscription = ByteBuffer.wrap(("SUB " + lastNumber + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    long id() {
        return id;
    }

    long openedAt() {
        return openedAt;
    }

    boolean isCollecting() {
        return collecting;
    }

    long lastNumber() {
        return lastNumber;
    }

    /** Records that it has told this event, and so all before it. */
    void toldEvent(long number) {
        lastNumber = Math.max(lastNumber, number);
    }

    /** Starts to connect; returns whether the connection is established already. */
    boolean connect(Selector selector) throws IOException {
        if (address.isUnresolved()) {
            throw new UnknownHostException(address.getHostString());
        }
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        boolean connected = channel.connect(address);
        key = channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
        return connected;
    }

    /** Completes the connection, if it is ready for that; returns whether it was established by this call. */
    boolean finishConnect() throws IOException {
        return key.isConnectable() && channel.finishConnect();
    }

    /** Writes as much of the subscription as the connection takes, and waits for the rest and for lines. */
    void writeSubscription() throws IOException {
        channel.write(subscription);
        key.interestOps(SelectionKey.OP_READ | (subscription.hasRemaining() ? SelectionKey.OP_WRITE : 0));
    }

    /** Whether it is ready to take more of the subscription. */
    boolean mayWrite() {
        return key.isValid() && key.isWritable();
    }

    /** Reads what has arrived, up to the size of the buffer; returns the number of bytes. Throws at the end of the input. */
    int read(ByteBuffer buffer) throws IOException {
        if (!key.isReadable()) {
            return 0;
        }
        int count = channel.read(buffer.clear());
        if (count == END_OF_INPUT) {
            throw new IOException("connection closed by the feed");
        }
        // Other negative results mean an interrupted call.
        if (count > 0) {
            received.feed(buffer.array(), 0, count);
        }
        return Math.max(0, count);
    }

    /** Removes and returns the next line without its end; null if none is complete. Throws if a line is too long. */
    byte[] takeLine() {
        int lineEnd = received.indexOf('\n', scannedBytes);
        if (lineEnd < 0) {
            scannedBytes = received.size();
            if (scannedBytes > maxLineBytes) {
                throw new ProtocolException("line longer than " + maxLineBytes + " bytes");
            }
            return null;
        }
        byte[] line = received.take(lineEnd);
        received.skip(1);
        scannedBytes = 0;
        return line;
    }

    void close() {
        if (channel != null) {
            Threads.close(channel);
        }
    }

    @Override
    public String toString() {
        return address.toString();
    }
}
