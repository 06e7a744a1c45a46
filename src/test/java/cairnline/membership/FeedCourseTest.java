package cairnline.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays seeded courses of a slow or crowded control feed on virtual time. The bounds are those of the protocol: what the feed has to
 * tell counts as told after 7 s, after a stop that leaves connections open 4 s, after a break 2 s.
 */
class FeedCourseTest {
    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000 * MILLI;
    private static final long STEP = 10 * MILLI;
    private static final long COURSE = 60 * SECOND;
    private static final long NEVER = Long.MAX_VALUE;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 60);
    }

    /** How the feed behaves in a course. Times are in microseconds. */
    private static final class Feed {
        /** Least and greatest time from a subscription to its first line. */
        long minFirstLine;
        long maxFirstLine;
        /** Time that the line of an event takes to arrive, in pieces. */
        long lineTime;
        /** Time for which one worker is busy with each subscription, in order; 0 if subscriptions do not wait for others. */
        long workerTime;
        /** Whether nothing is told to others while the worker is busy with a subscription. */
        boolean workerTellsLines;
        /** How long after its first line a subscription is closed. */
        long closedAfter = NEVER;
        /** Times at which all open subscriptions are closed, or stop and stay open. */
        final List<Long> breaks = new ArrayList<>();
        final List<Long> stops = new ArrayList<>();
        /** From when to when no subscription is answered, ever. */
        long silentFrom = NEVER;
        long silentUntil = NEVER;
        /** Time between two changes of the address, up to a time. */
        long moveInterval = NEVER;
        long movesUntil;
    }

    /** A subscription as the feed sees it. */
    private static final class Subscriber {
        long firstLineAt;
        long closesAt = NEVER;
        long stopsAt = NEVER;
        long nextHeartbeatAt;
        int told;
        /** When the line of the next event is complete; 0 while none is under way. */
        long lineEndsAt;
    }

    private final Feed feed = new Feed();
    private final Map<Long, Subscriber> subscribers = new LinkedHashMap<>();
    private final List<Long> eventTimes = new ArrayList<>();
    private final List<Long> appliedTimes = new ArrayList<>();
    private SplittableRandom random;
    private FeedSubscriptions subscriptions;
    private long workerFreeAt;
    private int openedCount;

    /** Plays the course and checks that each event is applied within the bound. */
    private void playAndCheck(long seed, long bound) {
        random = new SplittableRandom(seed);
        subscriptions = new FeedSubscriptions(address(0), FeedSubscriptionsTest.TIMING, random.split());
        if (eventTimes.isEmpty()) {
            drawEventTimes();
        }
        long moves = 0;
        for (long now = 0; now < COURSE; now += STEP) {
            if (feed.moveInterval < NEVER && now <= feed.movesUntil && now / feed.moveInterval > moves) {
                subscriptions.changeAddress(address(++moves));
            }
            for (Map.Entry<Long, Subscriber> entry : List.copyOf(subscribers.entrySet())) {
                if (subscribers.containsKey(entry.getKey())) {
                    serve(entry.getKey(), entry.getValue(), now);
                    carryOutDecisions(now);
                }
            }
            carryOutDecisions(now);
        }
        for (int i = 0; i < eventTimes.size(); i++) {
            long delay = (i < appliedTimes.size() ? appliedTimes.get(i) : COURSE) - eventTimes.get(i);
            assertTrue(delay <= bound, "seed " + seed + ": event " + i + " at " + eventTimes.get(i) / MILLI + " ms was applied after "
                    + delay / MILLI + " ms");
        }
    }

    private void drawEventTimes() {
        for (long at = 8 * SECOND; at < COURSE - 10 * SECOND; at += 500 * MILLI + random.nextLong(6 * SECOND)) {
            eventTimes.add(at);
        }
    }

    private static InetSocketAddress address(long number) {
        return InetSocketAddress.createUnresolved("feed-" + number, 1);
    }

    private void carryOutDecisions(long now) {
        for (FeedSubscriptions.Decision decision : subscriptions.decide(now)) {
            if (decision instanceof FeedSubscriptions.Open open) {
                openedCount++;
                subscribers.put(open.id(), subscribe(now));
                assertTrue(subscribers.size() <= FeedSubscriptions.MAX_OPEN, "too many open subscriptions");
                subscriptions.connected(open.id(), now);
            } else if (decision instanceof FeedSubscriptions.Close close) {
                subscribers.remove(close.id());
            }
        }
    }

    private Subscriber subscribe(long now) {
        Subscriber subscriber = new Subscriber();
        subscriber.told = appliedTimes.size();
        workerFreeAt = Math.max(workerFreeAt, now) + feed.workerTime;
        subscriber.firstLineAt = feed.workerTime > 0 ? workerFreeAt
                : now + feed.minFirstLine + random.nextLong(feed.maxFirstLine - feed.minFirstLine + 1);
        subscriber.nextHeartbeatAt = subscriber.firstLineAt;
        subscriber.closesAt = feed.closedAfter == NEVER ? NEVER : subscriber.firstLineAt + feed.closedAfter;
        subscriber.stopsAt = now >= feed.silentFrom && now < feed.silentUntil ? now : feed.silentFrom > now ? feed.silentFrom : NEVER;
        for (long time : feed.breaks) {
            subscriber.closesAt = time > now ? Math.min(time, subscriber.closesAt) : subscriber.closesAt;
        }
        for (long time : feed.stops) {
            subscriber.stopsAt = time > now ? Math.min(time, subscriber.stopsAt) : subscriber.stopsAt;
        }
        return subscriber;
    }

    private void serve(long id, Subscriber subscriber, long now) {
        if (now >= subscriber.closesAt) {
            subscribers.remove(id);
            subscriptions.ended(id, now);
        } else if (now < subscriber.stopsAt && now >= subscriber.firstLineAt && (!feed.workerTellsLines || isWorkerFree(now))) {
            tell(id, subscriber, now);
        }
    }

    /** Whether a worker that serves subscribers in order has a moment for lines, which is when it is done with one of them. */
    private boolean isWorkerFree(long now) {
        return now >= workerFreeAt || (workerFreeAt - now) % feed.workerTime < STEP;
    }

    private void tell(long id, Subscriber subscriber, long now) {
        if (subscriber.lineEndsAt > now) {
            subscriptions.received(id, 1, now);
            return;
        }
        if (subscriber.lineEndsAt > 0) {
            subscriber.lineEndsAt = 0;
            completeEvent(id, subscriber, now);
        }
        while (subscriber.told < eventTimes.size() && eventTimes.get(subscriber.told) <= now) {
            if (feed.lineTime > 0) {
                subscriber.lineEndsAt = now + feed.lineTime;
                return;
            }
            completeEvent(id, subscriber, now);
        }
        if (now >= subscriber.nextHeartbeatAt) {
            subscriber.nextHeartbeatAt = now + SECOND;
            subscriptions.told(id, subscriber.told >= appliedTimes.size(), now);
        }
    }

    private void completeEvent(long id, Subscriber subscriber, long now) {
        subscriber.told++;
        if (subscriber.told > appliedTimes.size()) {
            appliedTimes.add(now);
        }
        subscriptions.told(id, subscriber.told >= appliedTimes.size(), now);
    }

    /** Guards against a feed that is never heard since its first lines come late, each after another time. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hearsAFeedThatAnswersLate(long seed) {
        feed.minFirstLine = new SplittableRandom(seed).nextLong(6 * SECOND);
        feed.maxFirstLine = 6 * SECOND;
        playAndCheck(seed, 7 * SECOND);
    }

    /** Guards against a feed that is no longer heard once it answers late after a break. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hearsAFeedThatAnswersLateAfterBreaks(long seed) {
        feed.maxFirstLine = 5 * SECOND;
        for (long at = 9 * SECOND; at < COURSE; at += 8 * SECOND + new SplittableRandom(seed + at).nextLong(8 * SECOND)) {
            feed.breaks.add(at);
        }
        playAndCheck(seed, 7 * SECOND);
    }

    /** Guards against a list that stays old since each subscription is closed soon after its late answer. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hearsAFeedThatClosesEachSubscriptionSoon(long seed) {
        feed.minFirstLine = 2_800 * MILLI;
        feed.maxFirstLine = 2_800 * MILLI;
        feed.closedAfter = SECOND;
        playAndCheck(seed, 7 * SECOND);
    }

    /** Guards against an event whose line arrives in pieces for so long that its connection is given up. */
    @ParameterizedTest
    @MethodSource("seeds")
    void waitsForLinesInPieces(long seed) {
        feed.lineTime = 4 * SECOND;
        for (long at = 9 * SECOND; at < COURSE - 10 * SECOND; at += 5 * SECOND + new SplittableRandom(seed + at).nextLong(SECOND)) {
            eventTimes.add(at);
        }
        playAndCheck(seed, 7 * SECOND);
    }

    /** Guards against a crowded feed that spends its time on subscriptions that were given up. */
    @ParameterizedTest
    @MethodSource("seeds")
    void doesNotCrowdAFeedThatAnswersSubscriptionsInOrder(long seed) {
        feed.workerTime = 1_500 * MILLI + new SplittableRandom(seed).nextLong(4 * SECOND);
        playAndCheck(seed, 7 * SECOND);
        assertTrue(openedCount <= 4, "subscriptions: " + openedCount);
    }

    /** Guards against subscriptions that keep a feed with one worker from telling its events in time. */
    @ParameterizedTest
    @MethodSource("seeds")
    void leavesAFeedWithOneWorkerTheTimeToTellEvents(long seed) {
        feed.workerTime = 1_500 * MILLI + new SplittableRandom(seed).nextLong(3 * SECOND);
        feed.workerTellsLines = true;
        playAndCheck(seed, 7 * SECOND);
        assertTrue(openedCount * feed.workerTime <= COURSE * 3 / 4, "the worker has no time left for events: " + openedCount);
    }

    /** Guards against a stop after which the feed is asked again later than 4 s after it. */
    @ParameterizedTest
    @MethodSource("seeds")
    void replacesSubscriptionsThatStop(long seed) {
        for (long at = 9 * SECOND; at < COURSE; at += 5 * SECOND + new SplittableRandom(seed + at).nextLong(8 * SECOND)) {
            feed.stops.add(at);
        }
        playAndCheck(seed, 4 * SECOND);
    }

    /** Guards against a feed that is asked late after breaks, one soon after another. */
    @ParameterizedTest
    @MethodSource("seeds")
    void reconnectsAfterBreaks(long seed) {
        for (long at = 9 * SECOND; at < COURSE; at += 2 * SECOND + new SplittableRandom(seed + at).nextLong(4 * SECOND)) {
            feed.breaks.add(at);
        }
        playAndCheck(seed, 2 * SECOND);
    }

    /** Guards against a list that stays old while new configurations move the feed before it has answered. */
    @ParameterizedTest
    @MethodSource("seeds")
    void hearsAFeedWhoseAddressChangesBeforeItAnswers(long seed) {
        feed.minFirstLine = 2_200 * MILLI;
        feed.maxFirstLine = 4_000 * MILLI;
        feed.moveInterval = 2 * SECOND;
        feed.movesUntil = 40 * SECOND;
        playAndCheck(seed, 7 * SECOND);
    }

    /** Guards against a feed that is asked late after a long silence of new subscriptions too, or asked too often in it. */
    @ParameterizedTest
    @MethodSource("seeds")
    void asksAgainAfterALongSilence(long seed) {
        feed.silentFrom = 10 * SECOND;
        feed.silentUntil = 35 * SECOND;
        eventTimes.addAll(List.of(5 * SECOND, 35 * SECOND, 36 * SECOND + seed * 100 * MILLI));
        playAndCheck(seed, 4 * SECOND);
        assertTrue(openedCount <= 1 + (feed.silentUntil - feed.silentFrom) / (3 * SECOND) + 1, "subscriptions: " + openedCount);
    }
}
