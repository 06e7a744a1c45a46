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

/** A client connection that records what it sent and what came back; times are from {@link System#nanoTime}. */
final class FrameClient implements AutoCloseable {
    private static final int LONGEST_FRAME = 300_000;
    private static final AtomicLong CALLS = new AtomicLong(0x1000);

    private final Socket socket;
    private final OutputStream out;
    private final Map<Long, Call> byStream = new ConcurrentHashMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final CompletableFuture<Long> ended = new CompletableFuture<>();
    private long stream;
    private volatile boolean heard;
    private volatile long leftAt;
    private volatile long closedAt;

    /** One request; {@code writtenAt} is 0 until its last byte was written. */
    static final class Call {
        final String id;
        final String type;
        final String key;
        final long stream;
        final long ttlMs;
        final CompletableFuture<Integer> code = new CompletableFuture<>();
        volatile long writtenAt;
        volatile long cancelledAt;
        /** The client left, or spoilt what follows, before this request was whole: no answer is owed. */
        volatile boolean notOwed;
        volatile int answers;
        volatile String rows;

        Call(String type, String key, long stream, long ttlMs) {
            this.id = String.format("%016x", CALLS.incrementAndGet());
            this.type = type;
            this.key = key;
            this.stream = stream;
            this.ttlMs = ttlMs;
        }

        byte[] frame() {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("op", type);
            fields.put("call", id);
            fields.put("ttl", Long.toString(ttlMs));
            fields.put("work", "20.0");
            fields.put("heap", "8");
            if (key != null) {
                fields.put("dedupe", "d" + id);
                fields.put("row", key);
            }
            return ClientFrames.request(stream, fields, "select title from sales_7.books".getBytes(StandardCharsets.UTF_8));
        }
    }

    FrameClient(int port) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Thread reader = new Thread(null, this::read, "frame client", 256 * 1_024);
        reader.setDaemon(true);
        reader.start();
    }

    /** A request on the next stream that is not written yet. */
    synchronized Call next(String type, String key, long ttlMs) {
        Call call = new Call(type, key, ++stream, ttlMs);
        byStream.put(call.stream, call);
        calls.add(call);
        return call;
    }

    Call ask(String type, String key, long ttlMs) throws IOException {
        Call call = next(type, key, ttlMs);
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

    private void leave() {
        leftAt = leftAt == 0 ? System.nanoTime() : leftAt;
    }

    void halfClose() throws IOException {
        socket.shutdownOutput();
        leave();
    }

    /** Whether anything whole but an error of the connection has come. */
    boolean hasHeard() {
        return heard;
    }

    /** When this side closed it; 0 before. */
    long closedAt() {
        return closedAt;
    }

    /** By when this side had closed it or said its last; 0 before. */
    long leftAt() {
        return leftAt;
    }

    void reset() throws IOException {
        closedAt = closedAt == 0 ? System.nanoTime() : closedAt;
        socket.setSoLinger(true, 0);
        socket.close();
        leave();
    }

    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    /** When the other side ended the connection. */
    CompletableFuture<Long> ended() {
        return ended;
    }

    private void read() {
        ClientFrames frames = new ClientFrames(LONGEST_FRAME);
        byte[] bytes = new byte[8_192];
        try {
            for (int count = socket.getInputStream().read(bytes); count >= 0; count = socket.getInputStream().read(bytes)) {
                frames.feed(bytes, count);
                for (ClientFrames.Frame frame = frames.next(); frame != null; frame = frames.next()) {
                    take(frame);
                }
            }
        } catch (IOException e) {
            // A reset ends the connection as well.
        }
        try {
            socket.close();
        } catch (IOException e) {
            // It has ended either way.
        }
        ended.complete(System.nanoTime());
    }

    private void take(ClientFrames.Frame frame) {
        Call call = frame.type() == ClientFrames.ANSWER ? byStream.get(frame.stream()) : null;
        heard |= frame.type() != ClientFrames.ANSWER || frame.stream() > 0;
        if (call != null) {
            call.answers++;
            call.rows = new String(ClientFrames.parseContent(tail(frame.payload())).body(), StandardCharsets.UTF_8);
            call.code.complete((int) frame.payload()[0]);
        }
    }

    private static byte[] tail(byte[] payload) {
        return Arrays.copyOfRange(payload, 1, payload.length);
    }

    @Override
    public void close() throws IOException {
        closedAt = closedAt == 0 ? System.nanoTime() : closedAt;
        socket.close();
        leave();
    }
}
