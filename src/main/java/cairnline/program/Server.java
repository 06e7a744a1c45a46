package cairnline.program;

import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.EngineList;
import cairnline.routing.Limits;
import cairnline.transport.ClientFront;
import cairnline.transport.FeedClient;
import cairnline.transport.Listener;
import cairnline.transport.RespLink;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** The workload manager: its parts wired, its start and its end. */
final class Server {
    private final Configuration started;
    private final Path odataFile;
    private final Limits limits;
    private final Core core;
    private final EngineList list;
    private final FeedClient feed;
    private final ClientFront clients;
    private final ODataServer odata;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /** {@code odataFile} turns the OData front on; null leaves it off. */
    Server(Configuration configuration, Path odataFile) throws IOException {
        Clock clock = new Clock();
        started = configuration;
        this.odataFile = odataFile;
        limits = configuration.limits();
        core = new Core(configuration.settings(), configuration.seed(), limits, clock, Server::log,
                (engine, owner) -> new RespLink(engine.id(), reach(engine.address()), owner, limits, clock));
        list = new EngineList(core, limits, clock);
        feed = new FeedClient(configuration.feed(), list, limits, clock, Server::log);
        clients = new ClientFront(new Listener(configuration.listen(), limits.clients(), limits, clock), core,
                configuration.classes(), limits, clock);
        tell(configuration);
        list.changed(configuration.knownLast(), false, null);
        odata = odataFile == null ? null : new ODataServer(configuration,
                ODataConfiguration.read(odataFile, configuration.settings()), clock);
    }

    /** Serves until the process is told to end. */
    void run() throws InterruptedException {
        // A shutdown hook, since SIGTERM must end in exit code 0 with all that was taken answered.
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        // Before anything is served: the JVM ends on SIGHUP where nobody handles it.
        Signals.handle("HUP", this::reload);
        core.start();
        list.start();
        clients.start();
        feed.start();
        if (odata != null) {
            odata.start();
        }
        stopped.await();
    }

    private void tell(Configuration configuration) {
        configuration.known().forEach(event ->
                list.changed(event.number(), event.whole(), FeedClient.entries(event)));
    }

    /** Reads the configuration again, all of it before any of it counts; with a fault in it the old one stays. */
    private synchronized void reload() {
        try {
            Configuration next = Configuration.read(System.getenv());
            ODataConfiguration nextOData = odataFile == null ? null
                    : ODataConfiguration.read(odataFile, started.settings());
            feed.follow(next.feed());
            tell(next);
            if (odata != null) {
                odata.follow(nextOData);
            }
            log("configuration read again; the control feed is at " + next.feed()
                    + (next.needsRestart(started) ? "; listen, settings and limits stay until the next start" : ""));
        } catch (ConfigurationException e) {
            log("the old configuration stays: " + e.getMessage());
        }
    }

    private void stop() {
        CountDownLatch answered = new CountDownLatch(odata == null ? 1 : 2);
        clients.stopping();
        core.stopping(answered::countDown);
        if (odata != null) {
            odata.stop(answered::countDown);
        }
        try {
            answered.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        clients.flush();
        if (odata != null) {
            odata.flush();
        }
        stopped.countDown();
        Runtime.getRuntime().halt(0);
    }

    /** An address that can't be read is one that can't be reached; the other engines of its event still count. */
    static InetSocketAddress reach(String address) {
        try {
            return Configuration.address("dial", address);
        } catch (ConfigurationException e) {
            log(e.getMessage());
            return InetSocketAddress.createUnresolved("unreadable", 0);
        }
    }

    static void log(String line) {
        System.err.println("cairnline: " + line);
    }
}
