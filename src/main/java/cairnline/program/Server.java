package cairnline.program;

import cairnline.logs.EventLog;
import cairnline.logs.EventSink;
import cairnline.membership.EngineListStore;
import cairnline.pools.ConnectionBudget;
import cairnline.protocol.FeedEvent;
import cairnline.routing.Clock;
import cairnline.routing.Dispatcher;
import cairnline.routing.EngineListUpdates;
import cairnline.routing.Limits;
import cairnline.routing.Request;
import cairnline.routing.RequestTrace;
import cairnline.routing.WallClock;
import cairnline.settings.SettingsException;
import cairnline.store.Snapshot;
import cairnline.store.SnapshotFolder;
import cairnline.store.SnapshotWriter;
import cairnline.transport.ClientFront;
import cairnline.transport.ConnectionMemory;
import cairnline.transport.EngineListEntries;
import cairnline.transport.EventLoop;
import cairnline.transport.FeedClient;
import cairnline.transport.Listener;
import cairnline.transport.PooledLink;
import cairnline.transport.RespLink;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;

/** The workload manager process: wires its components and controls start, configuration reload and shutdown. */
final class Server {
    private static final long LOG_FLUSH_TIMEOUT_MILLIS = 200;

    /** The configuration at process start; a reload applies only part of a newer one. */
    private final Configuration initialConfiguration;
    private final ServeSettings settings;
    private final Limits limits;
    private final Clock clock = new Clock();
    private final WallClock wallClock = new WallClock(clock);
    private final EventLog log;
    private final EventLoop loop;
    private final SnapshotWriter snapshotWriter;
    private final Dispatcher dispatcher;
    private final EngineListUpdates listUpdates;
    private final FeedClient feedClient;
    private final ClientFront clientFront;
    private final ODataServer odataServer;
    private final CountDownLatch stopped = new CountDownLatch(1);

    Server(Configuration configuration, ServeSettings settings) throws IOException {
        initialConfiguration = configuration;
        this.settings = settings;
        limits = configuration.limits();
        log = new EventLog(settings.logFormat(), settings.logQueue());
        loop = new EventLoop("connections", limits.routing().stackBytes(), clock);
        SnapshotFolder folder = settings.snapshotFolder() == null ? null
                : new SnapshotFolder(settings.snapshotFolder(), settings.store(), log);
        ConnectionBudget<PooledLink.Connection> connections =
                new ConnectionBudget<>(limits.engines().connections(), limits.engines().idleTimeout());
        ConnectionMemory clientMemory = ConnectionMemory.forClients(limits);
        ConnectionMemory engineMemory = ConnectionMemory.forEngines(limits);
        snapshotWriter = folder == null ? null : new SnapshotWriter(folder, settings.store(), log, clock::micros);
        dispatcher = new Dispatcher(configuration.settings(), configuration.seed(), limits, clock,
                line -> log.warn("module", line),
                (engine, owner) -> new RespLink(engine.id(), resolveOrUnreachable(engine.address(), log), owner, limits, loop,
                        connections, engineMemory, log),
                settings.trust(), snapshotWriter == null ? EngineListStore.NONE : snapshotWriter,
                settings.logRequests() ? this::trace : RequestTrace.OFF);
        // The engines in the configuration may be outdated by the time of the start: one may be draining since.
        dispatcher.requireFeed();
        listUpdates = new EngineListUpdates(dispatcher, limits, clock);
        feedClient = new FeedClient(configuration.feed(), listUpdates, limits, clock, wallClock, log);
        clientFront = new ClientFront(
                new Listener(configuration.listen(), limits.clients().connections(), limits, loop, log), dispatcher,
                configuration.requestClasses(), limits, clientMemory, log);
        if (folder != null) {
            restoreEngineList(folder);
        }
        // Merged into one event: the actor does not run yet, and a full day has more events than its mailbox can hold.
        listUpdates.submitUpdate(configuration.lastInitialEventNumber(), true,
                configuration.initialEvents().stream().allMatch(event -> event.engines() == null) ? null
                : EngineListEntries.toListedEngines(
                        FeedEvent.currentList(configuration.lastInitialEventNumber(), configuration.initialEvents()), wallClock));
        odataServer = settings.odata() == null ? null
                : new ODataServer(configuration, settings.odata(), loop, clientMemory, engineMemory, log);
    }

    /** Restores the stored engine list unless the configuration lists engines: those come from the feed, so they prevail. */
    private void restoreEngineList(SnapshotFolder folder) {
        if (initialConfiguration.initialEvents().stream()
                .anyMatch(event -> event.engines() != null && !event.engines().isEmpty())) {
            log.info("snapshot.unused", "the configuration lists engines; the stored engine list is not read");
            return;
        }
        Snapshot snapshot = folder.loadNewest(clock.micros());
        if (snapshot != null) {
            dispatcher.restoreList(snapshot.engines());
            log.info("snapshot.restored", "using the stored engine list until the control feed responds", "engines",
                    snapshot.engines().size(), "ageMs", (clock.micros() - snapshot.savedAt()) / 1_000);
        }
    }

    /** Starts all components and serves until the process is terminated. */
    void run(ReloadSignal reloadSignal) throws InterruptedException {
        Thread.setDefaultUncaughtExceptionHandler(new UncaughtErrorHandler(clock, System.err, Runtime.getRuntime()::halt));
        // A shutdown hook, since after SIGTERM all accepted requests must be answered and the exit code must be 0.
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        log.start();
        loop.start();
        if (snapshotWriter != null) {
            snapshotWriter.start();
        }
        dispatcher.start();
        listUpdates.start();
        clientFront.start();
        feedClient.start();
        if (odataServer != null) {
            odataServer.start();
        }
        reloadSignal.setReloadTask(this::reload);
        stopped.await();
    }

    private void trace(String step, Request request, String engine, long atMicros, String reason) {
        log.info("request." + step, reason, "id", request.id(), "engine", engine, "us", atMicros);
    }

    private void submitInitialEvents(Configuration configuration) {
        configuration.initialEvents().forEach(event ->
                listUpdates.submitUpdate(event.number(), event.complete(), EngineListEntries.toListedEngines(event, wallClock)));
    }

    /** Reloads the configuration. It is read completely before any of it is applied; if it is invalid, the old one stays. */
    private synchronized void reload() {
        try {
            Configuration next = Configuration.read(System.getenv());
            ServeSettings nextSettings = settings.reread(initialConfiguration);
            feedClient.changeAddress(next.feed());
            submitInitialEvents(next);
            if (odataServer != null && nextSettings.odata() != null) {
                odataServer.applyConfiguration(nextSettings.odata());
            }
            boolean needsRestart = next.needsRestart(initialConfiguration) || settings.needsRestart(nextSettings);
            log.info("configuration.read", "configuration reloaded; the control feed is at " + next.feed()
                    + (needsRestart ? "; the other changes take effect at the next start" : ""));
        } catch (ConfigurationException | SettingsException e) {
            log.warn("configuration.kept", "the old configuration stays: " + e.getMessage());
        }
    }

    private void stop() {
        CountDownLatch answered = new CountDownLatch(odataServer == null ? 1 : 2);
        clientFront.announceShutdown();
        dispatcher.shutDown(answered::countDown);
        if (odataServer != null) {
            odataServer.stop(answered::countDown);
        }
        try {
            answered.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        clientFront.drain(limits.shutdown().drainPeriod());
        if (odataServer != null) {
            odataServer.drain();
        }
        if (snapshotWriter != null) {
            snapshotWriter.flush(limits.shutdown().drainPeriod());
        }
        stopThreads();
        log.flush(LOG_FLUSH_TIMEOUT_MILLIS);
        stopped.countDown();
        Runtime.getRuntime().halt(0);
    }

    /** Ends the threads that wait in system calls: the virtual machine's halt waits up to 0.3 s for threads to leave them. */
    private void stopThreads() {
        feedClient.stop();
        if (odataServer != null) {
            odataServer.stopFeed();
        }
        loop.close();
    }

    /**
     * Returns the socket address of an engine. A malformed address is logged and replaced by one that can never be reached,
     * so that the other engines of the same event remain usable.
     */
    static InetSocketAddress resolveOrUnreachable(String address, EventSink log) {
        try {
            return Configuration.parseAddress("dial", address);
        } catch (ConfigurationException e) {
            log.warn("engine.unreadable", e.getMessage());
            return InetSocketAddress.createUnresolved("unreadable", 0);
        }
    }
}
