package cairnline.transport;

import cairnline.pools.ConnectionBudget;
import cairnline.routing.Attempt;
import cairnline.routing.Dispatcher;
import cairnline.routing.Limits;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;

/** The connections to one engine that speaks OData; each carries one request at a time. */
public final class HttpLink extends PooledLink<HttpConnection> {
    private final InetSocketAddress address;
    private final Dispatcher dispatcher;
    private final Limits limits;
    private final EventLoop loop;
    private final ConnectionMemory memory;

    /** Creates a link, which connects when it sends its first attempt. */
    public HttpLink(InetSocketAddress address, Dispatcher dispatcher, Limits limits, EventLoop loop,
                    ConnectionBudget<Connection> budget, ConnectionMemory memory) {
        super(limits.http().connections(), budget, loop.clock());
        this.address = address;
        this.dispatcher = dispatcher;
        this.limits = limits;
        this.loop = loop;
        this.memory = memory;
    }

    @Override
    public boolean send(Attempt attempt) {
        HttpConnection connection = acquire(HttpConnection::isIdle, candidate -> 0, 1, () -> {
            // Connect before the request is enqueued, since it is written only on a connected socket.
            HttpConnection opened = new HttpConnection(this, address, dispatcher, limits, loop, memory);
            opened.connect();
            return opened;
        });
        return connection != null && connection.start(attempt);
    }

    @Override
    public void setPriority(Attempt attempt, int priority) {
        // OData cannot change the priority of a running request.
    }

    @Override
    public boolean probe(Consumer<Map<String, Double>> answer) {
        // OData cannot query the load of an engine.
        return false;
    }
}
