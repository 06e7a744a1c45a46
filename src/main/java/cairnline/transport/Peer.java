package cairnline.transport;

import cairnline.routing.Clock;
import cairnline.routing.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * One connection: a thread that reads it, and an outbox for what is written. Nobody but the threads of these two waits
 * for the peer. Where nothing is to be read until something more has been asked, no thread waits at all: hundreds of
 * programs with a connection to each of hundreds of engines would have more threads than a machine gives.
 */
final class Peer {
    private static final int READ_SIZE = 8192;
    /** What can have come on a connection on which nothing is open: a second copy, or an answer to what was given up. */
    private static final int EARLY_SIZE = 2048;

    private final Socket socket;
    private final Limits limits;
    private final Clock clock;
    private final String name;
    private final Outbox outbox;
    private volatile long writingSince;
    /** Once this side has said its last; never before. */
    private volatile long lingerUntil = Long.MAX_VALUE;
    /** It will say its last as soon as that can leave; the handler is asked no more. */
    private volatile boolean finishing;
    /** Why it ended, in words. */
    private volatile String cause = "end of input";
    /** Whether a thread reads it. */
    private boolean reading;
    /** It has come up and was not read yet; the outbox's, as what came while nobody read. */
    private boolean fresh;
    private ByteBuffer early = ByteBuffer.allocate(0);

    /** What is done with a peer's bytes. */
    interface Handler {
        /** Bytes have come; on the reading thread. */
        void read(byte[] bytes, int count, long now);

        /** When it is asked next whether the connection goes on, if the last bytes came then. */
        long due(long lastRead);

        /** That time has come; the connection ends if this gives false. */
        boolean quiet(long now);

        /** Whether nothing is to be read before more is asked; the reading thread then ends, until {@link #ask}. */
        default boolean rests() {
            return false;
        }

        /** The connection did not come up, for this reason; its end is told next. */
        default void unreachable(IOException why) { }

        /** The connection is over, or never came up; called once. Gives what is to be said last, or null. */
        byte[] ended(boolean wasUp);
    }

    /** Something to write, made when its turn has come; null if by then there is nothing to be written. */
    interface Letter {
        byte[] bytes(long now);
    }

    Peer(String name, Socket socket, Limits limits, Clock clock) {
        this.name = name;
        this.socket = socket;
        this.limits = limits;
        this.clock = clock;
        this.outbox = new Outbox(limits.peerMailbox(), Threads.shared(limits.peerStack()));
    }

    /** Serves a connection that is up. */
    void start(Handler handler) {
        synchronized (this) {
            reading = true;
        }
        Threads.start(name, limits.peerStack(), () -> read(handler));
    }

    /** Connects first; letters wait for that. */
    void connect(InetSocketAddress address, Handler handler) {
        outbox.offer(() -> {
            try {
                socket.connect(address, (int) Clock.toMillis(limits.connect()));
                socket.setTcpNoDelay(true);
                fresh = true;
            } catch (IOException e) {
                handler.unreachable(e);
                handler.ended(false);
                close();
            }
        });
    }

    /**
     * Leaves a letter that is to be answered: the connection is read again before it is written. False if the mailbox is
     * full. What is asked must have been noted before, or the reader may find that it can rest.
     */
    boolean ask(Handler handler, Letter letter) {
        return outbox.offer(() -> {
            if (wake(handler)) {
                long now = clock.micros();
                write(letter.bytes(now), now);
            } else {
                end(handler);
            }
        });
    }

    /** Whether the connection is read from now on; not if it has ended, or there is no thread for it. */
    private boolean wake(Handler handler) {
        synchronized (this) {
            if (reading) {
                return true;
            }
            reading = true;
        }
        try {
            boolean goesOn = fresh || lookedAt();
            fresh = false;
            if (goesOn) {
                Threads.shared(limits.peerStack()).execute(() -> read(handler));
            }
            return goesOn;
        } catch (IOException | OutOfMemoryError e) {
            // It was reset, or there is no thread to be had.
            return false;
        }
    }

    /**
     * Whether a connection that nobody read goes on; what has come is kept for its reader. Only now does its end tell
     * that nothing ran: a request that is written on a connection that has ended may have run as far as anybody can tell.
     */
    private boolean lookedAt() throws IOException {
        byte[] bytes = new byte[EARLY_SIZE];
        int held = 0;
        int count = 1;
        while (count > 0 && held < bytes.length) {
            count = receive(bytes, held, 1);
            held += Math.max(0, count);
        }
        early = ByteBuffer.wrap(bytes, 0, held);
        return count >= 0;
    }

    private synchronized boolean mayRest(Handler handler) {
        reading = finishing || !handler.rests();
        return !reading;
    }

    /** Leaves a letter; false if the mailbox is full. */
    boolean offer(Letter letter) {
        return outbox.offer(() -> {
            long now = clock.micros();
            write(letter.bytes(now), now);
        });
    }

    /** Leaves bytes to be written; a peer that lets its mailbox fill is closed. */
    void send(byte[] bytes) {
        if (!offer(now -> bytes)) {
            cause = "outbox full or without a thread";
            close();
        }
    }

    /** The other side's address. */
    String address() {
        return String.valueOf(socket.getRemoteSocketAddress());
    }

    /** Why the connection ended, in words. */
    String cause() {
        return cause;
    }

    /** Waits until all that was left has been written, this long at most. */
    void flush(long most) {
        CountDownLatch written = new CountDownLatch(1);
        if (outbox.offer(written::countDown)) {
            try {
                written.await(most, TimeUnit.MICROSECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Says this to a connection that is not served at all, and closes it; so little never blocks. */
    void turnAway(byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
        } catch (IOException e) {
            // It has left already.
        }
        close();
    }

    /** Says no more once what is left has been written; closing at once could lose it on the way. */
    void finish() {
        finishing = true;
        boolean left = outbox.offer(() -> {
            try {
                socket.shutdownOutput();
                lingerUntil = clock.micros() + limits.linger();
            } catch (IOException e) {
                close();
            }
        });
        if (!left) {
            close();
        }
    }

    void close() {
        outbox.stop();
        Threads.close(socket);
    }

    private void write(byte[] bytes, long now) {
        if (bytes == null) {
            return;
        }
        try {
            writingSince = now;
            socket.getOutputStream().write(bytes);
            writingSince = 0;
        } catch (IOException e) {
            // The reader sees the end of the connection too and tells what is to be told.
            cause = "write failed: " + e.getMessage();
            close();
        }
    }

    private void read(Handler handler) {
        byte[] bytes = new byte[READ_SIZE];
        int dropped = 0;
        try {
            long now = clock.micros();
            long lastRead = now;
            if (early.hasRemaining()) {
                handler.read(early.array(), early.limit(), now);
                early = ByteBuffer.allocate(0);
            }
            for (int count = 0; count >= 0 && dropped <= limits.lingerBytes(); now = clock.micros()) {
                if (mayRest(handler)) {
                    return;
                }
                if (now >= due(handler, lastRead)) {
                    if (isLost(now) || !finishing && !handler.quiet(now)) {
                        break;
                    }
                    lastRead = now;
                }
                count = receive(bytes, 0, due(handler, lastRead) - now);
                if (count > 0 && lingerUntil == Long.MAX_VALUE) {
                    lastRead = now;
                    handler.read(bytes, count, clock.micros());
                } else if (count > 0) {
                    // A peer that sends on at full speed would take all of the core.
                    dropped += count;
                }
            }
        } catch (IOException e) {
            // A reset ends the connection as an end of input does.
            cause = cause.equals("end of input") ? "read failed: " + e.getMessage() : cause;
        } catch (RuntimeException | Error e) {
            end(handler);
            throw e;
        }
        end(handler);
    }

    private void end(Handler handler) {
        byte[] last = handler.ended(true);
        if (last != null) {
            send(last);
            flush(limits.flush());
        }
        close();
    }

    private long due(Handler handler, long lastRead) {
        return finishing ? Math.min(lastRead + limits.linger(), lingerUntil) : handler.due(lastRead);
    }

    /** Whether nothing is to be hoped for: this side has said its last, or the peer takes nothing. */
    private boolean isLost(long now) {
        long since = writingSince;
        return now >= lingerUntil || since > 0 && now - since > limits.writeStall();
    }

    /** What has come, 0 bytes if nothing does in this time. */
    private int receive(byte[] bytes, int from, long most) throws IOException {
        try {
            socket.setSoTimeout((int) Math.max(1, Clock.toMillis(most)));
            return socket.getInputStream().read(bytes, from, bytes.length - from);
        } catch (SocketTimeoutException e) {
            return 0;
        }
    }
}
