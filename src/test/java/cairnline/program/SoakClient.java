package cairnline.program;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A client of the fault soak that, as drawn from its seed, sends requests, cancels them, sends malformed frames, half-closes,
 * closes or resets its connection, and reconnects.
 */
final class SoakClient implements Runnable {
    private static final int ORDERED_REQUEST_INTERVAL_MILLIS = 60;
    private static final int ORDERED_REQUEST_DELAY_AFTER_CONNECT_MILLIS = 250;
    private static final int MAX_BURST_REQUESTS = 20;
    private static final int MIN_TIMEOUT_MILLIS = 200;
    private static final int TIMEOUT_RANGE_MILLIS = 2_300;
    private static final byte[] MALFORMED_FRAME = {0, 0, 0, 0};
    private static final byte[] INCOMPLETE_FRAME = {0, 0, 0, 99, 0, 0, 0};

    private final Random random;
    private final int port;
    /** An ordering key that no other client uses, so that requests with it are sent in order and at intervals. */
    private final String orderingKey;
    private final List<FrameClient> connections = new ArrayList<>();
    private FrameClient current;
    private long nextOrderedRequestAt;
    private volatile boolean stopped;

    SoakClient(long seed, int port, int clientIndex) {
        this.random = new Random(seed);
        this.port = port;
        this.orderingKey = String.format("%016x", 0xa000 + clientIndex);
    }

    void stop() {
        stopped = true;
    }

    List<FrameClient> connections() {
        return connections;
    }

    /** Sends requests until it has been stopped and its connection has closed, or until no connection can be established. */
    @Override
    public void run() {
        try {
            while (!stopped || current != null && !current.endOfStream().isDone()) {
                if (current == null || current.endOfStream().isDone()) {
                    connect();
                }
                act();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(12));
            }
        } catch (IOException e) {
            // The workload manager no longer accepts connections.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void connect() throws IOException {
        current = new FrameClient(port);
        connections.add(current);
        nextOrderedRequestAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ORDERED_REQUEST_DELAY_AFTER_CONNECT_MILLIS);
    }

    private void act() {
        try {
            int draw = random.nextInt(100);
            if (stopped || draw < 70) {
                sendOne();
            } else if (draw < 80) {
                sendBurst();
            } else if (draw < 90) {
                cancelRandomRequest();
            } else if (draw < 93) {
                sendInTwoPieces();
            } else {
                sendAndDisconnect(draw);
            }
        } catch (IOException e) {
            // The connection is closed; no answer is expected to a request that was not written completely.
        }
    }

    private int randomTimeoutMillis() {
        return MIN_TIMEOUT_MILLIS + random.nextInt(TIMEOUT_RANGE_MILLIS);
    }

    private void sendOne() throws IOException {
        int draw = random.nextInt(10);
        if (draw < 3 && System.nanoTime() >= nextOrderedRequestAt) {
            nextOrderedRequestAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ORDERED_REQUEST_INTERVAL_MILLIS);
            current.send("load", orderingKey, randomTimeoutMillis());
        } else {
            current.send(draw < 5 ? "once" : draw < 7 ? "report" : "lookup", null, randomTimeoutMillis());
        }
    }

    private void sendBurst() throws IOException {
        for (int i = random.nextInt(MAX_BURST_REQUESTS); i >= 0; i--) {
            current.send("lookup", null, randomTimeoutMillis());
        }
    }

    private void cancelRandomRequest() throws IOException {
        List<FrameClient.Call> calls = current.calls();
        if (!calls.isEmpty()) {
            FrameClient.Call call = calls.get(random.nextInt(calls.size()));
            if (!call.code.isDone() && call.cancelledAt == 0) {
                current.cancel(call);
            }
        }
    }

    /** Sends a request in two pieces; other connections' traffic can come in between. */
    private void sendInTwoPieces() throws IOException {
        FrameClient.Call call = current.prepare("lookup", null, randomTimeoutMillis());
        byte[] frame = call.frame();
        byte[] first = Arrays.copyOf(frame, frame.length / 2);
        byte[] second = Arrays.copyOfRange(frame, frame.length / 2, frame.length);
        current.write(first);
        Thread.yield();
        current.write(second);
        call.writtenAt = System.nanoTime();
    }

    /** Sends a request and then corrupts, half-closes, closes or resets the connection, which is not used again. */
    private void sendAndDisconnect(int draw) throws IOException {
        sendOne();
        FrameClient abandoned = current;
        current = null;
        switch (draw) {
            case 93, 94 -> abandoned.write(MALFORMED_FRAME);
            case 95 -> abandoned.write(INCOMPLETE_FRAME);
            case 96, 97 -> abandoned.halfClose();
            case 98 -> abandoned.close();
            default -> abandoned.reset();
        }
    }
}
