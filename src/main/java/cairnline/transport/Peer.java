package cairnline.transport;

import cairnline.routing.Actor;
import cairnline.routing.Clock;
import cairnline.routing.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * One connection: a thread that reads it, and an actor that writes what is left in its mailbox. Nobody but these two
 * waits for the peer.
 */
final class Peer implements Actor.Turns {
    private static final int READ_SIZE = 8192;

    private final Socket socket;
    private final Limits limits;
    private final Clock clock;
    private final String name;
    private final Actor writer;
    private volatile long writingSince;
    private long turn;

    /** What is done with a peer's bytes. */
    interface Handler {
        /** Bytes have come; on the reading thread. */
        void read(byte[] bytes, int count);

        /** Nothing has come for a while; the connection ends if this gives false. */
        boolean quiet();

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
        this.writer = new Actor(name + "-out", limits.peerMailbox(), 1, limits.peerStack(), clock, this);
    }

    /** Serves a connection that is up. */
    void start(Handler handler) {
        writer.start();
        Threads.start(name, limits.peerStack(), () -> read(handler));
    }

    /** Connects first; letters wait for that. */
    void connect(InetSocketAddress address, Handler handler) {
        writer.offer(() -> {
            try {
                socket.connect(address, (int) Clock.toMillis(limits.connect()));
                socket.setTcpNoDelay(true);
                Threads.start(name, limits.peerStack(), () -> read(handler));
            } catch (IOException e) {
                handler.ended(false);
                close();
            }
        });
        writer.start();
    }

    /** Leaves a letter; false if the mailbox is full. */
    boolean offer(Letter letter) {
        return writer.offer(() -> write(letter.bytes(turn)));
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
        if (writer.offer(written::countDown)) {
            try {
                written.await(most, TimeUnit.MICROSECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Says no more once what is left has been written; closing at once could lose it on the way. */
    void finish() {
        boolean left = writer.offer(() -> {
            try {
                socket.shutdownOutput();
            } catch (IOException e) {
                close();
            }
        });
        if (!left) {
            close();
        }
    }

    void close() {
        writer.stop();
        Threads.close(socket);
    }

    private void write(byte[] bytes) {
        if (bytes == null) {
            return;
        }
        try {
            writingSince = turn;
            socket.getOutputStream().write(bytes);
            writingSince = 0;
        } catch (IOException e) {
            // The reader sees the end of the connection too and tells what is to be told.
            close();
        }
    }

    private void read(Handler handler) {
        byte[] bytes = new byte[READ_SIZE];
        try {
            socket.setSoTimeout((int) Clock.toMillis(limits.idle()));
            int count = 0;
            while (count >= 0) {
                try {
                    count = socket.getInputStream().read(bytes);
                    if (count > 0) {
                        handler.read(bytes, count);
                    }
                } catch (SocketTimeoutException e) {
                    long since = writingSince;
                    boolean stalled = since > 0 && clock.micros() - since > limits.writeStall();
                    if (stalled || !handler.quiet()) {
                        break;
                    }
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

    @Override
    public void begin(long now) {
        turn = now;
    }

    @Override
    public long end(long now) {
        return Long.MAX_VALUE;
    }
}
