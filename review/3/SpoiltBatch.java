import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;

/** One engine's answer to one lookup of an OData batch is spoilt: its body is noise. */
public final class SpoiltBatch {
    private static final int BATCHES = 2;
    /** Each request of a batch says that its client waits for so long. */
    private static final int WAIT_SECONDS = 5;
    /** For how long the client really waits. */
    private static final int PATIENCE_MILLIS = 10_000;

    public static void main(String[] args) {
        Lab.main(SpoiltBatch::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Feed feed = lab.closing(new Lab.Feed());
        feed.tell(true, lab.new Engine("e0", (query, body) -> 20).host("in_service"));
        ServerSocket engine = lab.closing(new ServerSocket(0, 50, Lab.LOOPBACK));
        Lab.start(() -> {
            while (true) {
                Socket socket = engine.accept();
                socket.setTcpNoDelay(true);
                Lab.start(() -> serve(lab, socket));
            }
        });
        int port = Lab.freePort();
        Path odata = Files.writeString(lab.work.resolve("odata.json"), "{\"listen\": \"127.0.0.1:" + port + "\", \"engines\": ["
                + "{\"id\": \"odata-1\", \"address\": \"127.0.0.1:" + engine.getLocalPort() + "\"}], \"sets\": {"
                + "\"Books\": {\"read\": \"lookup\", \"write\": \"load\", \"key\": \"ID\", \"keyType\": \"Edm.Int64\"}}}");
        Lab.Manager manager = lab.new Manager("n1", lab.configuration(feed), " " + odata);
        manager.start();

        int lost = 0;
        for (int i = 0; i < BATCHES; i++) {
            String answer = batch(lab, port, i);
            lab.note("batch " + i + ": " + answer);
            lost += answer.startsWith("HTTP/1.1 ") ? 0 : 1;
        }
        lab.note("batches: " + BATCHES + ", without an answer " + lost + "; the workload manager "
                + (manager.isAlive() ? "runs" : "has ended"));
        return lost > 0 ? Lab.BROKEN : Lab.HELD;
    }

    /** Answers each request at once; with the disruption the answer about book 2 is spoilt. */
    private static void serve(Lab lab, Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        while (true) {
            String head = head(in);
            in.readNBytes(length(head));
            String target = head.split(" ")[1];
            boolean spoilt = lab.trouble && target.contains("Books(2)");
            String book = target.replaceAll("\\D", "");
            String body = spoilt ? "\u0007k#~~%{]0x" : "{\"ID\":" + book + ",\"Title\":\"Emma\"}";
            lab.note("engine: " + head.split(" HTTP")[0] + " answered with " + (spoilt ? "noise" : body));
            socket.getOutputStream().write(Lab.utf8("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
                    + body.length() + "\r\n\r\n" + body));
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("closed");
            }
            head.append((char) c);
        }
        return head.toString();
    }

    private static int length(String head) {
        return head.contains("content-length: ") ? Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1")) : 0;
    }

    private static String batch(Lab lab, int port, int number) throws IOException {
        String headers = "\"headers\":{\"prefer\":\"wait=" + WAIT_SECONDS + "\"}";
        String body = "{\"requests\":[{\"id\":\"a\",\"method\":\"GET\",\"url\":\"/Books(1)\"," + headers + "},"
                + "{\"id\":\"b\",\"method\":\"GET\",\"url\":\"/Books(2)\"," + headers + "},"
                + "{\"id\":\"c\",\"method\":\"PATCH\",\"url\":\"/Books(3)\"," + headers + ",\"body\":{\"Title\":\"Emma\"}}]}";
        try (Socket socket = new Socket(Lab.LOOPBACK, port)) {
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.getOutputStream().write(Lab.utf8("POST /$batch HTTP/1.1\r\nhost: shop\r\ncontent-type: application/json\r\n"
                    + "prefer: continue-on-error\r\ncontent-length: " + body.length() + "\r\n\r\n" + body));
            lab.note("batch " + number + " is written");
            String head = head(socket.getInputStream());
            byte[] answer = new byte[length(head)];
            new DataInputStream(socket.getInputStream()).readFully(answer);
            return head.lines().findFirst().orElse("") + " " + Lab.text(answer);
        } catch (SocketTimeoutException e) {
            return "no answer in " + PATIENCE_MILLIS + " ms";
        } catch (IOException e) {
            return "the connection ended without an answer";
        }
    }
}
