package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.logs.EventLog;
import cairnline.routing.Clock;
import cairnline.routing.Dispatcher;
import cairnline.routing.EngineListUpdates;
import cairnline.routing.Limits;
import cairnline.routing.WallClock;
import cairnline.standin.StandInFeed;
import cairnline.transport.FeedClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * The engine list in the configuration may be outdated when the process starts, and events that the control feed has published
 * count as reported. So a workload manager is not ready before it has requested them, unless the feed is unreachable or does
 * not answer in time.
 */
class FeedReadinessTest {
    private static final long TIMEOUT_SECONDS = 10;

    private final Clock clock = new Clock();
    private final Configuration configuration = configuration();

    private static Configuration configuration() {
        try {
            return Configuration.of(Scenario.class.getResourceAsStream("/config.json").readAllBytes(), null);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the default limits with a different timeout for the feed's first report. */
    private Limits limits(long firstReportTimeoutMicros) {
        Limits defaults = configuration.limits();
        Limits.Feed feed = new Limits.Feed(defaults.feed().connectTimeout(), defaults.feed().reconnectDelay(),
                defaults.feed().silenceTimeout(),
                firstReportTimeoutMicros, defaults.feed().lineBytes());
        return new Limits(defaults.routing(), defaults.connections(), defaults.clients(), defaults.engines(), feed,
                defaults.shutdown(), defaults.http());
    }

    /** Starts a dispatcher that has an engine list and subscribes to the feed. */
    private Dispatcher startDispatcher(InetSocketAddress feed, Limits limits) {
        Dispatcher dispatcher = new Dispatcher(configuration.settings(), configuration.seed(), limits, clock, line -> { },
                (engine, owner) -> null);
        dispatcher.requireFeed();
        EngineListUpdates listUpdates = new EngineListUpdates(dispatcher, limits, clock);
        listUpdates.submitUpdate(1, true, List.of());
        dispatcher.start();
        listUpdates.start();
        new FeedClient(feed, listUpdates, limits, clock, new WallClock(clock), new EventLog(EventLog.Format.TEXT, 16)).start();
        return dispatcher;
    }

    private static void awaitReady(Dispatcher dispatcher) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!dispatcher.isReady()) {
            assertTrue(System.nanoTime() < deadline, "not ready in time");
            Thread.onSpinWait();
        }
    }

    @Test
    void becomesReadyOnceFeedHasReported() throws Exception {
        try (ServerSocket feed = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Dispatcher dispatcher = startDispatcher(new InetSocketAddress("127.0.0.1", feed.getLocalPort()),
                    limits(TimeUnit.HOURS.toMicros(1)));
            try (Socket subscriber = feed.accept()) {
                assertFalse(dispatcher.isReady(), "ready before the feed has answered");
                new BufferedReader(new InputStreamReader(subscriber.getInputStream(), StandardCharsets.US_ASCII)).readLine();
                subscriber.getOutputStream().write("1\n".getBytes(StandardCharsets.US_ASCII));
                awaitReady(dispatcher);
            }
        }
    }

    @Test
    void becomesReadyIfFeedSendsNothing() throws Exception {
        try (ServerSocket feed = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            awaitReady(startDispatcher(new InetSocketAddress("127.0.0.1", feed.getLocalPort()), configuration.limits()));
        }
    }

    @Test
    void becomesReadyIfFeedIsUnreachable() throws Exception {
        StandInFeed offlineFeed = new StandInFeed();
        offlineFeed.goOffline();
        awaitReady(startDispatcher(Configuration.parseAddress("feed", offlineFeed.address()), configuration.limits()));
    }
}
