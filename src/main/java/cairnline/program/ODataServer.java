package cairnline.program;

import cairnline.logs.EventSink;
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

/** The OData front with a core and engines of its own: engines that speak OData can't run what the platform sends. */
final class ODataServer {
    private final Core core;
    private final EngineList list;
    private final ODataFront front;
    private final Listener listener;
    private final long drainMost;
    private final FeedClient feed;

    ODataServer(Configuration configuration, ODataConfiguration odata, EventLoop loop, EventSink log) throws IOException {
        var clock = loop.clock();
        var limits = configuration.limits();
        drainMost = limits.shutdown().draining();
        ConnectionBudget<PooledLink.Connection> connections =
                new ConnectionBudget<>(limits.engines().connections(), limits.engines().idle());
        // OData has no words for a load or for notes: their absence must not count as silence.
        core = new Core(configuration.settings().withoutReports(), configuration.seed(), limits, clock,
                line -> log.warn("module", line),
                (engine, owner) -> new HttpLink(Server.reach(engine.address(), log), owner, limits, loop, connections));
        list = new EngineList(core, limits, clock);
        listener = new Listener(odata.listen(), limits.clients().connections() / 2, limits, loop, log);
        front = new ODataFront(listener, core, odata.model(), configuration.patience(), limits, log);
        feed = odata.feed() == null ? null : new FeedClient(odata.feed(), list, limits, clock, new WallClock(clock), log);
        if (!odata.engines().isEmpty()) {
            core.listed(true, odata.engines());
        }
    }

    /** Takes up the feed or the engines that its file names now. */
    void follow(ODataConfiguration odata) {
        if (feed != null && odata.feed() != null) {
            feed.follow(odata.feed());
        } else if (!odata.engines().isEmpty()) {
            core.listed(true, odata.engines());
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
        front.stopping();
        core.stopping(done);
    }

    /** Ends its connections in order. */
    void drain() {
        front.drain(drainMost);
    }

    int port() {
        return listener.port();
    }
}
