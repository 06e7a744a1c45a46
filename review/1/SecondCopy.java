import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Storefronts change prices by OData. Some good answers of the engines bring a second copy. Checks that each change that is
 * answered as served was run by an engine, and that its answer is the one that the engine made for it.
 */
final class SecondCopy {
    private static final int ENGINES = 2;
    private static final int BOOKS = 4;
    private static final int STOREFRONTS_EACH = 3;
    private static final int CHANGES_EACH = 25;
    private static final int LOAD_MILLIS = 100;
    /** A result holds at most 48,000 bytes. */
    private static final int NOTE_BYTES = 40_000;
    /** One in so many good answers brings a second copy. */
    private static final int COPY_EVERY = 4;
    private static final int LATE_MILLIS = 5;

    private final Lab lab;
    /** The engine that ran a change, by the tag in its body. */
    private final Map<String, String> runBy = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    /** The changes that were answered as served, and the tag in the answer. */
    private final Map<String, String> served = new ConcurrentHashMap<>();
    private final AtomicInteger notServed = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    private SecondCopy(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        Lab.main(lab -> new SecondCopy(lab).run());
    }

    private record Message(String head, String body) {
        String startLine() {
            return head.substring(0, head.indexOf("\r\n"));
        }

        String tag() {
            int start = body.indexOf("\"Tag\":\"") + "\"Tag\":\"".length();
            return body.contains("\"Tag\":\"") ? body.substring(start, body.indexOf('"', start)) : "none";
        }
    }

    /** Reads a message with a content length; null at the end of the connection. */
    private static Message read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
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
        return new Message(head.toString(), new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    // ---- An OData engine ----

    private String startEngine(String id) throws IOException {
        ServerSocket server = lab.closing(new ServerSocket(0, 100, Lab.LOOPBACK));
        Lab.start(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Lab.start(() -> serve(id, socket));
            }
        });
        return "{\"id\": \"" + id + "\", \"address\": \"127.0.0.1:" + server.getLocalPort() + "\"}";
    }

    private void serve(String id, Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Message request = read(in); request != null; request = read(in)) {
            String tag = request.tag();
            runBy.merge(tag, id, (first, second) -> first + " and " + second);
            lab.note(id + " runs " + request.startLine() + " " + tag);
            Thread.sleep(LOAD_MILLIS);
            String body = "{\"ID\":1,\"Tag\":\"" + tag + "\",\"Note\":\"" + "n".repeat(NOTE_BYTES) + "\"}";
            byte[] answer = Lab.utf8("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nOData-Version: 4.01\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            if (!lab.trouble || answers.incrementAndGet() % COPY_EVERY > 0) {
                socket.getOutputStream().write(answer);
                continue;
            }
            ByteArrayOutputStream twice = new ByteArrayOutputStream();
            twice.writeBytes(answer);
            twice.writeBytes(answer);
            // Every other copy is there at once; of the others the end comes some milliseconds late, the beginning at once.
            int atOnce = copies.incrementAndGet() % 2 == 0 ? twice.size() : answer.length + answer.length / 2;
            lab.note(id + " sends a second copy right behind the answer to " + tag + ", "
                    + (atOnce == twice.size() ? "in one piece" : "in two pieces"));
            socket.getOutputStream().write(twice.toByteArray(), 0, atOnce);
            if (atOnce < twice.size()) {
                Thread.sleep(LATE_MILLIS);
                socket.getOutputStream().write(twice.toByteArray(), atOnce, twice.size() - atOnce);
            }
        }
    }

    // ---- A storefront ----

    private void change(int port, int book, int storefront) throws IOException {
        try (Socket socket = new Socket(Lab.LOOPBACK, port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(30_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < CHANGES_EACH; i++) {
                String tag = "book" + book + "-storefront" + storefront + "-" + i;
                String body = "{\"Price\":" + i + ",\"Tag\":\"" + tag + "\"}";
                lab.note(tag + ": sent PATCH /Books(" + book + ") " + body);
                socket.getOutputStream().write(Lab.utf8("PATCH /Books(" + book + ") HTTP/1.1\r\nHost: shop\r\n"
                        + "Content-Type: application/json\r\nPrefer: return=representation\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body));
                Message answer = null;
                try {
                    answer = read(in);
                } catch (IOException e) {
                    lab.note(tag + ": " + e);
                }
                if (answer == null) {
                    unanswered.incrementAndGet();
                    lab.note(tag + ": no answer");
                    return;
                }
                lab.note(tag + ": " + answer.startLine() + ", answer to " + answer.tag());
                if (answer.startLine().contains(" 200 ")) {
                    served.put(tag, answer.tag());
                } else {
                    notServed.incrementAndGet();
                }
            }
        }
    }

    private static void awaitListening(int port) throws Exception {
        for (int i = 0; i < 100; i++) {
            try (Socket socket = new Socket(Lab.LOOPBACK, port)) {
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IllegalStateException("the OData front does not listen");
    }

    private int run() throws Exception {
        Lab.Feed feed = lab.closing(new Lab.Feed());
        feed.tell(true, lab.new Engine("s-1", (query, body) -> LOAD_MILLIS).host("in_service"));
        List<String> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            engines.add(startEngine("odata-" + i));
        }
        int port = Lab.freePort();
        // deploy/odata.json with free ports, and the set that the storefronts use.
        Path settings = Files.writeString(lab.work.resolve("odata.json"), "{\"listen\": \"127.0.0.1:" + port
                + "\", \"engines\": [" + String.join(", ", engines) + "], \"sets\": {\"Books\": {\"read\": \"lookup\", "
                + "\"aggregate\": \"report\", \"write\": \"load\", \"key\": \"ID\", \"keyType\": \"Edm.Int64\"}}}");
        Lab.Manager manager = lab.new Manager("n1", lab.configuration(feed), " " + settings);
        manager.start();
        awaitListening(port);

        List<Thread> storefronts = new ArrayList<>();
        for (int book = 1; book <= BOOKS; book++) {
            for (int storefront = 1; storefront <= STOREFRONTS_EACH; storefront++) {
                int ofBook = book;
                int number = storefront;
                storefronts.add(Lab.start(() -> change(port, ofBook, number)));
            }
        }
        for (Thread thread : storefronts) {
            thread.join(70_000);
        }
        Thread.sleep(2_000);
        int foreign = 0;
        int neverRun = 0;
        for (Map.Entry<String, String> each : served.entrySet()) {
            boolean isForeign = !each.getKey().equals(each.getValue());
            boolean isNeverRun = !runBy.containsKey(each.getKey());
            foreign += isForeign ? 1 : 0;
            neverRun += isNeverRun ? 1 : 0;
            if (isForeign) {
                lab.note("BROKEN: " + each.getKey() + " was answered 200 with the answer to " + each.getValue()
                        + (isNeverRun ? ", AND NO ENGINE EVER GOT IT" : ", it was run by " + runBy.get(each.getKey())));
            }
        }
        lab.note("served " + served.size() + ", not served " + notServed + ", no answer " + unanswered + ", second copies "
                + copies + "; served with a foreign answer " + foreign + ", served and never run " + neverRun);
        return foreign + neverRun > 0 ? Lab.BROKEN : served.isEmpty() ? Lab.NOT_RUN : Lab.HELD;
    }
}
