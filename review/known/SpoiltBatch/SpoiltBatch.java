import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** A batch of a write and a lookup, whose answer is spoilt. Checks that the batch gets its answer within the client's time. */
final class SpoiltBatch {
    /** The longest time of the classes in the batch, that of a load, and the grace. */
    private static final int TIMEOUT_MILLIS = 25_000 + Lab.GRACE_MILLIS;

    private SpoiltBatch() { }

    public static void main(String[] arguments) {
        Lab.main(SpoiltBatch::run);
    }

    /** Reads a message with a content length: its head, a NUL and its body; null at the end of the connection. */
    private static String read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        int length = 0;
        for (String line : head.toString().toLowerCase(Locale.ROOT).split("\r\n")) {
            length = line.startsWith("content-length:") ? Integer.parseInt(line.substring(15).strip()) : length;
        }
        return head + new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Feed feed = lab.closing(new Lab.Feed());
        feed.tell(true, lab.new Engine("s-1", (query, body) -> 50).host("in_service"));
        ServerSocket engine = lab.closing(new ServerSocket(0, 50, Lab.LOOPBACK));
        Lab.start(() -> {
            while (true) {
                Socket socket = engine.accept();
                Lab.start(() -> {
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    for (String request = read(in); request != null; request = read(in)) {
                        lab.note("the engine runs " + request.substring(0, request.indexOf("\r\n")));
                        boolean spoilt = lab.trouble && request.startsWith("GET");
                        String body = spoilt ? "{\"ID\":2,\"Ti#~\u0001le:\"Emm" : "{\"ID\":1,\"Title\":\"Emma\"}";
                        socket.getOutputStream().write(Lab.utf8("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                + "Content-Length: " + body.length() + "\r\n\r\n" + body));
                    }
                });
            }
        });
        int port = Lab.freePort();
        Path settings = Files.writeString(lab.work.resolve("odata.json"), "{\"listen\": \"127.0.0.1:" + port
                + "\", \"engines\": [{\"id\": \"odata-1\", \"address\": \"127.0.0.1:" + engine.getLocalPort() + "\"}], "
                + "\"sets\": {\"Books\": {\"read\": \"lookup\", \"aggregate\": \"report\", \"write\": \"load\", \"key\": \"ID\", "
                + "\"keyType\": \"Edm.Int64\"}}}");
        Lab.Manager manager = lab.new Manager("n1", lab.configuration(feed), " " + settings);
        manager.start();
        Thread.sleep(1_000);
        try (Socket socket = new Socket(Lab.LOOPBACK, port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            String batch = "{\"requests\":[{\"id\":\"1\",\"method\":\"PATCH\",\"url\":\"/Books(1)\",\"body\":{\"Price\":5}},"
                    + "{\"id\":\"2\",\"method\":\"GET\",\"url\":\"/Books(2)\"}]}";
            socket.getOutputStream().write(Lab.utf8("POST /$batch HTTP/1.1\r\nHost: shop\r\nContent-Type: application/json\r\n"
                    + "Content-Length: " + batch.length() + "\r\n\r\n" + batch));
            lab.note("sent " + batch);
            String answer = read(new BufferedInputStream(socket.getInputStream()));
            lab.note("answer: " + answer);
            return answer == null ? Lab.BROKEN : Lab.HELD;
        } catch (SocketTimeoutException e) {
            lab.note("NO ANSWER in " + TIMEOUT_MILLIS + " ms; the workload manager " + (manager.isAlive() ? "runs" : "has ended"));
            return Lab.BROKEN;
        }
    }
}
