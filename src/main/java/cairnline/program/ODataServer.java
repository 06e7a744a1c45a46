package cairnline.program;

import cairnline.logs.EventSink;
import cairnline.pools.ConnectionBudget;
import cairnline.routing.Dispatcher;
import cairnline.routing.EngineListUpdates;
import cairnline.routing.WallClock;
import cairnline.transport.ConnectionMemory;
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
    private final Dispatcher dispatcher;
    private final EngineListUpdates listUpdates;
    private final ODataFront front;
    private final Listener listener;
    private final long drainMicros;
    private final FeedClient feedClient;

    ODataServer(Configuration configuration, ODataConfiguration odata, EventLoop loop, ConnectionMemory clientMemory,
                ConnectionMemory engineMemory, EventSink log) throws IOException {
        var clock = loop.clock();
        var limits = configuration.limits();
        drainMicros = limits.shutdown().drainPeriod();
        ConnectionBudget<PooledLink.Connection> connections =
                new ConnectionBudget<>(limits.engines().connections(), limits.engines().idleTimeout());
        // OData carries neither load reports nor status updates; their absence must not count as a silent engine.
        dispatcher = new Dispatcher(configuration.settings().withoutReports(), configuration.seed(), limits, clock,
                line -> log.warn("module", line),
                (engine, owner) -> new HttpLink(Server.resolveOrUnreachable(engine.address(), log), owner, limits, loop,
                        connections, engineMemory));
        listUpdates = new EngineListUpdates(dispatcher, limits, clock);
        listener = new Listener(odata.listen(), limits.clients().connections() / 2, limits, loop, log);
        front = new ODataFront(listener, dispatcher, odata.model(), configuration.clientTimeouts(), limits, clientMemory,
                log);
        feedClient = odata.feed() == null ? null
                : new FeedClient(odata.feed(), listUpdates, limits, clock, new WallClock(clock), log);
        if (!odata.engines().isEmpty()) {
            dispatcher.listUpdated(true, odata.engines());
        }
    }

    /** Applies the feed address or the engines of a reloaded configuration. */
    void applyConfiguration(ODataConfiguration odata) {
        if (feedClient != null && odata.feed() != null) {
            feedClient.changeAddress(odata.feed());
        } else if (!odata.engines().isEmpty()) {
            dispatcher.listUpdated(true, odata.engines());
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
        front.announceShutdown();
        dispatcher.shutDown(done);
    }

    /** Closes the client connections gracefully within the configured drain period. */
    void drain() {
        front.drain(drainMicros);
    }

    /** Ends the thread that reads the control feed, if any. */
    void stopFeed() {
        if (feedClient != null) {
            feedClient.stop();
        }
    }

    int port() {
        return listener.port();
    }
}
