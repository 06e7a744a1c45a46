package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.pools.ConnectionBudget;
import cairnline.routing.Attempt;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;

/** The way to one engine that speaks RESP; each connection carries many requests. */
public final class RespLink extends PooledLink<RespConnection> {
    private final String engine;
    private final InetSocketAddress address;
    private final Core core;
    private final Limits limits;
    private final EventLoop loop;
    private final EventSink log;

    /** A link without a connection to the engine with this id. */
    public RespLink(String engine, InetSocketAddress address, Core core, Limits limits, EventLoop loop,
                    ConnectionBudget<Connection> budget, EventSink log) {
        super(limits.engines().connectionsEach(), budget, loop.clock());
        this.engine = engine;
        this.address = address;
        this.core = core;
        this.limits = limits;
        this.loop = loop;
        this.log = log;
    }

    String engine() {
        return engine;
    }

    EventSink log() {
        return log;
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
        return connection(known -> known.hasRoom(id), RespConnection::load, limits.engines().streamsSpread(), () -> {
            RespConnection opened = new RespConnection(this, core, limits, loop);
            opened.connect(address);
            return opened;
        });
    }

    @Override
    public void prioritise(Attempt attempt, int priority) {
        connections().forEach(connection -> connection.bump(attempt, priority));
    }

    @Override
    public boolean probe(Consumer<Map<String, Double>> answer) {
        RespConnection connection = connection("");
        return connection != null && connection.probe(answer);
    }
}
