package cairnline.program;

import cairnline.protocol.ClientFrames;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client connection to a workload manager that records requests and their answers. All times are values of
 * {@link System#nanoTime}, 0 for what has not happened yet.
 */
final class FrameClient implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 300_000;
    private static final AtomicLong LAST_CALL_ID = new AtomicLong(0x1000);

    private final Socket socket;
    private final OutputStream out;
    private final Map<Long, Call> callsByStream = new ConcurrentHashMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final CompletableFuture<Long> endOfStream = new CompletableFuture<>();
    private long lastStream;
    private volatile boolean frameReceived;
    private volatile long outputClosedAt;
    private volatile long closedAt;

    /** A request; {@code writtenAt} is 0 until its last byte has been written. */
    static final class Call {
        final String id;
        final String requestClass;
        final String orderingKey;
        final long stream;
        final long timeoutMillis;
        final CompletableFuture<Integer> code = new CompletableFuture<>();
        volatile long writtenAt;
        volatile long cancelledAt;
        /** No answer is expected, since the client closed or corrupted the connection before the request was complete. */
        volatile boolean answerNotExpected;
        volatile int answerCount;
        volatile String rows;

        Call(String requestClass, String orderingKey, long stream, long timeoutMillis) {
            this.id = String.format("%016x", LAST_CALL_ID.incrementAndGet());
            this.requestClass = requestClass;
            this.orderingKey = orderingKey;
            this.stream = stream;
            this.timeoutMillis = timeoutMillis;
        }

        byte[] frame() {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("op", requestClass);
            fields.put("call", id);
            fields.put("ttl", Long.toString(timeoutMillis));
            fields.put("work", "20.0");
            fields.put("heap", "8");
            if (orderingKey != null) {
                fields.put("dedupe", "d" + id);
                fields.put("row", orderingKey);
            }
            return ClientFrames.request(stream, fields, "select title from sales_7.books".getBytes(StandardCharsets.UTF_8));
        }
    }

    FrameClient(int port) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Thread reader = new Thread(null, this::readFrames, "frame client", 256 * 1_024);
        reader.setDaemon(true);
        reader.start();
    }

    /** Creates and records a request on the next stream without writing it. */
    synchronized Call prepare(String requestClass, String orderingKey, long timeoutMillis) {
        Call call = new Call(requestClass, orderingKey, ++lastStream, timeoutMillis);
        callsByStream.put(call.stream, call);
        calls.add(call);
        return call;
    }

    /** Creates, records and writes a request. */
    Call send(String requestClass, String orderingKey, long timeoutMillis) throws IOException {
        Call call = prepare(requestClass, orderingKey, timeoutMillis);
        write(call.frame());
        call.writtenAt = System.nanoTime();
        return call;
    }

    void cancel(Call call) throws IOException {
        write(ClientFrames.frame(ClientFrames.CANCEL_REQUEST, call.stream, new byte[0]));
        call.cancelledAt = System.nanoTime();
    }

    synchronized void write(byte[] bytes) throws IOException {
        out.write(bytes);
    }

    private void markOutputClosed() {
        outputClosedAt = outputClosedAt == 0 ? System.nanoTime() : outputClosedAt;
    }

    void halfClose() throws IOException {
        socket.shutdownOutput();
        markOutputClosed();
    }

    /** Returns whether a complete frame other than a connection-level error has been received. */
    boolean hasReceivedFrame() {
        return frameReceived;
    }

    /** Returns when this side closed the connection; 0 if it has not. */
    long closedAt() {
        return closedAt;
    }

    /** Returns the time by which this side had closed the connection or its output; 0 if it has done neither. */
    long outputClosedAt() {
        return outputClosedAt;
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        closedAt = closedAt == 0 ? System.nanoTime() : closedAt;
        socket.setSoLinger(true, 0);
        socket.close();
        markOutputClosed();
    }

    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    /** Completes with the time at which reading ended, because either side closed or reset the connection. */
    CompletableFuture<Long> endOfStream() {
        return endOfStream;
    }

    private void readFrames() {
        ClientFrames frames = new ClientFrames(MAX_FRAME_BYTES);
        byte[] bytes = new byte[8_192];
        try {
            for (int count = socket.getInputStream().read(bytes); count >= 0; count = socket.getInputStream().read(bytes)) {
                frames.feed(bytes, count);
                for (ClientFrames.Frame frame = frames.next(); frame != null; frame = frames.next()) {
                    handle(frame);
                }
            }
        } catch (IOException e) {
            // A reset ends the stream like an orderly close.
        }
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is closed in any case.
        }
        endOfStream.complete(System.nanoTime());
    }

    private void handle(ClientFrames.Frame frame) {
        Call call = frame.type() == ClientFrames.ANSWER ? callsByStream.get(frame.stream()) : null;
        frameReceived |= frame.type() != ClientFrames.ANSWER || frame.stream() > 0;
        if (call != null) {
            call.answerCount++;
            call.rows = new String(ClientFrames.parseContent(withoutFirstByte(frame.payload())).body(), StandardCharsets.UTF_8);
            call.code.complete((int) frame.payload()[0]);
        }
    }

    private static byte[] withoutFirstByte(byte[] payload) {
        return Arrays.copyOfRange(payload, 1, payload.length);
    }

    @Override
    public void close() throws IOException {
        closedAt = closedAt == 0 ? System.nanoTime() : closedAt;
        socket.close();
        markOutputClosed();
    }
}
