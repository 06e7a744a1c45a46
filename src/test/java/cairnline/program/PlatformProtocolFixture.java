package cairnline.program;

import cairnline.protocol.ClientFrames;
import cairnline.protocol.Resp;
import cairnline.pools.ConnectionBudget;
import cairnline.logs.Events;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.EngineLink;
import cairnline.membership.ListedEngine;
import cairnline.transport.ClientFront;
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

/** The platform's protocol: frames to clients, RESP to engines. */
final class PlatformProtocolFixture implements ProtocolFixture {
    private final Map<Long, String> streams = new HashMap<>();
    private final ConnectionBudget<PooledLink.Connection> connections = new ConnectionBudget<>(1_024, 20_000_000);
    private long lastStream;
    private final int mostClients;
    private final TestLoop loop = new TestLoop();
    private ClientFront front;

    PlatformProtocolFixture() {
        this(Integer.MAX_VALUE);
    }

    /** A front that takes so many clients at once. */
    PlatformProtocolFixture(int mostClients) {
        this.mostClients = mostClients;
    }

    @Override
    public void close() {
        loop.close();
    }

    @Override
    public EngineLink link(ListedEngine engine, Core core, Configuration configuration, Clock clock) {
        return new RespLink(engine.id(), Configuration.parseAddress("dial", engine.address()), core, configuration.limits(),
                loop.get(configuration, clock), connections, Events.NONE);
    }

    @Override
    public int start(Core core, Configuration configuration, Clock clock) throws IOException {
        Listener listener = new Listener(configuration.listen(), Math.min(mostClients, configuration.limits().clients().connections()),
                configuration.limits(), loop.get(configuration, clock), Events.NONE);
        front = new ClientFront(listener, core, configuration.classes(), configuration.limits(), Events.NONE);
        front.start();
        return listener.port();
    }

    @Override
    public void stopping() {
        front.stopping();
    }

    /** The id that stands for a request's name. */
    static String id(String name) {
        return String.format("%016x", Long.parseLong(name, 36));
    }

    private static String name(String id) {
        return Long.toString(Long.parseLong(id, 16), 36);
    }

    @Override
    public int connections() {
        return front.connections();
    }

    @Override
    public byte[] ask(Ask ask) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("op", ask.type());
        fields.put("call", id(ask.name()));
        fields.put("ttl", Long.toString(ask.ttlMs()));
        fields.put("work", "20.0");
        if (ask.key() != null) {
            fields.put("dedupe", "key-of-" + ask.name());
            fields.put("row", id(ask.key()));
        }
        streams.put(++lastStream, ask.name());
        byte[] statement = ("select * from sales_17.orders -- " + ask.name()).getBytes(StandardCharsets.UTF_8);
        return ClientFrames.request(lastStream, fields, statement);
    }

    @Override
    public Reader engineReader() {
        Resp resp = new Resp(5, 300_000);
        return (bytes, count) -> {
            resp.feed(bytes, count);
            List<Heard> heard = new ArrayList<>();
            for (List<byte[]> parts = resp.next(); parts != null; parts = resp.next()) {
                String word = new String(parts.get(0), StandardCharsets.UTF_8);
                String id = new String(parts.get(1), StandardCharsets.UTF_8);
                String name = word.equals("top") ? id : name(id);
                if (word.equals("do")) {
                    Map<String, String> fields = Resp.fields(new String(parts.get(2), StandardCharsets.UTF_8));
                    heard.add(new Heard(name, "asked", fields.getOrDefault("replay", "-")));
                } else {
                    heard.add(new Heard(name, word, "-"));
                }
            }
            return heard;
        };
    }

    @Override
    public byte[] reply(String name, String outcome, String row) {
        return switch (outcome) {
            case "ok" -> Resp.words(id(name), "ACK", "parts=1,work=20.0,peak=8", row + "\t\t\n");
            case "ready" -> Resp.words(name, "READY", "report=inflight:0;util:0.0", "");
            case "full" -> Resp.words(id(name), "AGAIN", "-", "");
            case "noise" -> (row + "\r\n").getBytes(StandardCharsets.UTF_8);
            case "half" -> Arrays.copyOf(Resp.words(id(name), "ACK", "parts=1", row + "\t\t\n"), 30);
            case "error" -> Resp.words(id(name), "EIO", "-", "");
            default -> page(name, outcome.split(":"), row);
        };
    }

    /** {@code pages:3} answers well with page 0 of 3, {@code page:1} is a further page. */
    private static byte[] page(String name, String[] which, String row) {
        return which[0].equals("pages") ? Resp.words(id(name), "ACK", "parts=" + which[1], row + "\t\t\n")
                : Resp.words(id(name), "BLOCK", "part_no=" + which[1], row + "\t\t\n");
    }

    @Override
    public Reader clientReader() {
        ClientFrames frames = new ClientFrames(300_000);
        return (bytes, count) -> {
            frames.feed(bytes, count);
            List<Heard> heard = new ArrayList<>();
            for (ClientFrames.Frame frame = frames.next(); frame != null; frame = frames.next()) {
                if (frame.type() == ClientFrames.ANSWER) {
                    int code = frame.payload()[0];
                    String body = new String(frame.payload(), 2, frame.payload().length - 2, StandardCharsets.UTF_8);
                    heard.add(new Heard(streams.getOrDefault(frame.stream(), "-"),
                            code == 1 ? "served" : code == 0 ? "refused" : "failed", body.replace("\t", "").strip().replace('\n', '|')));
                } else if (frame.type() == ClientFrames.READY_ANSWER) {
                    heard.add(new Heard("-", "ready" + frame.payload()[0], "-"));
                }
            }
            return heard;
        };
    }
}
