package cairnline.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests single decisions on subscriptions to the control feed; {@link FeedCourseTest} plays whole courses of time. */
class FeedSubscriptionsTest {
    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000 * MILLI;
    private static final InetSocketAddress FEED = InetSocketAddress.createUnresolved("feed", 1);
    private static final InetSocketAddress NEXT_FEED = InetSocketAddress.createUnresolved("next", 1);
    static final FeedSubscriptions.Timing TIMING = new FeedSubscriptions.Timing(SECOND, 200 * MILLI, 2_300 * MILLI);

    private final FeedSubscriptions subscriptions = new FeedSubscriptions(FEED, TIMING, new SplittableRandom(1));

    private static FeedSubscriptions.Open open(long id, InetSocketAddress address) {
        return new FeedSubscriptions.Open(id, address);
    }

    /** Opens the first subscription, which tells a line at time 0. */
    private void openFirst() {
        assertEquals(List.of(open(1, FEED)), subscriptions.decide(0));
        subscriptions.connected(1, 0);
        subscriptions.told(1, true, 0);
    }

    private void assertNothingToDo(long now) {
        assertEquals(List.of(), subscriptions.decide(now));
    }

    /** Guards against a connection that is given up when its answer takes longer than the silence timeout. */
    @Test
    void keepsASubscriptionUntilALaterOneHasToldAsMuch() {
        subscriptions.decide(0);
        subscriptions.connected(1, 0);
        assertNothingToDo(2_300 * MILLI - 1);
        assertEquals(List.of(open(2, FEED)), subscriptions.decide(2_300 * MILLI));
        subscriptions.connected(2, 2_300 * MILLI);
        subscriptions.told(2, false, 2_400 * MILLI);
        assertNothingToDo(2_400 * MILLI);
        subscriptions.told(2, true, 2_500 * MILLI);
        assertEquals(List.of(new FeedSubscriptions.Close(1)), subscriptions.decide(2_500 * MILLI));
    }

    /** Guards against further subscriptions that stay open once the one before them answers. */
    @Test
    void endsTheSecondSubscriptionOnceTheFirstOneAnswers() {
        subscriptions.decide(0);
        subscriptions.connected(1, 0);
        subscriptions.decide(2_300 * MILLI);
        subscriptions.told(1, true, 3 * SECOND);
        assertEquals(List.of(new FeedSubscriptions.Close(2)), subscriptions.decide(3 * SECOND));
        subscriptions.ended(2, 3 * SECOND);
        assertNothingToDo(3 * SECOND);
    }

    /** Guards against a silent connection that is replaced later than its timeout, after a long time without trouble too. */
    @Test
    void replacesASilentSubscriptionPromptly() {
        openFirst();
        subscriptions.told(1, true, 20 * SECOND);
        assertNothingToDo(22_300 * MILLI - 1);
        assertEquals(22_300 * MILLI, subscriptions.nextEventAt());
        assertEquals(List.of(open(2, FEED)), subscriptions.decide(22_300 * MILLI));
    }

    /** Guards against a large list that is asked for again and again while it arrives. */
    @Test
    void waitsForALineThatMakesProgress() {
        subscriptions.decide(0);
        subscriptions.connected(1, 0);
        for (long now = 0; now < 6 * SECOND; now += 100 * MILLI) {
            subscriptions.received(1, 8_000, now);
            assertNothingToDo(now);
        }
        assertEquals(List.of(open(2, FEED)), subscriptions.decide(6 * SECOND - 100 * MILLI + 2_300 * MILLI));
    }

    /** Guards against a line without end that counts as progress for ever. */
    @Test
    void doesNotWaitForALineWithoutEnd() {
        openFirst();
        for (long now = 0; now < 7 * SECOND; now += 100 * MILLI) {
            subscriptions.received(1, 8_000, now);
            assertNothingToDo(now);
        }
        subscriptions.received(1, 8_000, 7 * SECOND);
        assertEquals(List.of(open(2, FEED)), subscriptions.decide(7 * SECOND));
    }

    /** Guards against single bytes that count as progress. */
    @Test
    void doesNotWaitForSingleBytes() {
        openFirst();
        for (long now = 0; now < 2_300 * MILLI; now += 10 * MILLI) {
            subscriptions.received(1, 1, now);
        }
        assertEquals(List.of(open(2, FEED)), subscriptions.decide(2_330 * MILLI));
    }

    /** Guards against a move to another address that gives up what the old one was about to tell. */
    @Test
    void keepsTheOldAddressUntilTheNewOneHasToldAsMuch() {
        openFirst();
        subscriptions.changeAddress(NEXT_FEED);
        assertEquals(List.of(open(2, NEXT_FEED)), subscriptions.decide(MILLI));
        subscriptions.connected(2, 2 * MILLI);
        subscriptions.told(1, true, SECOND);
        assertNothingToDo(SECOND);
        subscriptions.told(2, true, 2 * SECOND);
        assertEquals(List.of(new FeedSubscriptions.Close(1)), subscriptions.decide(2 * SECOND));
    }

    /** Guards against a second subscription when the address changes back, and against the end of the one that goes on there. */
    @Test
    void goesOnWithTheOpenSubscriptionWhenTheAddressChangesBack() {
        openFirst();
        subscriptions.changeAddress(NEXT_FEED);
        subscriptions.decide(MILLI);
        subscriptions.changeAddress(FEED);
        assertNothingToDo(2 * MILLI);
        subscriptions.told(2, true, SECOND);
        assertNothingToDo(SECOND);
        subscriptions.told(1, true, SECOND);
        assertEquals(List.of(new FeedSubscriptions.Close(2)), subscriptions.decide(SECOND));
    }

    /** Guards against new subscriptions that give up the oldest one, whose answer is due first, and against too many of them. */
    @Test
    void keepsTheOldestOfManySilentSubscriptions() {
        List<Long> closed = new ArrayList<>();
        for (long now = 0; now < 30 * SECOND; now += 10 * MILLI) {
            for (FeedSubscriptions.Decision decision : subscriptions.decide(now)) {
                if (decision instanceof FeedSubscriptions.Open opened) {
                    subscriptions.connected(opened.id(), now);
                } else if (decision instanceof FeedSubscriptions.Close close) {
                    closed.add(close.id());
                }
            }
        }
        assertFalse(closed.isEmpty());
        assertEquals(2, closed.get(0));
        assertFalse(closed.contains(1L));
    }

    /** Guards against sockets that stay open for ever to a feed that vanished. */
    @Test
    void closesASubscriptionThatHasBeenSilentForAMinute() {
        openFirst();
        subscriptions.changeAddress(NEXT_FEED);
        subscriptions.decide(MILLI);
        subscriptions.connected(2, 2 * MILLI);
        for (long now = SECOND; now < 60 * SECOND; now += SECOND) {
            subscriptions.told(2, false, now);
            assertNothingToDo(now);
        }
        assertTrue(subscriptions.nextEventAt() <= 60 * SECOND);
        assertEquals(List.of(new FeedSubscriptions.Close(1)), subscriptions.decide(60 * SECOND));
    }

    /** Guards against a feed that is flooded by managers that all come back at once, each at a fixed interval. */
    @Test
    void backsOffFromARefusingFeedWithJitter() {
        FeedSubscriptions other = new FeedSubscriptions(FEED, TIMING, new SplittableRandom(2));
        List<Long> times = refusedAttempts(subscriptions);
        assertFalse(times.equals(refusedAttempts(other)));
        assertTrue(times.size() < 60 * SECOND / TIMING.reconnectDelay(), "attempts in a minute: " + times.size());
        for (int i = 1; i < times.size(); i++) {
            assertTrue(times.get(i) - times.get(i - 1) <= SECOND / 2, "a drain would be heard too late to keep it within 1 s");
        }
    }

    private static List<Long> refusedAttempts(FeedSubscriptions subscriptions) {
        List<Long> times = new ArrayList<>();
        for (long now = 0; now < 60 * SECOND; now = subscriptions.nextEventAt()) {
            for (FeedSubscriptions.Decision decision : subscriptions.decide(now)) {
                times.add(now);
                subscriptions.ended(((FeedSubscriptions.Open) decision).id(), now);
            }
        }
        return times;
    }
}
