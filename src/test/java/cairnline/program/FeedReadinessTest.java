package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.logs.EventLog;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.EngineList;
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
 * What the configuration knows of the list is as old as a start takes, and what the control feed has counts as told:
 * nobody is ready before the feed has been asked, as far as it can be.
 */
class FeedReadinessTest {
    private static final long LIMIT_S = 10;

    private final Clock clock = new Clock();
    private final Configuration configuration = configuration();

    private static Configuration configuration() {
        try {
            return Configuration.of(Scenario.class.getResourceAsStream("/config.json").readAllBytes(), null);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The program's limits, but for the time that a feed has to tell what it has. */
    private Limits limits(long firstTold) {
        Limits usual = configuration.limits();
        Limits.Feed feed = new Limits.Feed(usual.feed().connect(), usual.feed().pause(), usual.feed().silence(), firstTold,
                usual.feed().lineBytes());
        return new Limits(usual.routing(), usual.connections(), usual.clients(), usual.engines(), feed, usual.shutdown(),
                usual.http());
    }

    /** A core that has a list and follows this feed. */
    private Core follow(InetSocketAddress feed, Limits limits) {
        Core core = new Core(configuration.settings(), configuration.seed(), limits, clock, line -> { },
                (engine, owner) -> null);
        core.awaitFeed();
        EngineList list = new EngineList(core, limits, clock);
        list.changed(1, true, List.of());
        core.start();
        list.start();
        new FeedClient(feed, list, limits, clock, new WallClock(clock), new EventLog(EventLog.Format.TEXT, 16)).start();
        return core;
    }

    private static void untilReady(Core core) {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (!core.ready()) {
            assertTrue(System.nanoTime() < limit, "never ready");
            Thread.onSpinWait();
        }
    }

    @Test
    void itIsReadyOnceTheFeedHasTold() throws Exception {
        try (ServerSocket feed = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Core core = follow(new InetSocketAddress("127.0.0.1", feed.getLocalPort()),
                    limits(TimeUnit.HOURS.toMicros(1)));
            try (Socket follower = feed.accept()) {
                assertFalse(core.ready(), "ready before the feed was asked");
                new BufferedReader(new InputStreamReader(follower.getInputStream(), StandardCharsets.US_ASCII)).readLine();
                follower.getOutputStream().write("1\n".getBytes(StandardCharsets.US_ASCII));
                untilReady(core);
            }
        }
    }

    @Test
    void itIsReadyThoughTheFeedTellsNothing() throws Exception {
        try (ServerSocket feed = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            untilReady(follow(new InetSocketAddress("127.0.0.1", feed.getLocalPort()), configuration.limits()));
        }
    }

    @Test
    void itIsReadyThoughTheFeedCannotBeReached() throws Exception {
        StandInFeed hidden = new StandInFeed();
        hidden.goOffline();
        untilReady(follow(Configuration.parseAddress("feed", hidden.address()), configuration.limits()));
    }
}
