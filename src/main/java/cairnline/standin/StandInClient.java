package cairnline.standin;

import cairnline.protocol.ClientFrames;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A stand-in client of the platform's client protocol: one connection with any number of concurrent requests. Each answer
 * is passed to a listener as it arrives. Thread-safe.
 */
public final class StandInClient implements AutoCloseable {
    /** The answer to a request: its class, the answer's code on the wire, and the time since the request was sent. */
    public record Answer(String requestClass, int code, long latencyMicros) { }

    /** Receives the answers, on the thread that reads the connection. */
    public interface Listener {
        /** Called for each complete answer. */
        void onAnswer(Answer answer);
    }

    private static final int MAX_FRAME_BYTES = 300_000;

    private record OpenRequest(String requestClass, long sentAtNanos) { }

    private final Socket socket;
    private final OutputStream out;
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    private long lastStream;

    /** Connects to a workload manager on this machine. */
    public StandInClient(int port, Listener listener) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Thread reader = new Thread(() -> readFrames(listener), "toy client");
        reader.setDaemon(true);
        reader.start();
    }

    /** Sends a request; {@code orderingKey} is null for a class without one. */
    public synchronized void send(String requestClass, String id, String orderingKey, long timeoutMillis, double workMillis)
            throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("op", requestClass);
        fields.put("call", id);
        fields.put("ttl", Long.toString(timeoutMillis));
        fields.put("work", String.format(Locale.ROOT, "%.1f", workMillis));
        fields.put("heap", "8");
        if (orderingKey != null) {
            fields.put("dedupe", "d" + id);
            fields.put("row", orderingKey);
        }
        openRequests.put(++lastStream, new OpenRequest(requestClass, System.nanoTime()));
        out.write(ClientFrames.request(lastStream, fields,
                ("select title from sales_" + lastStream % 20 + ".books").getBytes(StandardCharsets.UTF_8)));
    }

    private void readFrames(Listener listener) {
        ClientFrames frames = new ClientFrames(MAX_FRAME_BYTES);
        byte[] bytes = new byte[8_192];
        try {
            InputStream in = socket.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                frames.feed(bytes, count);
                for (ClientFrames.Frame frame = frames.next(); frame != null; frame = frames.next()) {
                    handleFrame(frame, listener);
                }
            }
        } catch (IOException e) {
            // Closed by either side; open requests get no answer.
        }
    }

    private void handleFrame(ClientFrames.Frame frame, Listener listener) {
        OpenRequest request;
        synchronized (this) {
            request = frame.type() == ClientFrames.ANSWER ? openRequests.remove(frame.stream()) : null;
        }
        if (request != null) {
            listener.onAnswer(new Answer(request.requestClass, frame.payload()[0],
                    (System.nanoTime() - request.sentAtNanos) / 1_000));
        }
    }

    /** Returns the number of requests without an answer. */
    public synchronized int openRequests() {
        return openRequests.size();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
