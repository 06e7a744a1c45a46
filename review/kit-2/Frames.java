import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A client of the platform's frame protocol: one connection, any number of streams, answers in any order. */
final class Frames implements AutoCloseable {
    private static final AtomicLong NEXT_CALL = new AtomicLong(0x1000_0000_0000_0000L);

    final Socket socket = new Socket();
    private final DataOutputStream out;
    private final Case owner;
    private final Map<Long, Answer> answers = new ConcurrentHashMap<>();
    private long nextStream = 1;
    volatile boolean ended;
    volatile double endedAt = Double.MAX_VALUE;
    /** Whether the workload manager has announced that it takes no new request on this connection. */
    volatile boolean announced;

    /** An answer; code 1 is served, 0 refused, 9 failed. */
    record Answer(int code, String body, double atSeconds) { }

    Frames(Case owner, int port) throws IOException {
        this.owner = owner;
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        socket.setTcpNoDelay(true);
        out = new DataOutputStream(socket.getOutputStream());
        owner.daemon(this::read);
    }

    static String newCall() {
        return String.format("%016x", NEXT_CALL.incrementAndGet());
    }

    /** Sends a request; returns its stream. Further fields are names and values. */
    synchronized long send(String type, String call, int ttlMillis, String statement, String... fields) throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(payload);
        data.writeByte(5 + fields.length / 2);
        writeFields(data, "op", type, "call", call, "ttl", Integer.toString(ttlMillis), "work", "100.0", "heap", "8");
        writeFields(data, fields);
        data.write(statement.getBytes(StandardCharsets.UTF_8));
        long stream = nextStream++;
        frame(0, stream, payload.toByteArray());
        return stream;
    }

    synchronized void cancel(long stream) throws IOException {
        frame(2, stream, new byte[0]);
    }

    private static void writeFields(DataOutputStream data, String... fields) throws IOException {
        for (int i = 0; i < fields.length; i += 2) {
            data.writeByte(fields[i].length());
            data.writeBytes(fields[i]);
            data.writeShort(fields[i + 1].length());
            data.writeBytes(fields[i + 1]);
        }
    }

    private void frame(int type, long stream, byte[] payload) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(bytes);
        data.writeInt(5 + payload.length);
        data.writeByte(type);
        data.writeInt((int) stream);
        data.write(payload);
        out.write(bytes.toByteArray());
    }

    private void read() {
        try {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                byte[] payload = new byte[in.readInt() - 5];
                int type = in.readUnsignedByte();
                long stream = in.readInt();
                in.readFully(payload);
                if (type == 9) {
                    announced = true;
                } else if (type == 1 || type == 7) {
                    int position = 2;
                    for (int i = 0; i < payload[1]; i++) {
                        position += 1 + (payload[position] & 0xff);
                        position += 2 + ((payload[position] & 0xff) << 8 | payload[position + 1] & 0xff);
                    }
                    Answer answer = new Answer(payload[0], new String(payload, position, payload.length - position,
                            StandardCharsets.UTF_8), owner.seconds());
                    Answer before = answers.put(stream, answer);
                    if (before != null && stream > 0) {
                        owner.violation("a second answer on stream " + stream + ": " + before + ", " + answer);
                    }
                    synchronized (answers) {
                        answers.notifyAll();
                    }
                }
            }
        } catch (IOException e) {
            endedAt = owner.seconds();
            ended = true;
            synchronized (answers) {
                answers.notifyAll();
            }
        }
    }

    Answer answerNow(long stream) {
        return answers.get(stream);
    }

    /** Waits for the answer; null if the connection ends or the time passes before. */
    Answer await(long stream, long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        synchronized (answers) {
            while (!answers.containsKey(stream) && !ended && System.nanoTime() < until) {
                answers.wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
        }
        return answers.get(stream);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
