package cairnline.transport;

import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ProtocolException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client that asks one thing at a time over a connection that it keeps; for the rehearsal kit. */
public final class HttpCaller implements AutoCloseable {
    private static final int READ_SIZE = 8192;

    private final InetSocketAddress address;
    private final int timeoutMillis;
    private final int mostBody;
    private Socket socket;
    private HttpDecoder decoder;

    /** A caller without a connection yet. */
    public HttpCaller(InetSocketAddress address, int timeoutMillis, int mostBody) {
        this.address = address;
        this.timeoutMillis = timeoutMillis;
        this.mostBody = mostBody;
    }

    /** The whole answer; a second one, or none, is an exception. */
    public HttpMessage call(HttpMessage request) throws IOException {
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(address, timeoutMillis);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(timeoutMillis);
                decoder = new HttpDecoder(1 << 16, mostBody);
            }
            String host = address.getHostString() + ":" + address.getPort();
            socket.getOutputStream().write(request.withHeader("host", host).encode());
            HttpMessage answer = answer(socket.getInputStream());
            if (decoder.hasPartialInput()) {
                throw new ProtocolException("more came than one answer");
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

    private HttpMessage answer(InputStream in) throws IOException {
        byte[] bytes = new byte[READ_SIZE];
        while (true) {
            int count = in.read(bytes);
            if (count < 0) {
                throw new IOException("the connection ended before the answer");
            }
            decoder.feed(bytes, count);
            HttpMessage answer = decoder.next();
            if (answer != null) {
                return answer;
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
