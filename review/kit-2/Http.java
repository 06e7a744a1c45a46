import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Plain HTTP/1.1 messages with a content length or chunks, on blocking sockets. */
final class Http {
    private Http() { }

    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static byte[] request(String method, String target, String headers, String body) {
        String length = body.isEmpty() ? "" : "Content-Type: application/json\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n";
        return (method + " " + target + " HTTP/1.1\r\nHost: shop\r\n" + headers + length + "\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    static byte[] answer(int status, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length + 200);
        out.writeBytes(("HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nOData-Version: 4.01\r\n"
                + "Content-Length: " + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        out.writeBytes(bytes);
        return out.toByteArray();
    }

    /** Reads a whole message that is not an interim response; throws if the connection ends before. */
    static Message read(InputStream in) throws IOException {
        while (true) {
            String firstLine = line(in);
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
            }
            if (firstLine.startsWith("HTTP/1.1 1")) {
                continue;
            }
            byte[] body = new byte[0];
            if (headers.containsKey("content-length")) {
                int length = Integer.parseInt(headers.get("content-length"));
                body = in.readNBytes(length);
                if (body.length < length) {
                    throw new EOFException("the connection ended inside a body");
                }
            }
            return new Message(firstLine, headers, body);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    static Socket connect(int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }
}
