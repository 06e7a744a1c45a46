package cairnline.program;

import cairnline.logs.EventLog;
import cairnline.logs.Events;
import cairnline.membership.Keeper;
import cairnline.pools.ConnectionBudget;
import cairnline.protocol.FeedEvent;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.EngineList;
import cairnline.routing.Limits;
import cairnline.routing.Request;
import cairnline.routing.RequestTrace;
import cairnline.routing.WallClock;
import cairnline.settings.SettingsException;
import cairnline.store.Snapshot;
import cairnline.store.SnapshotFolder;
import cairnline.store.SnapshotKeeper;
import cairnline.transport.ClientFront;
import cairnline.transport.EventLoop;
import cairnline.transport.FeedClient;
import cairnline.transport.Listener;
import cairnline.transport.PooledLink;
import cairnline.transport.RespLink;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;

/** The workload manager: its parts wired, its start and its end. */
final class Server {
    private static final long LOG_FLUSH_MS = 200;

    private final Configuration started;
    private final ServeSettings settings;
    private final Limits limits;
    private final Clock clock = new Clock();
    private final WallClock wallClock = new WallClock(clock);
    private final EventLog log;
    private final EventLoop loop;
    private final SnapshotKeeper keeper;
    private final Core core;
    private final EngineList list;
    private final FeedClient feed;
    private final ClientFront clients;
    private final ODataServer odata;
    private final CountDownLatch stopped = new CountDownLatch(1);

    Server(Configuration configuration, ServeSettings settings) throws IOException {
        started = configuration;
        this.settings = settings;
        limits = configuration.limits();
        log = new EventLog(settings.logFormat(), settings.logQueue());
        loop = new EventLoop("connections", limits.routing().stackBytes(), clock);
        SnapshotFolder folder = settings.snapshots() == null ? null
                : new SnapshotFolder(settings.snapshots(), settings.store(), log);
        ConnectionBudget<PooledLink.Connection> connections =
                new ConnectionBudget<>(limits.engines().connections(), limits.engines().idle());
        keeper = folder == null ? null : new SnapshotKeeper(folder, settings.store(), log, clock::micros);
        core = new Core(configuration.settings(), configuration.seed(), limits, clock,
                line -> log.warn("module", line),
                (engine, owner) -> new RespLink(engine.id(), reach(engine.address(), log), owner, limits, loop, connections,
                        log),
                settings.trust(), keeper == null ? Keeper.NONE : keeper, settings.logRequests() ? this::trace : RequestTrace.OFF);
        // What the configuration knows is as old as the start takes: an engine may have begun to drain since.
        core.awaitFeed();
        list = new EngineList(core, limits, clock);
        feed = new FeedClient(configuration.feed(), list, limits, clock, wallClock, log);
        clients = new ClientFront(new Listener(configuration.listen(), limits.clients().connections(), limits, loop, log), core,
                configuration.classes(), limits, log);
        if (folder != null) {
            remember(folder);
        }
        // As one event: its actor does not run yet, and its mailbox holds fewer than a long day has.
        list.changed(configuration.knownLast(), true, configuration.known().stream().allMatch(e -> e.hosts() == null) ? null
                : FeedClient.entries(FeedEvent.standing(configuration.knownLast(), configuration.known()), wallClock));
        odata = settings.odata() == null ? null
                : new ODataServer(configuration, settings.odata(), loop, log);
    }

    /** What the configuration knows comes from the feed itself, and so stands above what the disk remembers. */
    private void remember(SnapshotFolder folder) {
        if (started.known().stream().anyMatch(event -> event.hosts() != null && !event.hosts().isEmpty())) {
            log.info("snapshot.unused", "the configuration names engines; the kept list is not read");
            return;
        }
        Snapshot kept = folder.newest(clock.micros());
        if (kept != null) {
            core.remembered(kept.engines());
            log.info("snapshot.restored", "starts from the kept list until the control feed tells", "engines",
                    kept.engines().size(), "ageMs", (clock.micros() - kept.savedAt()) / 1_000);
        }
    }

    /** Serves until the process is told to end. */
    void run(ReloadSignal reloadSignal) throws InterruptedException {
        Thread.setDefaultUncaughtExceptionHandler(new UncaughtErrorHandler(clock, System.err, Runtime.getRuntime()::halt));
        // A shutdown hook, since SIGTERM must end in exit code 0 with all that was taken answered.
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        log.start();
        loop.start();
        if (keeper != null) {
            keeper.start();
        }
        core.start();
        list.start();
        clients.start();
        feed.start();
        if (odata != null) {
            odata.start();
        }
        reloadSignal.answerBy(this::reload);
        stopped.await();
    }

    private void trace(String step, Request request, String engine, long at, String reason) {
        log.info("request." + step, reason, "id", request.id(), "engine", engine, "us", at);
    }

    private void tell(Configuration configuration) {
        configuration.known().forEach(event ->
                list.changed(event.number(), event.whole(), FeedClient.entries(event, wallClock)));
    }

    /** Reads the configuration again, all of it before any of it counts; with a fault in it the old one stays. */
    private synchronized void reload() {
        try {
            Configuration next = Configuration.read(System.getenv());
            ServeSettings nextSettings = settings.again(started);
            feed.follow(next.feed());
            tell(next);
            if (odata != null && nextSettings.odata() != null) {
                odata.follow(nextSettings.odata());
            }
            boolean partly = next.needsRestart(started) || settings.needsRestart(nextSettings);
            log.info("configuration.read", "configuration read again; the control feed is at " + next.feed()
                    + (partly ? "; what else has changed counts from the next start" : ""));
        } catch (ConfigurationException | SettingsException e) {
            log.warn("configuration.kept", "the old configuration stays: " + e.getMessage());
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
        clients.drain(limits.shutdown().draining());
        if (odata != null) {
            odata.drain();
        }
        if (keeper != null) {
            keeper.flush(limits.shutdown().draining());
        }
        log.flush(LOG_FLUSH_MS);
        stopped.countDown();
        Runtime.getRuntime().halt(0);
    }

    /** An address that can't be read is one that can't be reached; the other engines of its event still count. */
    static InetSocketAddress reach(String address, Events log) {
        try {
            return Configuration.parseAddress("dial", address);
        } catch (ConfigurationException e) {
            log.warn("engine.unreadable", e.getMessage());
            return InetSocketAddress.createUnresolved("unreadable", 0);
        }
    }
}
