package cairnline.program;

import cairnline.logs.EventSink;
import cairnline.membership.ListedEngine;
import cairnline.pools.ConnectionBudget;
import cairnline.protocol.ClientFrames;
import cairnline.protocol.Resp;
import cairnline.routing.Clock;
import cairnline.routing.Dispatcher;
import cairnline.routing.EngineLink;
import cairnline.transport.ClientFront;
import cairnline.transport.ConnectionMemory;
import cairnline.transport.Listener;
import cairnline.transport.PooledLink;
import cairnline.transport.RespLink;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Uses the platform's protocol: frames towards clients, RESP towards engines. */
final class PlatformProtocolFixture implements ProtocolFixture {
    private final Map<Long, String> requestNamesByStream = new HashMap<>();
    private final ConnectionBudget<PooledLink.Connection> connections = new ConnectionBudget<>(1_024, 20_000_000);
    private long lastStream;
    private final int maxClients;
    private final LazyEventLoop loop = new LazyEventLoop();
    private ClientFront front;

    PlatformProtocolFixture() {
        this(Integer.MAX_VALUE);
    }

    /** Limits the front to a number of concurrent client connections. */
    PlatformProtocolFixture(int maxClients) {
        this.maxClients = maxClients;
    }

    @Override
    public void close() {
        loop.close();
    }

    @Override
    public EngineLink createLink(ListedEngine engine, Dispatcher dispatcher, Configuration configuration, Clock clock) {
        return new RespLink(engine.id(), Configuration.parseAddress("dial", engine.address()), dispatcher,
                configuration.limits(), loop.get(configuration, clock), connections,
                ConnectionMemory.forEngines(configuration.limits()), EventSink.NONE);
    }

    @Override
    public int startFront(Dispatcher dispatcher, Configuration configuration, Clock clock) throws IOException {
        Listener listener = new Listener(configuration.listen(),
                Math.min(maxClients, configuration.limits().clients().connections()), configuration.limits(),
                loop.get(configuration, clock), EventSink.NONE);
        front = new ClientFront(listener, dispatcher, configuration.requestClasses(), configuration.limits(),
                ConnectionMemory.forClients(configuration.limits()), EventSink.NONE);
        front.start();
        return listener.port();
    }

    @Override
    public void announceShutdown() {
        front.announceShutdown();
    }

    /** Returns the request id on the wire for a request's name in a scenario. */
    static String requestId(String name) {
        return String.format("%016x", Long.parseLong(name, 36));
    }

    private static String requestName(String id) {
        return Long.toString(Long.parseLong(id, 16), 36);
    }

    @Override
    public int clientConnectionCount() {
        return front.connectionCount();
    }

    @Override
    public byte[] encodeRequest(Request request) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("op", request.requestClass());
        fields.put("call", requestId(request.name()));
        fields.put("ttl", Long.toString(request.timeoutMillis()));
        fields.put("work", "20.0");
        if (request.orderingKey() != null) {
            fields.put("dedupe", "key-of-" + request.name());
            fields.put("row", requestId(request.orderingKey()));
        }
        requestNamesByStream.put(++lastStream, request.name());
        byte[] statement = ("select * from sales_17.orders -- " + request.name()).getBytes(StandardCharsets.UTF_8);
        return ClientFrames.request(lastStream, fields, statement);
    }

    @Override
    public Reader engineReader() {
        Resp resp = new Resp(5, 300_000);
        return (bytes, count) -> {
            resp.feed(bytes, count);
            List<Message> messages = new ArrayList<>();
            for (List<byte[]> parts = resp.next(); parts != null; parts = resp.next()) {
                String command = new String(parts.get(0), StandardCharsets.UTF_8);
                String id = new String(parts.get(1), StandardCharsets.UTF_8);
                String name = command.equals("top") ? id : requestName(id);
                if (command.equals("do")) {
                    Map<String, String> fields = Resp.fields(new String(parts.get(2), StandardCharsets.UTF_8));
                    messages.add(new Message(name, "asked", fields.getOrDefault("replay", "-")));
                } else {
                    messages.add(new Message(name, command, "-"));
                }
            }
            return messages;
        };
    }

    @Override
    public byte[] encodeAnswer(String requestName, String outcome, String row) {
        return switch (outcome) {
            case "ok" -> Resp.stringArray(requestId(requestName), "ACK", "parts=1,work=20.0,peak=8", row + "\t\t\n");
            case "ready" -> Resp.stringArray(requestName, "READY", "report=inflight:0;util:0.0", "");
            case "full" -> Resp.stringArray(requestId(requestName), "AGAIN", "-", "");
            case "noise" -> (row + "\r\n").getBytes(StandardCharsets.UTF_8);
            case "half" -> Arrays.copyOf(Resp.stringArray(requestId(requestName), "ACK", "parts=1", row + "\t\t\n"), 30);
            case "error" -> Resp.stringArray(requestId(requestName), "EIO", "-", "");
            default -> encodePage(requestName, outcome.split(":"), row);
        };
    }

    /** Encodes page 0 of 3 of a successful answer for {@code pages:3}, and the further page 1 for {@code page:1}. */
    private static byte[] encodePage(String requestName, String[] kindAndNumber, String row) {
        return kindAndNumber[0].equals("pages")
                ? Resp.stringArray(requestId(requestName), "ACK", "parts=" + kindAndNumber[1], row + "\t\t\n")
                : Resp.stringArray(requestId(requestName), "BLOCK", "part_no=" + kindAndNumber[1], row + "\t\t\n");
    }

    @Override
    public Reader clientReader() {
        ClientFrames frames = new ClientFrames(300_000);
        return (bytes, count) -> {
            frames.feed(bytes, count);
            List<Message> messages = new ArrayList<>();
            for (ClientFrames.Frame frame = frames.next(); frame != null; frame = frames.next()) {
                if (frame.type() == ClientFrames.ANSWER) {
                    int code = frame.payload()[0];
                    String body = new String(frame.payload(), 2, frame.payload().length - 2, StandardCharsets.UTF_8);
                    messages.add(new Message(requestNamesByStream.getOrDefault(frame.stream(), "-"),
                            code == 1 ? "served" : code == 0 ? "refused" : "failed",
                            body.replace("\t", "").strip().replace('\n', '|')));
                } else if (frame.type() == ClientFrames.READINESS_ANSWER) {
                    messages.add(new Message("-", "ready" + frame.payload()[0], "-"));
                }
            }
            return messages;
        };
    }
}
