package cairnline.program;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** A client of a fault soak: it asks, cancels, half-closes, breaks frames and leaves, as its seed draws. */
final class SoakClient implements Runnable {
    private static final int KEY_PAUSE_MS = 60;
    private static final int KEY_PAUSE_NEW_MS = 250;
    private static final int BURST_MOST = 20;
    private static final int TTL_LEAST_MS = 200;
    private static final int TTL_SPAN_MS = 2_300;
    private static final byte[] UNREADABLE = {0, 0, 0, 0};
    private static final byte[] BEGUN = {0, 0, 0, 99, 0, 0, 0};

    private final Random random;
    private final int port;
    /** This client's own key, so that requests with it are written in order and apart. */
    private final String key;
    private final List<FrameClient> connections = new ArrayList<>();
    private FrameClient current;
    private long keyFreeAt;
    private volatile boolean stopped;

    SoakClient(long seed, int port, int number) {
        this.random = new Random(seed);
        this.port = port;
        this.key = String.format("%016x", 0xa000 + number);
    }

    void stop() {
        stopped = true;
    }

    List<FrameClient> connections() {
        return connections;
    }

    /** Asks until it is stopped and its connection has ended, or none can be had any more. */
    @Override
    public void run() {
        try {
            while (!stopped || current != null && !current.ended().isDone()) {
                if (current == null || current.ended().isDone()) {
                    connect();
                }
                act();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(12));
            }
        } catch (IOException e) {
            // The workload manager takes no connection any more.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void connect() throws IOException {
        current = new FrameClient(port);
        connections.add(current);
        keyFreeAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KEY_PAUSE_NEW_MS);
    }

    private void act() {
        try {
            int draw = random.nextInt(100);
            if (stopped || draw < 70) {
                ask();
            } else if (draw < 80) {
                burst();
            } else if (draw < 90) {
                cancelOne();
            } else if (draw < 93) {
                slowly();
            } else {
                leave(draw);
            }
        } catch (IOException e) {
            // The connection has ended: what was not written whole is not owed.
        }
    }

    private int ttl() {
        return TTL_LEAST_MS + random.nextInt(TTL_SPAN_MS);
    }

    private void ask() throws IOException {
        int draw = random.nextInt(10);
        if (draw < 3 && System.nanoTime() >= keyFreeAt) {
            keyFreeAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KEY_PAUSE_MS);
            current.ask("load", key, ttl());
        } else {
            current.ask(draw < 5 ? "once" : draw < 7 ? "report" : "lookup", null, ttl());
        }
    }

    private void burst() throws IOException {
        for (int i = random.nextInt(BURST_MOST); i >= 0; i--) {
            current.ask("lookup", null, ttl());
        }
    }

    private void cancelOne() throws IOException {
        List<FrameClient.Call> calls = current.calls();
        if (!calls.isEmpty()) {
            FrameClient.Call call = calls.get(random.nextInt(calls.size()));
            if (!call.code.isDone() && call.cancelledAt == 0) {
                current.cancel(call);
            }
        }
    }

    /** A request in two pieces, with another connection's traffic between them. */
    private void slowly() throws IOException {
        FrameClient.Call call = current.next("lookup", null, ttl());
        byte[] frame = call.frame();
        byte[] first = Arrays.copyOf(frame, frame.length / 2);
        byte[] second = Arrays.copyOfRange(frame, frame.length / 2, frame.length);
        current.write(first);
        Thread.yield();
        current.write(second);
        call.writtenAt = System.nanoTime();
    }

    private void leave(int draw) throws IOException {
        ask();
        FrameClient left = current;
        current = null;
        switch (draw) {
            case 93, 94 -> left.write(UNREADABLE);
            case 95 -> left.write(BEGUN);
            case 96, 97 -> left.halfClose();
            case 98 -> left.close();
            default -> left.reset();
        }
    }
}
