package cairnline.transport;

import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ProtocolException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** An HTTP client that sends one request at a time over a persistent connection; for rehearsals. Not thread-safe. */
public final class BlockingHttpClient implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 8192;

    private final InetSocketAddress address;
    private final int timeoutMillis;
    private final int maxBodyBytes;
    private Socket socket;
    private HttpDecoder decoder;

    /** Creates a client, which connects with its first call. */
    public BlockingHttpClient(InetSocketAddress address, int timeoutMillis, int maxBodyBytes) {
        this.address = address;
        this.timeoutMillis = timeoutMillis;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Sends a request and returns the complete answer; throws if there is none in time, or more than one. */
    public HttpMessage call(HttpMessage request) throws IOException {
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(address, timeoutMillis);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(timeoutMillis);
                decoder = new HttpDecoder(1 << 16, maxBodyBytes);
            }
            String host = address.getHostString() + ":" + address.getPort();
            socket.getOutputStream().write(request.withHeader("host", host).encode());
            HttpMessage answer = readAnswer(socket.getInputStream());
            if (decoder.hasPartialInput()) {
                throw new ProtocolException("received more than one answer");
            }
            if (answer.closesConnection()) {
                close();
            }
            return answer;
        } catch (IOException | ProtocolException e) {
            close();
            throw e;
        }
    }

    private HttpMessage readAnswer(InputStream in) throws IOException {
        byte[] bytes = new byte[READ_BUFFER_BYTES];
        while (true) {
            int count = in.read(bytes);
            decoder.feed(bytes, Math.max(0, count));
            HttpMessage answer = count < 0 ? decoder.endOfInput() : decoder.next();
            while (answer != null && answer.isInterim()) {
                answer = decoder.next();
            }
            if (answer != null) {
                return answer;
            }
            if (count < 0) {
                throw new IOException("connection closed before the answer");
            }
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            Threads.close(socket);
            socket = null;
        }
    }
}
