package cairnline.program;

import cairnline.logs.EventSink;
import cairnline.membership.ListedEngine;
import cairnline.pools.ConnectionBudget;
import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataModel;
import cairnline.routing.Clock;
import cairnline.routing.Dispatcher;
import cairnline.routing.EngineLink;
import cairnline.transport.ConnectionMemory;
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

/** Uses OData over HTTP/1.1 towards clients and engines. */
final class ODataProtocolFixture implements ProtocolFixture {
    static final ODataModel MODEL = new ODataModel(Map.of("Books",
            new ODataModel.EntitySet("Books", "lookup", "report", "load", "ID", "Edm.Int64", 17)));
    private final ConnectionBudget<PooledLink.Connection> connections = new ConnectionBudget<>(1_024, 20_000_000);
    private static final String JSON = "application/json";
    private final int maxClients;
    private final LazyEventLoop loop = new LazyEventLoop();
    private ODataFront front;

    ODataProtocolFixture() {
        this(Integer.MAX_VALUE);
    }

    /** Limits the front to a number of concurrent client connections. */
    ODataProtocolFixture(int maxClients) {
        this.maxClients = maxClients;
    }

    @Override
    public void close() {
        loop.close();
    }

    @Override
    public EngineLink createLink(ListedEngine engine, Dispatcher dispatcher, Configuration configuration, Clock clock) {
        return new HttpLink(Configuration.parseAddress("dial", engine.address()), dispatcher, configuration.limits(),
                loop.get(configuration, clock), connections, ConnectionMemory.forEngines(configuration.limits()));
    }

    @Override
    public int startFront(Dispatcher dispatcher, Configuration configuration, Clock clock) throws IOException {
        Listener listener = new Listener(configuration.listen(),
                Math.min(maxClients, configuration.limits().clients().connections()), configuration.limits(),
                loop.get(configuration, clock), EventSink.NONE);
        front = new ODataFront(listener, dispatcher, MODEL, configuration.clientTimeouts(), configuration.limits(),
                ConnectionMemory.forClients(configuration.limits()), EventSink.NONE);
        front.start();
        return listener.port();
    }

    @Override
    public void announceShutdown() {
        front.announceShutdown();
    }

    @Override
    public int clientConnectionCount() {
        return front.connectionCount();
    }

    @Override
    public byte[] encodeRequest(Request request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("host", "localhost");
        headers.put("prefer", "wait=" + Math.max(1, request.timeoutMillis() / 1000));
        if (request.orderingKey() == null) {
            return HttpMessage.request("GET", "/Books(1)?r=" + request.name(), headers, new byte[0]).encode();
        }
        headers.put("content-type", JSON);
        headers.put("repeatability-request-id", "key-of-" + request.name());
        headers.put("repeatability-first-sent", "Tue, 01 Dec 2026 10:00:00 GMT");
        return HttpMessage.request("PATCH", "/Books('" + request.orderingKey() + "')?r=" + request.name(), headers,
                "{}".getBytes(StandardCharsets.UTF_8)).encode();
    }

    @Override
    public Reader engineReader() {
        HttpDecoder decoder = new HttpDecoder(16_384, 1 << 20);
        return (bytes, count) -> {
            decoder.feed(bytes, count);
            List<Message> messages = new ArrayList<>();
            for (HttpMessage request = decoder.next(); request != null; request = decoder.next()) {
                String idempotencyKey = request.header("repeatability-request-id");
                messages.add(new Message(request.target().substring(request.target().indexOf("r=") + 2), "asked",
                        idempotencyKey.isEmpty() ? "-" : idempotencyKey));
            }
            return messages;
        };
    }

    @Override
    public byte[] encodeAnswer(String requestName, String outcome, String row) {
        if (outcome.startsWith("next:") || outcome.equals("last")) {
            String link = outcome.equals("last") ? "" : ",\"@odata.nextLink\":\"/Books?r=" + outcome.substring(5) + "\"";
            return HttpMessage.response(200, JSON,
                    ("{\"value\":[\"" + row + "\"]" + link + "}").getBytes(StandardCharsets.UTF_8)).encode();
        }
        if (outcome.equals("spoilt")) {
            return HttpMessage.response(200, JSON, "{\"row\":".getBytes(StandardCharsets.UTF_8)).encode();
        }
        int status = switch (outcome) {
            case "ok" -> 200;
            case "full" -> 503;
            case "error" -> 500;
            default -> throw new IllegalArgumentException(outcome);
        };
        // The request's name is part of the body, since HTTP answers carry no request id.
        byte[] body = ("{\"name\":\"" + requestName + "\",\"row\":\"" + row + "\"}").getBytes(StandardCharsets.UTF_8);
        return HttpMessage.response(status, JSON, body).encode();
    }

    @Override
    public Reader clientReader() {
        HttpDecoder decoder = new HttpDecoder(16_384, 1 << 20);
        return (bytes, count) -> {
            decoder.feed(bytes, count);
            List<Message> messages = new ArrayList<>();
            for (HttpMessage answer = decoder.next(); answer != null; answer = decoder.next()) {
                if (answer.isInterim()) {
                    continue;
                }
                String body = new String(answer.body(), StandardCharsets.UTF_8);
                String outcome = answer.status() < 400 ? "served" : answer.status() == 503 ? "refused" : "failed";
                boolean served = answer.status() < 400;
                messages.add(new Message(served ? textAfter(body, "\"name\":\"") : "-", outcome,
                        served ? textAfter(body, "\"row\":\"") : "-"));
            }
            return messages;
        };
    }

    /** Returns the text from the end of {@code prefix} to the next quotation mark. */
    private static String textAfter(String body, String prefix) {
        int start = body.indexOf(prefix) + prefix.length();
        return body.substring(start, body.indexOf('"', start));
    }
}
