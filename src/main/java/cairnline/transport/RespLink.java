package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.pools.ConnectionBudget;
import cairnline.routing.Attempt;
import cairnline.routing.Dispatcher;
import cairnline.routing.Limits;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;

/** The connections to one engine that speaks RESP; each carries many requests at a time. */
public final class RespLink extends PooledLink<RespConnection> {
    private final String engine;
    private final InetSocketAddress address;
    private final Dispatcher dispatcher;
    private final Limits limits;
    private final EventLoop loop;
    private final ConnectionMemory memory;
    private final EventSink log;

    /** Creates a link to the engine with this id, which connects when it first sends something. */
    public RespLink(String engine, InetSocketAddress address, Dispatcher dispatcher, Limits limits, EventLoop loop,
                    ConnectionBudget<Connection> budget, ConnectionMemory memory, EventSink log) {
        super(limits.engines().connectionsPerEngine(), budget, loop.clock());
        this.engine = engine;
        this.address = address;
        this.dispatcher = dispatcher;
        this.limits = limits;
        this.loop = loop;
        this.memory = memory;
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
        RespConnection connection = acquireConnection(attempt.request().id());
        return connection != null && connection.start(attempt);
    }

    /**
     * Returns a connection on which the id is not in use. Attempts of the same request have the same id, so a late answer to
     * an earlier attempt could otherwise be mistaken for the answer to this one.
     */
    private RespConnection acquireConnection(String id) {
        return acquire(candidate -> candidate.canStart(id), RespConnection::openRequestCount,
                limits.engines().streamsBeforeNewConnection(), () -> {
                    RespConnection newConnection = new RespConnection(this, dispatcher, limits, loop, memory);
                    newConnection.connect(address);
                    return newConnection;
                });
    }

    @Override
    public void setPriority(Attempt attempt, int priority) {
        connections().forEach(connection -> connection.setPriority(attempt, priority));
    }

    @Override
    public boolean probe(Consumer<Map<String, Double>> answer) {
        RespConnection connection = acquireConnection("");
        return connection != null && connection.sendProbe(answer);
    }
}
