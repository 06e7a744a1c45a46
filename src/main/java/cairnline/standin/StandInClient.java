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

/** A client of the platform's wire: one connection, any number of requests out, each answer told as it comes. */
public final class StandInClient implements AutoCloseable {
    /** What became of a request. */
    public record Answer(String type, int code, long micros) { }

    /** Told each answer, on the thread that reads. */
    public interface Listener {
        /** An answer has come whole. */
        void answered(Answer answer);
    }

    private static final int FRAME_MOST = 300_000;

    private record Asked(String type, long at) { }

    private final Socket socket;
    private final OutputStream out;
    private final Map<Long, Asked> open = new HashMap<>();
    private long stream;

    /** Connects. */
    public StandInClient(int port, Listener listener) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Thread reader = new Thread(() -> read(listener), "toy client");
        reader.setDaemon(true);
        reader.start();
    }

    /** Asks; {@code key} is null for a class without one. */
    public synchronized void send(String type, String call, String key, long ttlMs, double workMs) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("op", type);
        fields.put("call", call);
        fields.put("ttl", Long.toString(ttlMs));
        fields.put("work", String.format(Locale.ROOT, "%.1f", workMs));
        fields.put("heap", "8");
        if (key != null) {
            fields.put("dedupe", "d" + call);
            fields.put("row", key);
        }
        open.put(++stream, new Asked(type, System.nanoTime()));
        out.write(ClientFrames.request(stream, fields,
                ("select title from sales_" + stream % 20 + ".books").getBytes(StandardCharsets.UTF_8)));
    }

    private void read(Listener listener) {
        ClientFrames frames = new ClientFrames(FRAME_MOST);
        byte[] bytes = new byte[8_192];
        try {
            InputStream in = socket.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                frames.feed(bytes, count);
                for (ClientFrames.Frame frame = frames.next(); frame != null; frame = frames.next()) {
                    take(frame, listener);
                }
            }
        } catch (IOException e) {
            // Closed here, or by the other side: what is open then has no answer.
        }
    }

    private void take(ClientFrames.Frame frame, Listener listener) {
        Asked asked;
        synchronized (this) {
            asked = frame.type() == ClientFrames.ANSWER ? open.remove(frame.stream()) : null;
        }
        if (asked != null) {
            listener.answered(new Answer(asked.type, frame.payload()[0], (System.nanoTime() - asked.at) / 1_000));
        }
    }

    /** How many have no answer yet. */
    public synchronized int open() {
        return open.size();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
