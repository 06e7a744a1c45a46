package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.membership.FeedSubscriptions;
import cairnline.protocol.FeedEvent;
import cairnline.routing.Clock;
import cairnline.routing.EngineListUpdates;
import cairnline.routing.Limits;
import cairnline.routing.WallClock;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Receives the engine list from the control feed: one thread that serves the subscriptions which {@link FeedSubscriptions} asks
 * for. Each of them resumes after the last event that was applied. Several may tell the same events, which are applied once.
 */
public final class FeedClient {
    private static final int READ_BUFFER_BYTES = 8192;

    private final EngineListUpdates list;
    private final Limits limits;
    private final Clock clock;
    private final WallClock wallClock;
    private final EventSink log;
    private final FeedStatus status;
    private volatile InetSocketAddress address;
    private volatile boolean stopped;
    /** Null before the start. */
    private volatile Selector selector;

    /* The fields below are confined to the thread of this client. */
    private final FeedSubscriptions subscriptions;
    private final Map<Long, FeedConnection> connections = new HashMap<>();
    private final ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final FeedNumbering numbering;
    /** When the first read of the feed counts as done at the latest; {@code Long.MAX_VALUE} once it is reported. */
    private long firstReadDueAt;

    /** Creates a client, not yet started. */
    public FeedClient(InetSocketAddress address, EngineListUpdates list, Limits limits, Clock clock, WallClock wallClock,
                      EventSink log) {
        this.address = address;
        this.list = list;
        this.limits = limits;
        this.clock = clock;
        this.wallClock = wallClock;
        this.log = log;
        this.status = new FeedStatus(log, clock.micros());
        Limits.Feed feed = limits.feed();
        this.numbering = new FeedNumbering(feed.silenceTimeout());
        this.subscriptions = new FeedSubscriptions(address,
                new FeedSubscriptions.Timing(feed.connectTimeout(), feed.reconnectDelay(), feed.silenceTimeout()),
                new SplittableRandom());
    }

    /** Starts the thread that reads the feed. */
    public void start() {
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Threads.startCritical("feed", limits.routing().stackBytes(), this::run);
    }

    /** Subscribes at another address of the same feed, whose event numbers continue. Safe for any thread. */
    public void changeAddress(InetSocketAddress newAddress) {
        address = newAddress;
        wakeUp();
    }

    /** Ends the thread that reads the feed. Safe for any thread. */
    public void stop() {
        stopped = true;
        wakeUp();
    }

    private void wakeUp() {
        Selector started = selector;
        if (started != null) {
            started.wakeup();
        }
    }

    private void run() {
        firstReadDueAt = clock.micros() + limits.feed().connectTimeout();
        while (!stopped) {
            subscriptions.changeAddress(address);
            carryOutDecisions();
            if (clock.micros() >= firstReadDueAt) {
                reportFirstRead();
            }
            awaitReadiness();
            serveReady();
        }
        connections.values().forEach(FeedConnection::close);
        Threads.close(selector);
    }

    private void carryOutDecisions() {
        subscriptions.decide(clock.micros()).forEach(this::carryOut);
    }

    private void carryOut(FeedSubscriptions.Decision decision) {
        if (decision instanceof FeedSubscriptions.Open open) {
            open(open);
        } else if (decision instanceof FeedSubscriptions.Close close) {
            connections.remove(close.id()).close();
        }
    }

    private void open(FeedSubscriptions.Open decision) {
        long now = clock.micros();
        FeedConnection connection = new FeedConnection(decision.id(), decision.address(), now,
                numbering.subscriptionNumber(list.lastNumber()), limits.feed().lineBytes(), numbering.isCollecting());
        connections.put(connection.id(), connection);
        if (!subscriptions.isTelling(now)) {
            status.opened(connection, connections.size(), now);
        }
        runGuarded(connection, () -> {
            if (connection.connect(selector)) {
                subscribe(connection);
            }
        });
    }

    private void subscribe(FeedConnection connection) throws IOException {
        long now = clock.micros();
        subscriptions.connected(connection.id(), now);
        if (firstReadDueAt < Long.MAX_VALUE) {
            // A feed without news sends nothing until its next heartbeat.
            firstReadDueAt = now + limits.feed().firstUpdateTimeout();
        }
        connection.writeSubscription();
    }

    /** Reports, once, that the first read of the feed has completed or failed. */
    private void reportFirstRead() {
        if (firstReadDueAt < Long.MAX_VALUE) {
            firstReadDueAt = Long.MAX_VALUE;
            list.firstReadDone();
        }
    }

    private void awaitReadiness() {
        long waitMicros = Math.min(subscriptions.nextEventAt(), firstReadDueAt) - clock.micros();
        try {
            if (waitMicros <= 0) {
                selector.selectNow();
            } else {
                selector.select(Clock.toMillis(waitMicros));
            }
        } catch (IOException e) {
            throw new IllegalStateException("selector failed", e);
        }
    }

    private void serveReady() {
        for (SelectionKey key : selector.selectedKeys()) {
            FeedConnection connection = (FeedConnection) key.attachment();
            runGuarded(connection, () -> serve(connection));
            // At once, so that nothing is read from a subscription that this one has replaced.
            carryOutDecisions();
        }
        selector.selectedKeys().clear();
    }

    private void serve(FeedConnection connection) throws IOException {
        if (connection.finishConnect()) {
            subscribe(connection);
        } else if (connection.mayWrite()) {
            connection.writeSubscription();
        }
        int count = connection.read(buffer);
        if (count > 0) {
            subscriptions.received(connection.id(), count, clock.micros());
        }
        byte[] line = connection.takeLine();
        boolean told = line != null;
        while (line != null) {
            handleLine(connection, line);
            line = connections.containsKey(connection.id()) ? connection.takeLine() : null;
        }
        if (told) {
            reportFirstRead();
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    /** Runs a task for a connection; its failure ends the connection, also an unexpected one, but not the thread. */
    private void runGuarded(FeedConnection connection, Task task) {
        if (!connections.containsKey(connection.id())) {
            return;
        }
        try {
            task.run();
        } catch (IOException | RuntimeException e) {
            status.failed(e);
            connection.close();
            connections.remove(connection.id());
            subscriptions.ended(connection.id(), clock.micros());
            reportFirstRead();
        }
    }

    private void handleLine(FeedConnection connection, byte[] line) {
        wallClock.sample();
        FeedEvent event = FeedEvent.parseLine(line);
        if (event == null) {
            handleLastNumber(connection, FeedEvent.parseLastNumber(line));
        } else {
            handleEvent(connection, event);
        }
    }

    private void handleEvent(FeedConnection connection, FeedEvent event) {
        boolean collects = collects(connection);
        if (collects) {
            numbering.collect(event);
        } else {
            list.submitUpdate(event.number(), event.complete(), EngineListEntries.toListedEngines(event, wallClock));
        }
        connection.toldEvent(event.number());
        reportLine(connection, !collects && connection.lastNumber() >= list.lastNumber());
    }

    /** Whether the events of this connection are collected until they make up the list of a feed whose numbers began again. */
    private boolean collects(FeedConnection connection) {
        return connection.isCollecting() && numbering.isCollecting();
    }

    private void reportLine(FeedConnection connection, boolean upToDate) {
        long now = clock.micros();
        status.heard(connection.openedAt(), now);
        subscriptions.told(connection.id(), upToDate, now);
    }

    /** Handles a line with only the last event number. */
    private void handleLastNumber(FeedConnection connection, long number) {
        boolean current = subscriptions.isCurrent(connection.id());
        boolean collects = collects(connection);
        if (collects && current && number >= numbering.lastCollected()) {
            takeCollectedList(connection, number);
            return;
        }
        boolean upToDate = !collects && number >= connection.lastNumber() && connection.lastNumber() >= list.lastNumber();
        reportLine(connection, upToDate);
        if (current && upToDate) {
            numbering.goesOn();
        } else if (current && hasBegunAgain(connection, number)) {
            subscribeFromFirstEvent(number);
        }
    }

    private boolean hasBegunAgain(FeedConnection connection, long number) {
        long now = clock.micros();
        if (collects(connection)) {
            return numbering.hasBegunAgain(number, numbering.lastCollected(), false, now);
        }
        boolean othersGoOn = subscriptions.isOtherUpToDate(connection.id(), now);
        long expected = othersGoOn ? connection.lastNumber() : list.lastNumber();
        return numbering.hasBegunAgain(number, expected, othersGoOn || number >= connection.lastNumber(), now);
    }

    /** Replaces the subscriptions to a feed whose numbers have begun again by one that starts with its first event. */
    private void subscribeFromFirstEvent(long number) {
        log.info("feed.behind", "the control feed's last event is lower than the last one known; its list is asked for anew",
                "number", number, "known", list.lastNumber());
        numbering.startCollecting();
        for (FeedConnection connection : List.copyOf(connections.values())) {
            if (subscriptions.isCurrent(connection.id())) {
                connections.remove(connection.id()).close();
                subscriptions.endedForRestart(connection.id());
            }
        }
    }

    /** Takes the collected events of a feed whose numbers have begun again as its present list. */
    private void takeCollectedList(FeedConnection connection, long number) {
        FeedEvent present = numbering.finishCollecting(number);
        list.restartNumbers(number, EngineListEntries.toListedEngines(present, wallClock));
        connection.toldEvent(number);
        reportLine(connection, true);
        log.info("feed.restarted", "the control feed's numbers have begun again; its list is taken as a whole", "number", number);
    }
}
