package cairnline.program;

import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An OData engine on loopback whose seed determines in which way it misbehaves when it answers a request. */
final class MisbehavingODataEngine implements AutoCloseable {
    /** How a request is answered. */
    enum Behavior {
        /** As it should be. */
        CORRECT,
        /** In two writes. */
        SPLIT,
        /** Twice, in one write. */
        DOUBLED,
        /** With the first half of a second answer in the same write, and its other half in the next. */
        DOUBLED_IN_PART,
        /** After an interim response. */
        INTERIM,
        /** With the first half only, before the connection ends. */
        TRUNCATED,
        /** Without a length; the body ends with the connection. */
        UNSIZED,
        /** Without a length, and the connection ends before the body is whole. */
        UNSIZED_TRUNCATED
    }

    private static final byte[] INTERIM_RESPONSE = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_MESSAGE_BYTES = 1 << 20;

    private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final Set<String> receivedRequests = ConcurrentHashMap.newKeySet();
    private final Random random;
    private final List<Behavior> misbehaviors;

    /** Starts an engine, of which every second answer is given in one of these ways, drawn by the seed. */
    MisbehavingODataEngine(long seed, List<Behavior> misbehaviors) throws IOException {
        this.random = new Random(seed);
        this.misbehaviors = misbehaviors;
        DaemonThreads.start("misbehaving engine", () -> {
            while (true) {
                Socket socket = server.accept();
                DaemonThreads.start("misbehaving engine", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Whether the request of this name has been received whole. */
    boolean hasReceived(String name) {
        return receivedRequests.contains(name);
    }

    /** Returns the body of the answer that is made for the request of this name alone. */
    static String bodyFor(String name) {
        return "{\"name\":\"" + name + "\"}";
    }

    private synchronized Behavior drawBehavior() {
        return random.nextBoolean() ? Behavior.CORRECT : misbehaviors.get(random.nextInt(misbehaviors.size()));
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpDecoder decoder = new HttpDecoder(MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES);
            byte[] bytes = new byte[8_192];
            InputStream in = socket.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                decoder.feed(bytes, count);
                for (HttpMessage request = decoder.next(); request != null; request = decoder.next()) {
                    if (!answer(request, socket.getOutputStream())) {
                        return;
                    }
                }
            }
        }
    }

    /** Answers a request; returns whether the connection stays open. */
    private boolean answer(HttpMessage request, OutputStream out) throws IOException {
        String name = request.target().substring(request.target().indexOf("r=") + 2);
        receivedRequests.add(name);
        byte[] body = bodyFor(name).getBytes(StandardCharsets.UTF_8);
        byte[] answer = HttpMessage.response(200, "application/json", body).encode();
        byte[] firstHalf = Arrays.copyOf(answer, answer.length / 2);
        byte[] secondHalf = Arrays.copyOfRange(answer, answer.length / 2, answer.length);
        byte[] unsized = new String(answer, StandardCharsets.UTF_8).replaceFirst("content-length: .*\r\n", "")
                .getBytes(StandardCharsets.UTF_8);
        switch (drawBehavior()) {
            case CORRECT -> out.write(answer);
            case SPLIT -> {
                out.write(firstHalf);
                out.write(secondHalf);
            }
            case DOUBLED -> out.write(join(answer, answer));
            case DOUBLED_IN_PART -> {
                out.write(join(answer, firstHalf));
                out.write(secondHalf);
            }
            case INTERIM -> out.write(join(INTERIM_RESPONSE, answer));
            case TRUNCATED -> {
                out.write(firstHalf);
                return false;
            }
            case UNSIZED -> {
                out.write(unsized);
                return false;
            }
            case UNSIZED_TRUNCATED -> {
                out.write(unsized, 0, unsized.length - 1);
                return false;
            }
            default -> throw new IllegalStateException();
        }
        return true;
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
