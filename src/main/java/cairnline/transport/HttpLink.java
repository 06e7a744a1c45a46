package cairnline.transport;

import cairnline.pools.ConnectionBudget;
import cairnline.routing.Attempt;
import cairnline.routing.Dispatcher;
import cairnline.routing.Limits;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;

/** The way to one engine that speaks OData; each connection carries one request at a time. */
public final class HttpLink extends PooledLink<HttpConnection> {
    private final InetSocketAddress address;
    private final Dispatcher core;
    private final Limits limits;
    private final EventLoop loop;

    /** A link without a connection. */
    public HttpLink(InetSocketAddress address, Dispatcher core, Limits limits, EventLoop loop,
                    ConnectionBudget<Connection> budget) {
        super(limits.http().connections(), budget, loop.clock());
        this.address = address;
        this.core = core;
        this.limits = limits;
        this.loop = loop;
    }

    @Override
    public boolean send(Attempt attempt) {
        HttpConnection connection = connection(HttpConnection::isIdle, free -> 0, 1, () -> {
            // Connecting comes first: the request's letter must find the socket up.
            HttpConnection opened = new HttpConnection(this, address, core, limits, loop);
            opened.connect();
            return opened;
        });
        return connection != null && connection.start(attempt);
    }

    @Override
    public void setPriority(Attempt attempt, int priority) {
        // OData has no word for the priority of a request that runs.
    }

    @Override
    public boolean probe(Consumer<Map<String, Double>> answer) {
        // Nor has it one for an engine's load.
        return false;
    }
}
