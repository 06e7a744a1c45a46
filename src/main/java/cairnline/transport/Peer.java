package cairnline.transport;

import cairnline.routing.Clock;
import cairnline.routing.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * One connection: a thread that reads it, and an outbox for what is written. Nobody but the threads of these two waits
 * for the peer.
 */
final class Peer {
    private static final int READ_SIZE = 8192;

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

    /** What is done with a peer's bytes. */
    interface Handler {
        /** Bytes have come; on the reading thread. */
        void read(byte[] bytes, int count, long now);

        /** When it is asked next whether the connection goes on, if the last bytes came then. */
        long due(long lastRead);

        /** That time has come; the connection ends if this gives false. */
        boolean quiet(long now);

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
        Threads.start(name, limits.peerStack(), () -> read(handler));
    }

    /** Connects first; letters wait for that. */
    void connect(InetSocketAddress address, Handler handler) {
        outbox.offer(() -> {
            try {
                socket.connect(address, (int) Clock.toMillis(limits.connect()));
                socket.setTcpNoDelay(true);
                Threads.start(name, limits.peerStack(), () -> read(handler));
            } catch (IOException e) {
                handler.unreachable(e);
                handler.ended(false);
                close();
            }
        });
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
            close();
        }
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
            close();
        }
    }

    private void read(Handler handler) {
        byte[] bytes = new byte[READ_SIZE];
        int dropped = 0;
        try {
            long now = clock.micros();
            long lastRead = now;
            for (int count = 0; count >= 0 && dropped <= limits.lingerBytes(); now = clock.micros()) {
                if (now >= due(handler, lastRead)) {
                    if (isLost(now) || !finishing && !handler.quiet(now)) {
                        break;
                    }
                    lastRead = now;
                }
                count = receive(bytes, due(handler, lastRead) - now);
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
        } finally {
            byte[] last = handler.ended(true);
            if (last != null) {
                send(last);
                flush(limits.flush());
            }
            close();
        }
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
    private int receive(byte[] bytes, long most) throws IOException {
        try {
            socket.setSoTimeout((int) Math.max(1, Clock.toMillis(most)));
            return socket.getInputStream().read(bytes);
        } catch (SocketTimeoutException e) {
            return 0;
        }
    }
}
