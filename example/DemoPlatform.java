import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A demo platform for trying out cairnline: a control feed at 127.0.0.1:8500 and one engine at 127.0.0.1:7101 that answers
 * every query with the same row. With the argument "ask" it is a client that sends one lookup to 127.0.0.1:7001 instead.
 */
final class DemoPlatform {
    private static final String ENGINE_LIST_EVENT = "{\"n\":1,\"members\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"demo\","
            + "\"dial\":\"127.0.0.1:7101\",\"site\":\"dc1\",\"class\":\"std16\",\"block\":0,\"health\":\"in_service\","
            + "\"share\":4,\"born_ms\":0}]}}\n";

    public static void main(String[] args) throws Exception {
        if (args.length > 0 && args[0].equals("ask")) {
            sendLookup();
            return;
        }
        listen(8500, DemoPlatform::serveFeed);
        listen(7101, DemoPlatform::serveEngine);
        System.out.println("feed at 127.0.0.1:8500, engine at 127.0.0.1:7101");
    }

    private interface ConnectionHandler {
        void handle(Socket socket) throws Exception;
    }

    private static void listen(int port, ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        new Thread(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    new Thread(() -> {
                        try (socket) {
                            handler.handle(socket);
                        } catch (Exception e) {
                            System.out.println("connection closed: " + e.getMessage());
                        }
                    }).start();
                } catch (IOException e) {
                    return;
                }
            }
        }).start();
    }

    private static void serveFeed(Socket socket) throws Exception {
        String subscription = readLine(socket.getInputStream());
        if (subscription.equals("SUB 0")) {
            socket.getOutputStream().write(ENGINE_LIST_EVENT.getBytes(StandardCharsets.UTF_8));
        }
        while (true) {
            socket.getOutputStream().write("1\n".getBytes(StandardCharsets.UTF_8));
            Thread.sleep(1_000);
        }
    }

    private static void serveEngine(Socket socket) throws Exception {
        InputStream in = socket.getInputStream();
        while (true) {
            String[] parts = new String[Integer.parseInt(readLine(in).substring(1))];
            for (int i = 0; i < parts.length; i++) {
                int size = Integer.parseInt(readLine(in).substring(1));
                parts[i] = new String(in.readNBytes(size), StandardCharsets.UTF_8);
                in.readNBytes(2);
            }
            System.out.println("engine: " + String.join(" ", parts));
            if (parts[0].equals("do")) {
                StringBuilder answer = new StringBuilder("*4\r\n");
                for (String part : new String[] {parts[1], "ACK", "parts=1,work=20.0,peak=8", "Emma\tAusten\t1815\n"}) {
                    answer.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
                }
                socket.getOutputStream().write(answer.toString().getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private static void sendLookup() throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        DataOutputStream fields = new DataOutputStream(payload);
        String[] namesAndValues = {"op", "lookup", "call", "9b1f03aa5c7e2d41", "ttl", "3000", "work", "20.0", "heap", "8"};
        fields.writeByte(namesAndValues.length / 2);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.writeByte(namesAndValues[i].length());
            fields.writeBytes(namesAndValues[i]);
            fields.writeShort(namesAndValues[i + 1].length());
            fields.writeBytes(namesAndValues[i + 1]);
        }
        fields.writeBytes("select title, author, year from sales_17.books");
        try (Socket socket = new Socket("127.0.0.1", 7001)) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(5 + payload.size());
            out.writeByte(0);
            out.writeInt(1);
            payload.writeTo(out);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] answer = new byte[in.readInt() - 5];
            in.skipBytes(5);
            in.readFully(answer);
            System.out.println("code " + answer[0] + ": " + new String(answer, 2, answer.length - 2,
                    StandardCharsets.UTF_8).strip());
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("closed by the other side");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
