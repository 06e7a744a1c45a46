package cairnline.transport;

import cairnline.routing.Clock;
import cairnline.routing.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One TCP connection on an {@link EventLoop}: it reads for its handler and writes letters in the order left. Other threads
 * only leave letters; they never wait. A peer that takes nothing is not read any more once many letters wait for it, so
 * that what is held for it stays bounded.
 */
final class Peer implements EventLoop.Handler {
    /** So many letters may wait before the peer is not read any more. */
    private static final int LETTERS_BEFORE_PAUSE = 64;
    /** Reads of one connection before others are served again. */
    private static final int READS_PER_ROUND = 8;
    /** What a channel's read gives at the end; other numbers below 0 stand for a call that was interrupted. */
    private static final int END_OF_INPUT = -1;

    private final EventLoop loop;
    private final Limits limits;
    private final Clock clock;
    private final Handler handler;
    private final Queue<Letter> letters = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicBoolean flushScheduled = new AtomicBoolean();
    private volatile boolean over;
    private volatile boolean finishing;
    private volatile String cause = "closed here";
    private volatile String address = "";

    /* Only the loop's thread touches what follows. */
    private SocketChannel channel;
    private SelectionKey key;
    private EventLoop.Timer timer;
    private boolean up;
    /** What is being written, and its letter; null between letters. */
    private ByteBuffer current;
    private Letter currentLetter;
    /** Since when the peer has taken nothing of {@link #current}; 0 if nothing waits. */
    private long stalledSince;
    private long lastRead;
    /** Since when bytes may have waited unread; 0 if all that had come was read. */
    private long unreadSince;
    private boolean inputEnded;
    private boolean inputIgnored;
    private long ignoredBytes;
    /** When a connection whose output has been ended is closed; never before. */
    private long lingerUntil = Long.MAX_VALUE;

    /** What is done with a connection; all on the loop's thread. */
    interface Handler {
        /** Bytes have come, no earlier than at this time. */
        void read(byte[] bytes, int count, long arrivedAt);

        /** When {@link #quiet} is asked next, if the last bytes came then; microseconds. */
        long due(long lastRead);

        /** That time has come; the connection ends if this gives false. */
        boolean quiet(long now);

        /** Whether nothing is open: an end of the connection then proves that a letter not yet written never ran. */
        default boolean isQuiescent() {
            return false;
        }

        /** The connection did not come up, for this reason; {@link #ended} is told next. */
        default void unreachable(IOException why) { }

        /** The other side sends no more, since this time at the earliest, but may still read; ends if this gives false. */
        default boolean inputEnded(long since) {
            return false;
        }

        /** The connection is over, or never came up; told once. */
        void ended(boolean wasUp);
    }

    /** Something to write. */
    interface Letter {
        /** Its bytes, made when its turn has come; null if by then there is nothing to be written. */
        byte[] bytes(long now);

        /** Whether the rest of it may follow after the peer has taken a part only; else the connection ends. */
        default boolean isWanted() {
            return true;
        }
    }

    private Peer(EventLoop loop, Limits limits, Handler handler) {
        this.loop = loop;
        this.limits = limits;
        this.clock = loop.clock();
        this.handler = handler;
    }

    /** A connection that is up, not served before {@link #start}. */
    static Peer accepted(EventLoop loop, SocketChannel channel, Limits limits, Handler handler) {
        Peer peer = new Peer(loop, limits, handler);
        peer.channel = channel;
        return peer;
    }

    /** A connection that is being made; letters wait until it is up. Its handler may hear of its end at any time. */
    static Peer connecting(EventLoop loop, Limits limits, Handler handler) {
        return new Peer(loop, limits, handler);
    }

    /** Serves an accepted connection, whose first bytes may have come since this time; on the loop's thread. */
    void start(long since) throws IOException {
        unreadSince = since;
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        address = String.valueOf(channel.getRemoteAddress());
        key = loop.register(channel, SelectionKey.OP_READ, this);
        cameUp();
    }

    /** Connects; any thread may call. */
    void connect(InetSocketAddress to) {
        address = String.valueOf(to);
        loop.execute(() -> {
            if (over) {
                return;
            }
            try {
                connectNow(to);
            } catch (IOException e) {
                unreachable(e);
            }
        });
    }

    private void connectNow(InetSocketAddress to) throws IOException {
        if (to.isUnresolved()) {
            throw new UnknownHostException(to.getHostString());
        }
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        boolean connected = channel.connect(to);
        key = loop.register(channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
        if (connected) {
            cameUp();
        } else {
            timer = loop.schedule(clock.micros() + limits.connections().connectTimeout(), this,
                    () -> unreachable(new SocketTimeoutException("no connection in time")));
        }
    }

    private void unreachable(IOException why) {
        if (!over) {
            cause = "not reached: " + why.getMessage();
            handler.unreachable(why);
        }
        end();
    }

    private void cameUp() {
        up = true;
        lastRead = clock.micros();
        loop.cancel(timer);
        timer = null;
        rearm();
        flush();
    }

    /** The other side's address. */
    String address() {
        return address;
    }

    /** Why the connection ended, in words. */
    String cause() {
        return cause;
    }

    /** Leaves a letter unless the connection is over or too many wait. */
    boolean ask(Letter letter) {
        if (waiting.get() >= limits.connections().mailbox()) {
            return false;
        }
        return offer(letter);
    }

    /** Leaves a letter; false if the connection is over. */
    boolean offer(Letter letter) {
        if (over) {
            return false;
        }
        waiting.incrementAndGet();
        letters.add(letter);
        scheduleFlush();
        return true;
    }

    /** Leaves bytes to be written. */
    void send(byte[] bytes) {
        offer(now -> bytes);
    }

    /** Whether all that was left has been handed to the system. */
    boolean isFlushed() {
        return waiting.get() == 0;
    }

    /** Ends the output once all that was left is written, and the connection once the peer has ended it too. */
    void finish() {
        finishing = true;
        scheduleFlush();
    }

    /** What comes from now on is dropped; on the loop's thread. */
    void ignoreInput() {
        inputIgnored = true;
    }

    /** Ends the connection; its handler hears of it on the loop's thread. */
    void close() {
        loop.execute(this::end);
    }

    /** Ends the connection now, for this reason; on the loop's thread. */
    void closeNow(String why) {
        cause = why;
        end();
    }

    /** Refuses a connection that was not started: as much as fits is written, and it is closed. */
    static void turnAway(SocketChannel channel, byte[] bytes) {
        try {
            channel.configureBlocking(false);
            channel.write(ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // It has left already.
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
    public void ready(SelectionKey ready) {
        if (ready.isConnectable()) {
            finishConnect();
            return;
        }
        if (ready.isWritable()) {
            flush();
        }
        if (!over && ready.isReadable()) {
            for (int i = 0; i < READS_PER_ROUND && readNow(); i++) {
                // A short read is no proof that there is no more.
            }
            rearm();
        }
    }

    @Override
    public void failed(Throwable failure) {
        cause = "failed: " + failure;
        end();
    }

    private void finishConnect() {
        try {
            channel.finishConnect();
        } catch (IOException e) {
            unreachable(e);
            return;
        }
        cameUp();
    }

    /** Reads once; false if nothing was there, which alone proves that all that had come was read. On the loop's thread. */
    boolean readNow() {
        if (over || !up || inputEnded) {
            return false;
        }
        long arrivedAt = unreadSince > 0 ? unreadSince : loop.arrivedSince();
        ByteBuffer buffer = loop.readBuffer();
        int count;
        try {
            count = channel.read(buffer);
        } catch (IOException e) {
            cause = "read failed: " + e.getMessage();
            end();
            return false;
        }
        unreadSince = count == 0 ? 0 : arrivedAt;
        if (count == END_OF_INPUT) {
            endOfInput(arrivedAt);
        } else if (count > 0) {
            take(buffer.array(), count, arrivedAt);
        }
        return count != 0 && !over && !inputEnded;
    }

    private void take(byte[] bytes, int count, long arrivedAt) {
        if (inputIgnored || lingerUntil < Long.MAX_VALUE) {
            ignoredBytes += count;
            updateInterest();
            return;
        }
        lastRead = clock.micros();
        handler.read(bytes, count, arrivedAt);
    }

    private void endOfInput(long since) {
        inputEnded = true;
        if (lingerUntil < Long.MAX_VALUE) {
            cause = "ended by both sides";
            end();
        } else if (finishing || handler.inputEnded(since)) {
            updateInterest();
        } else {
            cause = "end of input";
            end();
        }
    }

    /** Writes as much as the system takes; on the loop's thread. */
    private void flush() {
        if (over || !up) {
            return;
        }
        try {
            while (nextLetter()) {
                if (stalledSince > 0 && !currentLetter.isWanted()) {
                    closeNow("given up while a part of it was written");
                    return;
                }
                channel.write(current);
                if (current.hasRemaining()) {
                    stalledSince = stalledSince == 0 ? clock.micros() : stalledSince;
                    break;
                }
                current = null;
                stalledSince = 0;
                waiting.decrementAndGet();
            }
            if (finishing && current == null && !over && lingerUntil == Long.MAX_VALUE) {
                endOutput();
            }
        } catch (IOException e) {
            cause = "write failed: " + e.getMessage();
            end();
        }
        if (!over) {
            updateInterest();
            rearm();
        }
    }

    /** Whether there is something to write; makes the next letter's bytes where none are left. */
    private boolean nextLetter() {
        while (!over && current == null) {
            if (letters.isEmpty() || handler.isQuiescent() && !stillUp()) {
                return false;
            }
            currentLetter = letters.poll();
            byte[] bytes = bytesOf(currentLetter);
            if (bytes == null) {
                waiting.decrementAndGet();
            } else {
                current = ByteBuffer.wrap(bytes);
            }
        }
        return !over;
    }

    /** One bad letter must not end the connection, and with it all that is open there. */
    private byte[] bytesOf(Letter letter) {
        try {
            return letter.bytes(clock.micros());
        } catch (RuntimeException | OutOfMemoryError e) {
            EventLoop.report(e);
            return null;
        }
    }

    /** Looks for the end of a connection on which nothing is open, which proves that what is not written never ran. */
    private boolean stillUp() {
        readNow();
        return !over;
    }

    private void endOutput() throws IOException {
        channel.shutdownOutput();
        lingerUntil = clock.micros() + limits.connections().linger();
        if (inputEnded) {
            cause = "ended by both sides";
            end();
        }
    }

    private void updateInterest() {
        if (over || !up) {
            return;
        }
        boolean paused = waiting.get() > LETTERS_BEFORE_PAUSE && current != null;
        boolean reads = !inputEnded && !paused && ignoredBytes <= limits.connections().ignoredBytes();
        if (!reads && unreadSince == 0) {
            unreadSince = clock.micros();
        }
        int operations = (reads ? SelectionKey.OP_READ : 0) | (current != null ? SelectionKey.OP_WRITE : 0);
        if (key.interestOps() != operations) {
            key.interestOps(operations);
        }
    }

    /** Sets the timer to when this connection must be looked at, if that is earlier than it is set. */
    private void rearm() {
        if (over || !up) {
            return;
        }
        long due = due();
        if (timer != null && timer.due() <= due) {
            return;
        }
        loop.cancel(timer);
        timer = due == Long.MAX_VALUE ? null : loop.schedule(due, this, this::timedOut);
    }

    private long due() {
        long stalled = stalledSince == 0 ? Long.MAX_VALUE : stalledSince + limits.connections().writeStallTimeout();
        long asked = finishing ? lingerUntil : handler.due(lastRead);
        return Math.min(stalled, asked);
    }

    private void timedOut() {
        timer = null;
        // What the system holds unread counts as come in time, where it is used at all.
        boolean hasCome = !inputIgnored && !finishing && readNow();
        if (!hasCome && !over && clock.micros() >= due()) {
            lookAgain(clock.micros());
        }
        rearm();
    }

    private void lookAgain(long now) {
        if (stalledSince > 0 && now - stalledSince >= limits.connections().writeStallTimeout()) {
            closeNow("it takes nothing");
        } else if (now >= lingerUntil) {
            closeNow("not ended by the other side in time");
        } else if (!handler.quiet(now)) {
            closeNow("idle or silent");
        } else {
            lastRead = now;
        }
    }

    private void end() {
        if (over) {
            return;
        }
        over = true;
        loop.cancel(timer);
        if (key != null) {
            key.cancel();
        }
        if (channel != null) {
            Threads.close(channel);
        }
        letters.clear();
        handler.ended(up);
    }
}
