import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Two loads of one key must run in the order in which they were taken, also if the first came in a batch after a lookup. */
final class Case10 extends Case {
    private static final long LOOKUP_MILLIS = 40;
    private static final long LOAD_MILLIS = 100;
    /** A load of 5,000 ms of work on 2 threads. */
    private static final long HOLDING_LOAD_MILLIS = 2_500;
    private static final long BETWEEN_CLIENTS_MILLIS = 500;
    private static final int ROUNDS = 4;

    private final List<String> bookWrites = new CopyOnWriteArrayList<>();
    /** Held by the load that holds the schema of the shops. */
    private final Object shops = new Object();

    private Case10() throws Exception {
        super("10");
    }

    public static void main(String[] args) throws Exception {
        new Case10().run();
    }

    private void handle(Http.Message request, Socket socket) throws Exception {
        note("engine got " + request.firstLine() + " " + request.text());
        boolean load = !request.method().equals("GET");
        if (request.target().startsWith("/Shops")) {
            synchronized (shops) {
                Thread.sleep(load ? HOLDING_LOAD_MILLIS : LOOKUP_MILLIS);
            }
        } else {
            bookWrites.add(request.text());
            Thread.sleep(LOAD_MILLIS);
        }
        socket.getOutputStream().write(Http.answer(200, load ? request.text() : "{\"ID\":1}"));
        note("engine answered " + request.firstLine());
    }

    @Override
    void play() throws Exception {
        ODataEngineStandIn engine = new ODataEngineStandIn(this, this::handle);
        FeedStandIn feed = new FeedStandIn(this);
        int listen = freePort();
        int odata = freePort();
        Path file = Files.writeString(folder.resolve("odata.json"), ODataEngineStandIn.file(odata, engine.port()));
        startManager(configuration(listen, feed.port(), "{\"n\": 0, \"events\": []}", Map.of()), file.toString(), listen, odata);
        for (int round = 1; round <= ROUNDS; round++) {
            playRound(odata, round);
        }
    }

    private void playRound(int port, int round) throws Exception {
        bookWrites.clear();
        String older = "{\"Price\":" + round * 10 + "}";
        String newer = "{\"Price\":" + (round * 10 + 1) + "}";
        String target = "Books(" + round + ")";
        Socket first = Http.connect(port, 20_000);
        Socket second = Http.connect(port, 20_000);
        Socket third = Http.connect(port, 20_000);
        if (trouble) {
            third.getOutputStream().write(Http.request("PATCH", "/Shops(1)", "", "{\"Open\":true}"));
            note("client 3 has sent a load that holds the schema of the shops");
            Thread.sleep(200);
        }
        first.getOutputStream().write(Http.request("POST", "/$batch", "", "{\"requests\":[{\"id\":\"1\",\"method\":\"GET\",\"url\":\""
                + "Shops(1)\"},{\"id\":\"2\",\"method\":\"PATCH\",\"url\":\"" + target + "\",\"body\":" + older + "}]}"));
        note("client 1 has sent a batch: a lookup of a shop, then the load " + older + " of " + target);
        Thread.sleep(BETWEEN_CLIENTS_MILLIS);
        second.getOutputStream().write(Http.request("PATCH", "/" + target, "", newer));
        note("client 2 has sent the load " + newer + " of " + target);
        Http.Message secondAnswer = Http.read(second.getInputStream());
        note("client 2 got " + secondAnswer.status() + " " + secondAnswer.text());
        Http.Message firstAnswer = Http.read(first.getInputStream());
        note("client 1 got " + firstAnswer.status() + " " + firstAnswer.text());
        first.close();
        second.close();
        third.close();
        note("the engine ran, in this order: " + bookWrites);
        if (!bookWrites.contains(older) || !bookWrites.contains(newer)) {
            note("a load was not run; this round shows nothing");
        } else if (bookWrites.indexOf(newer) < bookWrites.indexOf(older)) {
            violation("loads of " + target + " were taken as " + older + ", " + newer + " and ran as " + bookWrites);
        }
    }
}
