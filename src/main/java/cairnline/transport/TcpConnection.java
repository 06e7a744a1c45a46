package cairnline.transport;

import cairnline.pools.MemoryBudget;
import cairnline.routing.Clock;
import cairnline.routing.Limits;
import cairnline.transport.OutboundQueue.OutboundMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One TCP connection on an {@link EventLoop}. It passes received bytes to its handler and writes outbound messages in the
 * order in which they were enqueued. Any thread may enqueue a message and never blocks. Reading pauses while the peer does
 * not read and many messages wait for it, so that the memory held for one peer stays bounded.
 */
final class TcpConnection implements EventLoop.Handler {
    /** Reading pauses while more messages than this wait for a peer that does not read. */
    private static final int READ_PAUSE_THRESHOLD_MESSAGES = 64;
    /** Size of a read while the memory for unsent messages is exhausted, since the answers to what is read add to it. */
    private static final int REDUCED_READ_BYTES = 1_024;
    /** Keep one busy connection from starving the others on the loop; a read may hold more than a hundred small messages. */
    private static final int MAX_READS_PER_ROUND = 8;
    private static final int MAX_MESSAGES_PER_ROUND = 64;
    /** How much {@link #confirmInputRead} reads at most: more than all requests that one client may have open, and their ends. */
    private static final int MAX_CATCH_UP_READS = 512;
    private static final int MAX_CATCH_UP_MESSAGES = 128;
    /** Keeps one large message to a peer that reads fast from starving the other connections on the loop. */
    private static final int MAX_PARTIAL_WRITES_PER_ROUND = 8;
    /** How recently a socket must have been read empty for {@link #confirmInputRead} to skip it. */
    private static final long MAX_INPUT_AGE_MICROS = 10_000;
    /** How long input may have waited in the socket for {@link #confirmInputRead} to vouch for the peer. */
    private static final long MAX_UNREAD_MICROS = 80_000;
    /** Result of a channel's read at the end of the input; other negative results mean an interrupted call. */
    private static final int END_OF_INPUT = -1;

    private final EventLoop loop;
    private final Limits limits;
    private final Clock clock;
    private final Handler handler;
    private final MemoryBudget unsentBudget;
    private final OutboundQueue outbound;
    private final AtomicBoolean flushScheduled = new AtomicBoolean();
    /** The share of a client, whose input must not delay that of others; null for connections to engines. */
    private final ReadShare readShare;
    private volatile boolean closed;
    private volatile boolean finishingOutput;
    private volatile String closeCause = "closed locally";
    private volatile String address = "";

    /* The fields below are confined to the loop's thread. */
    private SocketChannel channel;
    private SelectionKey key;
    private EventLoop.Timer timer;
    private boolean connected;
    private long lastReadAt;
    private final InputArrival inputArrival = new InputArrival();
    private boolean inputClosed;
    private boolean inputIgnored;
    private long ignoredBytes;
    /** Runs once the socket has been read empty; null without. */
    private Runnable whenReadEmpty;
    /** When to close a connection whose output is shut down; {@code Long.MAX_VALUE} while the output is open. */
    private long lingerUntil = Long.MAX_VALUE;

    /** Receives the events of a connection, all on the loop's thread. */
    interface Handler {
        /**
         * Handles received bytes. {@code bytes} is reused after the call; {@code receivedAt} is the earliest time at which
         * they can have arrived, in microseconds.
         */
        void onRead(byte[] bytes, int count, long receivedAt);

        /** Returns when to call {@link #onTimeout} next, given the time of the last read; microseconds. */
        long timeoutAt(long lastReadAt);

        /** Handles the timeout of {@link #timeoutAt}; returns false to close the connection. */
        boolean onTimeout(long now);

        /**
         * Whether nothing written to the peer awaits an answer. If a connection in that state turns out to be closed, the
         * messages not written yet have certainly not been executed.
         */
        default boolean isQuiescent() {
            return false;
        }

        /** Returns how many messages have been received in all, so that the messages of one round can be limited. */
        default long messageCount() {
            return 0;
        }

        /** Whether to read more from the peer now; asked again after {@link TcpConnection#updateReading}. */
        default boolean mayRead() {
            return true;
        }

        /** Handles a failure to connect; {@link #onClosed} follows. */
        default void onUnreachable(IOException cause) { }

        /**
         * Handles the end of the input, which came at {@code since} at the earliest; the peer may still read. Returns false
         * to close the connection.
         */
        default boolean onInputClosed(long since) {
            return false;
        }

        /** Handles the end of the connection, or of the attempt to connect; called once. */
        void onClosed(boolean wasConnected);
    }

    private TcpConnection(EventLoop loop, Limits limits, MemoryBudget unsentBudget, ReadShare readShare, Handler handler) {
        this.loop = loop;
        this.readShare = readShare;
        this.limits = limits;
        this.unsentBudget = unsentBudget;
        this.outbound = new OutboundQueue(unsentBudget);
        this.clock = loop.clock();
        this.handler = handler;
    }

    /**
     * Wraps an accepted channel; nothing is read or written before {@link #start}. The messages that wait to be written count
     * against {@code unsentBudget}.
     */
    static TcpConnection forAcceptedChannel(EventLoop loop, SocketChannel channel, Limits limits, MemoryBudget unsentBudget,
                                            Handler handler) {
        TcpConnection connection = new TcpConnection(loop, limits, unsentBudget, new ReadShare(), handler);
        connection.channel = channel;
        return connection;
    }

    /**
     * Creates a connection for {@link #connect}; messages wait until it is connected. Its handler may be notified of its end
     * at any time. The messages that wait to be written count against {@code unsentBudget}.
     */
    static TcpConnection unconnected(EventLoop loop, Limits limits, MemoryBudget unsentBudget, Handler handler) {
        return new TcpConnection(loop, limits, unsentBudget, null, handler);
    }

    /** Starts an accepted connection, whose first bytes may have arrived since {@code arrivedSince}; on the loop's thread. */
    void start(long arrivedSince) throws IOException {
        inputArrival.assumeUnreadSince(arrivedSince);
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        address = String.valueOf(channel.getRemoteAddress());
        key = loop.register(channel, SelectionKey.OP_READ, this);
        onConnected();
    }

    /** Connects without blocking; safe for any thread. */
    void connect(InetSocketAddress remote) {
        address = String.valueOf(remote);
        loop.execute(() -> {
            if (closed) {
                return;
            }
            try {
                connectNow(remote);
            } catch (IOException e) {
                failConnect(e);
            }
        });
    }

    private void connectNow(InetSocketAddress remote) throws IOException {
        if (remote.isUnresolved()) {
            throw new UnknownHostException(remote.getHostString());
        }
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        boolean connectedAtOnce = channel.connect(remote);
        key = loop.register(channel, connectedAtOnce ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
        if (connectedAtOnce) {
            onConnected();
        } else {
            timer = loop.schedule(clock.micros() + limits.connections().connectTimeout(), this,
                    () -> failConnect(new SocketTimeoutException("connect timed out")));
        }
    }

    private void failConnect(IOException failure) {
        if (!closed) {
            closeCause = "connect failed: " + failure.getMessage();
            handler.onUnreachable(failure);
        }
        tearDown();
    }

    private void onConnected() {
        connected = true;
        lastReadAt = clock.micros();
        loop.cancel(timer);
        timer = null;
        rearmTimer();
        flush();
    }

    /** Returns the peer's address as text; empty before it is known. */
    String address() {
        return address;
    }

    /** Returns why the connection was closed, as text for log lines. */
    String closeCause() {
        return closeCause;
    }

    /** Enqueues a message; false if the connection is closed or its mailbox is full. */
    boolean enqueueIfRoom(OutboundMessage message) {
        if (outbound.pendingCount() >= limits.connections().mailbox()) {
            return false;
        }
        return enqueue(message);
    }

    /** Enqueues a message regardless of the mailbox limit; false if the connection is closed. */
    boolean enqueue(OutboundMessage message) {
        if (closed) {
            return false;
        }
        outbound.add(message);
        scheduleFlush();
        return true;
    }

    /** Enqueues bytes regardless of the mailbox limit. */
    void send(byte[] bytes) {
        enqueue(OutboundMessage.of(bytes));
    }

    /** Withdraws a message if its turn to be written has not come yet, since it would hold its memory until then. */
    void withdraw(OutboundMessage message) {
        outbound.remove(message);
    }

    /**
     * Whether a message of this size may wait for the peer. It always may while the budget has room. Beyond that, only a
     * message of the size of one result may, and only if the peer accepts what it is sent. Safe for any thread.
     */
    boolean mayWait(long bytes) {
        return !unsentBudget.isExceeded() || outbound.blockedSince() == 0 && bytes <= limits.engines().resultBytes();
    }

    /** Whether all enqueued messages have been passed to the operating system. */
    boolean isFlushed() {
        return outbound.pendingCount() == 0;
    }

    /**
     * Shuts the output down once all enqueued messages are written, and closes the connection once the peer has shut its
     * output down too, or after the linger time.
     */
    void finishOutput() {
        finishingOutput = true;
        scheduleFlush();
    }

    /** Drops all input from now on; on the loop's thread. */
    void ignoreInput() {
        inputIgnored = true;
    }

    /** Asks the handler again whether to read; on the loop's thread. */
    void updateReading() {
        updateInterestOps();
    }

    /** Closes the connection; its handler is notified on the loop's thread. Safe for any thread. */
    void close() {
        loop.execute(this::tearDown);
    }

    /** Closes the connection at once, with a cause for log lines; on the loop's thread. */
    void closeNow(String reason) {
        closeCause = reason;
        tearDown();
    }

    /** Closes a channel that was not started, after writing as much of the bytes as the socket buffer takes. */
    static void reject(SocketChannel channel, byte[] bytes) {
        try {
            channel.configureBlocking(false);
            channel.write(ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // The client has already disconnected.
        }
        Threads.close(channel);
    }

    private void scheduleFlush() {
        if (flushScheduled.compareAndSet(false, true)) {
            loop.execute(() -> {
                flushScheduled.set(false);
                flush();
            });
        }
    }

    @Override
    public void onReady(SelectionKey readyKey) {
        if (readyKey.isConnectable()) {
            finishConnect();
            return;
        }
        if (readyKey.isWritable()) {
            flush();
        }
        if (!closed && readyKey.isReadable()) {
            if (isBusy()) {
                inputArrival.assumeUnreadSince(loop.earliestArrival());
                loop.awaitTurn(this);
                updateInterestOps();
            } else {
                readInTurn();
            }
        }
    }

    @Override
    public void onTurn() {
        if (!closed && connected && (whenReadEmpty != null || mayRead())) {
            readInTurn();
        }
    }

    /** Reads the part of the input that this connection may read in one turn. */
    private void readInTurn() {
        if (readShare == null) {
            readUpTo(MAX_READS_PER_ROUND, MAX_MESSAGES_PER_ROUND);
        } else {
            readShare();
        }
        flush();
    }

    private void readShare() {
        boolean mayHoldMore = true;
        readShare.startTurn(handler.messageCount());
        while (mayHoldMore && readShare.mayReadMore(handler.messageCount())) {
            mayHoldMore = (whenReadEmpty != null || !isBacklogged()) && readNow();
        }
        if (whenReadEmpty == null) {
            return;
        }
        if (mayHoldMore) {
            loop.awaitTurn(this);
        } else {
            Runnable task = whenReadEmpty;
            whenReadEmpty = null;
            task.run();
        }
    }

    /** Whether this is a client that has sent more than its share, so that input may wait in the socket. */
    boolean isBusy() {
        return readShare != null && readShare.isBusy();
    }

    /**
     * Reads, in turns with the other clients, until the socket is empty, also while reading pauses; then runs the task. For
     * connections of clients, on the loop's thread.
     */
    void readUntilEmpty(Runnable task) {
        whenReadEmpty = task;
        loop.awaitTurn(this);
    }

    @Override
    public void onFailure(Throwable failure) {
        closeCause = "internal error: " + failure;
        tearDown();
    }

    private void finishConnect() {
        try {
            channel.finishConnect();
        } catch (IOException e) {
            failConnect(e);
            return;
        }
        onConnected();
    }

    /**
     * Reads once. Returns false if there was nothing to read, which alone shows that the socket is empty, or if no further
     * read is possible. On the loop's thread.
     */
    boolean readNow() {
        if (closed || !connected || inputClosed) {
            return false;
        }
        long receivedAt = inputArrival.earliest(loop.earliestArrival());
        long readAt = clock.micros();
        ByteBuffer buffer = loop.readBuffer();
        if (unsentBudget.isExceeded()) {
            buffer.limit(REDUCED_READ_BYTES);
        } else if (readShare != null) {
            buffer.limit(readShare.maxReadBytes());
        }
        int count;
        try {
            count = channel.read(buffer);
        } catch (IOException e) {
            closeCause = "read failed: " + e.getMessage();
            tearDown();
            return false;
        }
        inputArrival.onRead(count, readAt, receivedAt);
        if (count == END_OF_INPUT) {
            handleEndOfInput(receivedAt);
        } else if (count > 0) {
            if (readShare != null) {
                readShare.countBytes(count);
            }
            deliver(buffer.array(), count, receivedAt);
        }
        return count != 0 && !closed && !inputClosed;
    }

    /**
     * Reads what the peer has sent, unless the socket was known to be empty very recently: after a long round of the loop, much
     * may have arrived that the loop has not come to. Nothing is read from a busy peer, which has to wait for its turn.
     *
     * @return false if input has waited in the socket for so long that the peer may have closed or cancelled behind it; true on
     *     another thread than the loop's, where nothing is read
     */
    boolean confirmInputRead() {
        if (!loop.isCurrentThread() || inputAge() <= MAX_INPUT_AGE_MICROS) {
            return true;
        }
        if (!isBusy()) {
            // A failure closes this connection, and not the one whose message waits for this check.
            EventLoop.runGuarded(this, this::catchUp);
        }
        return closed || inputClosed || isBacklogged() || inputAge() <= MAX_UNREAD_MICROS;
    }

    private void catchUp() {
        if (readShare != null) {
            readShare.startTurn(handler.messageCount());
        }
        readUpTo(MAX_CATCH_UP_READS, MAX_CATCH_UP_MESSAGES);
        if (readShare != null) {
            readShare.mayReadMore(handler.messageCount());
        }
    }

    /** Returns how long received bytes may have waited in the socket, in microseconds. */
    private long inputAge() {
        return inputArrival.age(clock.micros(), loop.earliestArrival());
    }

    /** Reads until the socket is empty or one of the limits is reached; a short read does not show that it is empty. */
    private void readUpTo(int maxReads, int maxMessages) {
        long messagesBefore = handler.messageCount();
        for (int i = 0; i < maxReads && handler.messageCount() - messagesBefore < maxMessages; i++) {
            if (isBacklogged() || !readNow()) {
                return;
            }
        }
    }

    private void deliver(byte[] bytes, int count, long receivedAt) {
        if (inputIgnored || lingerUntil < Long.MAX_VALUE) {
            ignoredBytes += count;
            updateInterestOps();
            return;
        }
        lastReadAt = clock.micros();
        handler.onRead(bytes, count, receivedAt);
    }

    private void handleEndOfInput(long since) {
        inputClosed = true;
        if (lingerUntil < Long.MAX_VALUE) {
            closeCause = "closed by both sides";
            tearDown();
        } else if (finishingOutput || handler.onInputClosed(since)) {
            updateInterestOps();
        } else {
            closeCause = "closed by the peer";
            tearDown();
        }
    }

    /** Writes as much as the socket buffer takes; on the loop's thread. */
    private void flush() {
        if (closed || !connected) {
            return;
        }
        try {
            int partialWrites = 0;
            while (partialWrites < MAX_PARTIAL_WRITES_PER_ROUND && prepareNextMessage()) {
                if (outbound.isBlockedMessageUnwanted()) {
                    closeNow("message abandoned while partially written");
                    return;
                }
                if (!outbound.write(channel, clock.micros())) {
                    break;
                }
                partialWrites += outbound.isWriting() ? 1 : 0;
            }
            if (finishingOutput && !outbound.isWriting() && !closed && lingerUntil == Long.MAX_VALUE) {
                shutdownOutput();
            }
        } catch (IOException e) {
            closeCause = "write failed: " + e.getMessage();
            tearDown();
        }
        if (!closed) {
            updateInterestOps();
            rearmTimer();
        }
    }

    /** Encodes the next message if none is being written; returns whether there are bytes to write. */
    private boolean prepareNextMessage() {
        while (!closed && !outbound.isWriting()) {
            if (outbound.isEmpty() || handler.isQuiescent() && !checkStillOpen()) {
                return false;
            }
            outbound.encodeNext(clock.micros());
        }
        return !closed;
    }

    /**
     * Checks, before the next message is written, whether the peer has closed a connection on which nothing is in flight. The
     * messages not written yet have certainly not been executed then.
     */
    private boolean checkStillOpen() {
        readNow();
        return !closed;
    }

    private void shutdownOutput() throws IOException {
        channel.shutdownOutput();
        lingerUntil = clock.micros() + limits.connections().linger();
        if (inputClosed) {
            closeCause = "closed by both sides";
            tearDown();
        }
    }

    private void updateInterestOps() {
        if (closed || !connected) {
            return;
        }
        boolean reading = mayRead() && !loop.isWaitingForTurn(this);
        if (!reading) {
            inputArrival.assumeUnreadSince(clock.micros());
        }
        int operations = (reading ? SelectionKey.OP_READ : 0) | (outbound.isWriting() ? SelectionKey.OP_WRITE : 0);
        if (key.interestOps() != operations) {
            key.interestOps(operations);
        }
    }

    private boolean mayRead() {
        return !inputClosed && !isBacklogged() && handler.mayRead() && ignoredBytes <= limits.connections().ignoredBytes();
    }

    /** Whether the peer does not read, and too much waits for it to read more from it. */
    private boolean isBacklogged() {
        return outbound.isWriting()
                && (outbound.pendingCount() > READ_PAUSE_THRESHOLD_MESSAGES || unsentBudget.isExceeded());
    }

    /** Moves the timer to the next timeout if that is earlier than its present time. */
    private void rearmTimer() {
        if (closed || !connected) {
            return;
        }
        long timeoutAt = nextTimeoutAt();
        if (timer != null && timer.dueAt() <= timeoutAt) {
            return;
        }
        loop.cancel(timer);
        timer = timeoutAt == Long.MAX_VALUE ? null : loop.schedule(timeoutAt, this, this::onTimer);
    }

    private long nextTimeoutAt() {
        long writeStallAt = outbound.blockedSince() == 0 ? Long.MAX_VALUE
                : outbound.blockedSince() + limits.connections().writeStallTimeout();
        long waitUntil = finishingOutput ? lingerUntil : handler.timeoutAt(lastReadAt);
        return Math.min(writeStallAt, waitUntil);
    }

    private void onTimer() {
        timer = null;
        // Bytes that still wait in the socket count as received in time, unless the input is ignored.
        boolean received = !inputIgnored && !finishingOutput && (loop.isWaitingForTurn(this) || readNow());
        if (!received && !closed && clock.micros() >= nextTimeoutAt()) {
            handleTimeout(clock.micros());
        }
        rearmTimer();
    }

    private void handleTimeout(long now) {
        if (outbound.blockedSince() > 0 && now - outbound.blockedSince() >= limits.connections().writeStallTimeout()) {
            closeNow("write timed out: peer does not read");
        } else if (now >= lingerUntil) {
            closeNow("peer did not close its side in time");
        } else if (!handler.onTimeout(now)) {
            closeNow("idle or unresponsive");
        } else {
            lastReadAt = now;
        }
    }

    private void tearDown() {
        if (closed) {
            return;
        }
        closed = true;
        loop.cancel(timer);
        if (key != null) {
            key.cancel();
        }
        if (channel != null) {
            Threads.close(channel);
        }
        outbound.close();
        handler.onClosed(connected);
    }
}
