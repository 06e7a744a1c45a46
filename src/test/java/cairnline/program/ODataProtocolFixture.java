package cairnline.program;

import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataModel;
import cairnline.pools.ConnectionBudget;
import cairnline.logs.Events;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.EngineLink;
import cairnline.membership.ListedEngine;
import cairnline.transport.HttpLink;
import cairnline.transport.Listener;
import cairnline.transport.ODataFront;
import cairnline.transport.PooledLink;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** OData over HTTP/1.1 to clients and engines. */
final class ODataProtocolFixture implements ProtocolFixture {
    static final ODataModel MODEL = new ODataModel(Map.of("Books",
            new ODataModel.EntitySet("Books", "lookup", "report", "load", "ID", "Edm.Int64", 17)));
    private final ConnectionBudget<PooledLink.Connection> connections = new ConnectionBudget<>(1_024, 20_000_000);
    private static final String JSON = "application/json";
    private final int mostClients;
    private final TestLoop loop = new TestLoop();
    private ODataFront front;

    ODataProtocolFixture() {
        this(Integer.MAX_VALUE);
    }

    /** A front that takes so many clients at once. */
    ODataProtocolFixture(int mostClients) {
        this.mostClients = mostClients;
    }

    @Override
    public void close() {
        loop.close();
    }

    @Override
    public EngineLink link(ListedEngine engine, Core core, Configuration configuration, Clock clock) {
        return new HttpLink(Configuration.parseAddress("dial", engine.address()), core, configuration.limits(),
                loop.get(configuration, clock), connections);
    }

    @Override
    public int start(Core core, Configuration configuration, Clock clock) throws IOException {
        Listener listener = new Listener(configuration.listen(), Math.min(mostClients, configuration.limits().clients().connections()),
                configuration.limits(), loop.get(configuration, clock), Events.NONE);
        front = new ODataFront(listener, core, MODEL, configuration.patience(), configuration.limits(), Events.NONE);
        front.start();
        return listener.port();
    }

    @Override
    public void stopping() {
        front.stopping();
    }

    @Override
    public int connections() {
        return front.connections();
    }

    @Override
    public byte[] ask(Ask ask) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("host", "localhost");
        headers.put("prefer", "wait=" + Math.max(1, ask.ttlMs() / 1000));
        if (ask.key() == null) {
            return HttpMessage.request("GET", "/Books(1)?r=" + ask.name(), headers, new byte[0]).bytes();
        }
        headers.put("content-type", JSON);
        headers.put("repeatability-request-id", "key-of-" + ask.name());
        headers.put("repeatability-first-sent", "Tue, 01 Dec 2026 10:00:00 GMT");
        return HttpMessage.request("PATCH", "/Books('" + ask.key() + "')?r=" + ask.name(), headers,
                "{}".getBytes(StandardCharsets.UTF_8)).bytes();
    }

    @Override
    public Reader engineReader() {
        HttpDecoder decoder = new HttpDecoder(16_384, 1 << 20);
        return (bytes, count) -> {
            decoder.feed(bytes, count);
            List<Heard> heard = new ArrayList<>();
            for (HttpMessage m = decoder.next(); m != null; m = decoder.next()) {
                String key = m.header("repeatability-request-id");
                heard.add(new Heard(m.target().substring(m.target().indexOf("r=") + 2), "asked",
                        key.isEmpty() ? "-" : key));
            }
            return heard;
        };
    }

    @Override
    public byte[] reply(String name, String outcome, String row) {
        if (outcome.startsWith("next:") || outcome.equals("last")) {
            String link = outcome.equals("last") ? "" : ",\"@odata.nextLink\":\"/Books?r=" + outcome.substring(5) + "\"";
            return HttpMessage.response(200, JSON,
                    ("{\"value\":[\"" + row + "\"]" + link + "}").getBytes(StandardCharsets.UTF_8)).bytes();
        }
        int status = switch (outcome) {
            case "ok" -> 200;
            case "full" -> 503;
            case "error" -> 500;
            default -> throw new IllegalArgumentException(outcome);
        };
        // The name comes back in a header of the answer's body, since HTTP answers bear no id.
        byte[] body = ("{\"name\":\"" + name + "\",\"row\":\"" + row + "\"}").getBytes(StandardCharsets.UTF_8);
        return HttpMessage.response(status, JSON, body).bytes();
    }

    @Override
    public Reader clientReader() {
        HttpDecoder decoder = new HttpDecoder(16_384, 1 << 20);
        return (bytes, count) -> {
            decoder.feed(bytes, count);
            List<Heard> heard = new ArrayList<>();
            for (HttpMessage m = decoder.next(); m != null; m = decoder.next()) {
                String body = new String(m.body(), StandardCharsets.UTF_8);
                String outcome = m.status() < 400 ? "served" : m.status() == 503 ? "refused" : "failed";
                boolean named = m.status() < 400;
                heard.add(new Heard(named ? between(body, "\"name\":\"") : "-", outcome,
                        named ? between(body, "\"row\":\"") : "-"));
            }
            return heard;
        };
    }

    private static String between(String body, String start) {
        int at = body.indexOf(start) + start.length();
        return body.substring(at, body.indexOf('"', at));
    }
}
