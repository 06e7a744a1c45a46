package cairnline.program;

import cairnline.logs.EventSink;
import cairnline.pools.ConnectionBudget;
import cairnline.routing.Dispatcher;
import cairnline.routing.EngineListUpdates;
import cairnline.routing.WallClock;
import cairnline.transport.EventLoop;
import cairnline.transport.FeedClient;
import cairnline.transport.HttpLink;
import cairnline.transport.Listener;
import cairnline.transport.ODataFront;
import cairnline.transport.PooledLink;
import java.io.IOException;

/** The OData front with a core and engines of its own: engines that speak OData can't run what the platform sends. */
final class ODataServer {
    private final Dispatcher core;
    private final EngineListUpdates list;
    private final ODataFront front;
    private final Listener listener;
    private final long drainMost;
    private final FeedClient feed;

    ODataServer(Configuration configuration, ODataConfiguration odata, EventLoop loop, EventSink log) throws IOException {
        var clock = loop.clock();
        var limits = configuration.limits();
        drainMost = limits.shutdown().drainPeriod();
        ConnectionBudget<PooledLink.Connection> connections =
                new ConnectionBudget<>(limits.engines().connections(), limits.engines().idleTimeout());
        // OData has no words for a load or for notes: their absence must not count as silence.
        core = new Dispatcher(configuration.settings().withoutReports(), configuration.seed(), limits, clock,
                line -> log.warn("module", line),
                (engine, owner) -> new HttpLink(Server.reach(engine.address(), log), owner, limits, loop, connections));
        list = new EngineListUpdates(core, limits, clock);
        listener = new Listener(odata.listen(), limits.clients().connections() / 2, limits, loop, log);
        front = new ODataFront(listener, core, odata.model(), configuration.patience(), limits, log);
        feed = odata.feed() == null ? null : new FeedClient(odata.feed(), list, limits, clock, new WallClock(clock), log);
        if (!odata.engines().isEmpty()) {
            core.listUpdated(true, odata.engines());
        }
    }

    /** Takes up the feed or the engines that its file names now. */
    void follow(ODataConfiguration odata) {
        if (feed != null && odata.feed() != null) {
            feed.changeAddress(odata.feed());
        } else if (!odata.engines().isEmpty()) {
            core.listUpdated(true, odata.engines());
        }
    }

    void start() {
        core.start();
        list.start();
        front.start();
        if (feed != null) {
            feed.start();
        }
    }

    /** Ends as the platform's front does; {@code done} runs when all that was taken is answered. */
    void stop(Runnable done) {
        front.announceShutdown();
        core.shutDown(done);
    }

    /** Ends its connections in order. */
    void drain() {
        front.drain(drainMost);
    }

    int port() {
        return listener.port();
    }
}
