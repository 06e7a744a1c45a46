package cairnline.program;

import cairnline.logs.Events;
import cairnline.pools.ConnectionBudget;
import cairnline.routing.Core;
import cairnline.routing.EngineList;
import cairnline.routing.WallClock;
import cairnline.transport.EventLoop;
import cairnline.transport.FeedClient;
import cairnline.transport.HttpLink;
import cairnline.transport.Listener;
import cairnline.transport.ODataFront;
import cairnline.transport.PooledLink;
import java.io.IOException;

/**
 * The OData front with a separate dispatcher and separate engines, since engines that speak OData cannot run the platform's
 * queries.
 */
final class ODataServer {
    private final Core dispatcher;
    private final EngineList listUpdates;
    private final ODataFront front;
    private final Listener listener;
    private final long drainMicros;
    private final FeedClient feedClient;

    ODataServer(Configuration configuration, ODataConfiguration odata, EventLoop loop, Events log) throws IOException {
        var clock = loop.clock();
        var limits = configuration.limits();
        drainMicros = limits.shutdown().draining();
        ConnectionBudget<PooledLink.Connection> connections =
                new ConnectionBudget<>(limits.engines().connections(), limits.engines().idle());
        // OData carries neither load reports nor status updates; their absence must not count as a silent engine.
        dispatcher = new Core(configuration.settings().withoutReports(), configuration.seed(), limits, clock,
                line -> log.warn("module", line),
                (engine, owner) -> new HttpLink(Server.resolveOrUnreachable(engine.address(), log), owner, limits, loop,
                        connections));
        listUpdates = new EngineList(dispatcher, limits, clock);
        listener = new Listener(odata.listen(), limits.clients().connections() / 2, limits, loop, log);
        front = new ODataFront(listener, dispatcher, odata.model(), configuration.clientTimeouts(), limits, log);
        feedClient = odata.feed() == null ? null
                : new FeedClient(odata.feed(), listUpdates, limits, clock, new WallClock(clock), log);
        if (!odata.engines().isEmpty()) {
            dispatcher.listed(true, odata.engines());
        }
    }

    /** Applies the feed address or the engines of a reloaded configuration. */
    void applyConfiguration(ODataConfiguration odata) {
        if (feedClient != null && odata.feed() != null) {
            feedClient.follow(odata.feed());
        } else if (!odata.engines().isEmpty()) {
            dispatcher.listed(true, odata.engines());
        }
    }

    void start() {
        dispatcher.start();
        listUpdates.start();
        front.start();
        if (feedClient != null) {
            feedClient.start();
        }
    }

    /** Starts the shutdown; {@code done} runs when all accepted requests are answered. */
    void stop(Runnable done) {
        front.stopping();
        dispatcher.stopping(done);
    }

    /** Closes the client connections gracefully within the configured drain period. */
    void drain() {
        front.drain(drainMicros);
    }

    int port() {
        return listener.port();
    }
}
