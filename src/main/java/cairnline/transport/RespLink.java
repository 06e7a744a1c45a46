package cairnline.transport;

import cairnline.routing.Attempt;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.EngineLink;
import cairnline.routing.Limits;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The way to one engine that speaks RESP: connections opened as needed, each carrying many requests. */
public final class RespLink implements EngineLink {
    private final InetSocketAddress address;
    private final Core core;
    private final Limits limits;
    private final Clock clock;
    /** Only the core's thread touches these. */
    private final List<RespConnection> connections = new ArrayList<>();
    private volatile long lastSend = Long.MAX_VALUE;

    /** A link without a connection. */
    public RespLink(InetSocketAddress address, Core core, Limits limits, Clock clock) {
        this.address = address;
        this.core = core;
        this.limits = limits;
        this.clock = clock;
    }

    @Override
    public boolean send(Attempt attempt) {
        RespConnection connection = connection(attempt.request().id());
        return connection != null && connection.start(attempt);
    }

    /**
     * One that does not know the id: there the answer to an earlier attempt of the same request, which bears the
     * same id, could be taken for the answer to this one.
     */
    private RespConnection connection(String id) {
        connections.removeIf(RespConnection::isOver);
        for (RespConnection connection : connections) {
            if (connection.hasRoom(id)) {
                return connection;
            }
        }
        if (connections.size() >= limits.engineConnections()) {
            return null;
        }
        RespConnection opened = new RespConnection(this, core, limits, clock);
        connections.add(opened);
        opened.connect(address);
        return opened;
    }

    @Override
    public void giveUp(Attempt attempt) {
        connections.forEach(connection -> connection.undo(attempt));
    }

    @Override
    public void prioritise(Attempt attempt, int priority) {
        connections.forEach(connection -> connection.bump(attempt, priority));
    }

    @Override
    public boolean probe(Consumer<Map<String, Double>> answer) {
        RespConnection connection = connection("");
        return connection != null && connection.probe(answer);
    }

    @Override
    public void lastSend(long time) {
        lastSend = time;
    }

    long lastSend() {
        return lastSend;
    }

    @Override
    public void renew() {
        connections.forEach(RespConnection::close);
        connections.clear();
    }

    @Override
    public void close() {
        renew();
    }
}
