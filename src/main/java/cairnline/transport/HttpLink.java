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

/** The way to one engine that speaks OData: a pool of connections, each carrying one request at a time. */
public final class HttpLink implements EngineLink {
    private final InetSocketAddress address;
    private final Core core;
    private final Limits limits;
    private final Clock clock;
    /** Only the core's thread touches these. */
    private final List<HttpConnection> connections = new ArrayList<>();
    private volatile long lastSend = Long.MAX_VALUE;

    /** A link without a connection. */
    public HttpLink(InetSocketAddress address, Core core, Limits limits, Clock clock) {
        this.address = address;
        this.core = core;
        this.limits = limits;
        this.clock = clock;
    }

    @Override
    public boolean send(Attempt attempt) {
        connections.removeIf(HttpConnection::isOver);
        for (HttpConnection connection : connections) {
            if (connection.start(attempt)) {
                return true;
            }
        }
        if (connections.size() >= limits.engineStreams()) {
            return false;
        }
        HttpConnection opened = new HttpConnection(this, address, core, limits, clock);
        connections.add(opened);
        opened.connect();
        return opened.start(attempt);
    }

    @Override
    public void giveUp(Attempt attempt) {
        connections.forEach(connection -> connection.giveUp(attempt));
    }

    @Override
    public void prioritise(Attempt attempt, int priority) {
        // OData has no word for the priority of a request that runs.
    }

    @Override
    public boolean probe(Consumer<Map<String, Double>> answer) {
        // Nor has it one for an engine's load.
        return false;
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
        connections.forEach(HttpConnection::close);
        connections.clear();
    }

    @Override
    public void close() {
        renew();
    }
}
