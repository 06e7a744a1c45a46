package cairnline.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.protocol.FeedEvent;
import cairnline.protocol.FeedEvent.EngineEntry;
import java.util.List;
import org.junit.jupiter.api.Test;

class FeedNumberingTest {
    private static final long CONFIRMATION_MICROS = 2_000_000;

    private final FeedNumbering numbering = new FeedNumbering(CONFIRMATION_MICROS);

    private static FeedEvent event(long number, boolean complete, String id, FeedEvent.State state) {
        return new FeedEvent(number, complete, List.of(new EngineEntry(id, "a:1", "", "", 0, state, 1, 0)));
    }

    /** Guards against an older list that comes back because a feed at a new address lags behind for a moment. */
    @Test
    void waitsForAFeedThatLagsBehind() {
        assertFalse(numbering.hasBegunAgain(5, 7, false, 1));
        assertFalse(numbering.hasBegunAgain(5, 7, false, CONFIRMATION_MICROS));
        assertFalse(numbering.hasBegunAgain(7, 7, false, CONFIRMATION_MICROS + 1));
        assertFalse(numbering.hasBegunAgain(6, 8, false, CONFIRMATION_MICROS + 2));
        assertTrue(numbering.hasBegunAgain(6, 8, false, 2 * CONFIRMATION_MICROS + 2));
        assertEquals(8, numbering.subscriptionNumber(8));
        numbering.startCollecting();
        assertEquals(0, numbering.subscriptionNumber(8));
    }

    /** Guards against an older list that comes back while a feed at a new address lags behind the one at the old address. */
    @Test
    void waitsLongerForAFeedThatLagsBehindAnotherOne() {
        assertFalse(numbering.hasBegunAgain(5, 7, true, 1));
        assertFalse(numbering.hasBegunAgain(5, 7, true, 7_000_000));
        assertTrue(numbering.hasBegunAgain(5, 7, true, 7_000_001), "a new feed is followed although the old one goes on");
        assertTrue(numbering.hasBegunAgain(5, 7, false, CONFIRMATION_MICROS + 1), "the old one has ended");
    }

    /** Guards against intermediate states of the new feed, such as an engine that has gone since, being acted on. */
    @Test
    void mergesTheEventsOfANewFeedIntoOneList() {
        numbering.startCollecting();
        numbering.collect(event(1, true, "e1", FeedEvent.State.IN_SERVICE));
        numbering.collect(event(2, false, "e2", FeedEvent.State.IN_SERVICE));
        numbering.collect(event(3, false, "e1", FeedEvent.State.TERMINATED));
        FeedEvent present = numbering.finishCollecting(3);
        assertTrue(present.complete());
        assertEquals(List.of("e2"), present.engines().stream().map(EngineEntry::id).toList());
        assertFalse(numbering.isCollecting());
        numbering.startCollecting();
        assertNull(numbering.finishCollecting(0).engines(), "a feed that has told no list yet must not empty the present one");
    }

    /** Guards against collected events that are thrown away, or counted twice, when the next subscription takes over. */
    @Test
    void goesOnCollectingAfterTheLastEventOfAnEarlierSubscription() {
        numbering.startCollecting();
        numbering.collect(event(1, true, "e1", FeedEvent.State.IN_SERVICE));
        numbering.collect(event(2, false, "e2", FeedEvent.State.TERMINATED));
        assertEquals(2, numbering.subscriptionNumber(40));
        numbering.collect(event(3, false, "e2", FeedEvent.State.IN_SERVICE));
        numbering.collect(event(2, false, "e2", FeedEvent.State.TERMINATED));
        assertEquals(List.of("e1", "e2"), numbering.finishCollecting(3).engines().stream().map(EngineEntry::id).toList());
    }

    /** Guards against a list that is replaced although the feed's numbers go on. */
    @Test
    void collectsNothingOnceThePresentNumbersGoOn() {
        assertFalse(numbering.hasBegunAgain(5, 7, false, 1));
        numbering.startCollecting();
        numbering.goesOn();
        assertFalse(numbering.isCollecting());
        assertFalse(numbering.hasBegunAgain(5, 7, false, CONFIRMATION_MICROS + 1));
    }
}
