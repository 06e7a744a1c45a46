import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Requests that were taken before a planned restart need a final answer, also those that wait behind another one. */
final class Case9 extends Case {
    private static final long WORK_MILLIS = 300;
    private static final int REQUESTS = 5;

    private Case9() throws Exception {
        super("9");
    }

    public static void main(String[] args) throws Exception {
        new Case9().run();
    }

    private void handle(Http.Message request, Socket socket) throws Exception {
        note("engine got " + request.firstLine());
        Thread.sleep(WORK_MILLIS);
        socket.getOutputStream().write(Http.answer(200, "{\"Asked\":\"" + request.target() + "\"}"));
    }

    @Override
    void play() throws Exception {
        ODataEngineStandIn engine = new ODataEngineStandIn(this, this::handle);
        FeedStandIn feed = new FeedStandIn(this);
        int listen = freePort();
        int odata = freePort();
        Path file = Files.writeString(folder.resolve("odata.json"), ODataEngineStandIn.file(odata, engine.port()));
        Process manager = startManager(configuration(listen, feed.port(), "{\"n\": 0, \"events\": []}", Map.of()),
                file.toString(), listen, odata);
        Socket client = Http.connect(odata, 10_000);
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        for (int i = 1; i <= REQUESTS; i++) {
            requests.writeBytes(Http.request("GET", "/Books(" + i + ")", "", ""));
        }
        client.getOutputStream().write(requests.toByteArray());
        note("the client has sent " + REQUESTS + " requests on one connection");
        Thread.sleep(150);
        if (trouble) {
            signal(manager, "TERM");
            note("SIGTERM was sent");
        }
        int answered = 0;
        try {
            for (; answered < REQUESTS; answered++) {
                Http.Message answer = Http.read(client.getInputStream());
                note("the client got " + answer.status() + " " + answer.text());
            }
        } catch (IOException e) {
            violation((REQUESTS - answered) + " of " + REQUESTS + " requests got no answer: " + e.getMessage());
        }
        if (trouble) {
            note("the workload manager ended: " + manager.waitFor(10, java.util.concurrent.TimeUnit.SECONDS));
        }
    }
}
