package cairnline.transport;

import cairnline.protocol.FeedEvent;
import java.util.ArrayList;
import java.util.List;

/**
 * Recognises that the event numbers of the control feed have begun again, as with a new feed at the address of an earlier one,
 * and collects the events of such a feed until they make up its present list. What was collected stays when a subscription
 * ends: the next one goes on after it. A feed that only lags behind for a while, after a change of address, is not taken for a
 * new one. Does no I/O; times are microseconds.
 */
final class FeedNumbering {
    /** A feed tells its events after this time at the latest; one that lags behind for longer has other events. */
    private static final long MAX_LAG_MICROS = 7_000_000;

    private final long confirmationMicros;
    /** Since when the feed's number has been lower than that of the last event; 0 if it is not. */
    private long behindSince;
    /** The events since the first one of a new feed; null while the numbers go on. */
    private List<FeedEvent> collected;

    /** Creates a numbering that takes a feed for a new one once its numbers have been lower for this long. */
    FeedNumbering(long confirmationMicros) {
        this.confirmationMicros = confirmationMicros;
    }

    /** Returns the number after which to subscribe to events, given that of the last event that was applied. */
    long subscriptionNumber(long lastNumber) {
        return collected == null ? lastNumber : lastCollected();
    }

    /** Whether events are collected, which are to be passed to {@link #collect} instead of being applied. */
    boolean isCollecting() {
        return collected != null;
    }

    /** Returns the number of the last event collected; 0 without any. */
    long lastCollected() {
        return collected.isEmpty() ? 0 : collected.get(collected.size() - 1).number();
    }

    /** Starts to collect, before a subscription from the first event on. */
    void startCollecting() {
        collected = new ArrayList<>();
        behindSince = 0;
    }

    /** Adds an event of the new feed, unless another subscription has told it. */
    void collect(FeedEvent event) {
        if (event.number() > lastCollected()) {
            collected.add(event);
        }
    }

    /** Records that the present numbers go on, so that nothing is to be collected. */
    void goesOn() {
        collected = null;
        behindSince = 0;
    }

    /**
     * Records the number that the feed tells as its last one; returns whether its numbers have begun again.
     *
     * @param lastNumber number of the last event that the feed is expected to have
     * @param mayLag whether the feed may lag behind what another subscription has told
     */
    boolean hasBegunAgain(long number, long lastNumber, boolean mayLag, long now) {
        if (number >= lastNumber) {
            behindSince = 0;
            return false;
        }
        behindSince = behindSince == 0 ? now : behindSince;
        return now - behindSince >= (mayLag ? Math.max(MAX_LAG_MICROS, confirmationMicros) : confirmationMicros);
    }

    /** Ends the collection; returns the present list as one event, whose engines are null if the feed has told no list yet. */
    FeedEvent finishCollecting(long number) {
        List<FeedEvent> events = collected;
        collected = null;
        boolean hasList = events.stream().anyMatch(event -> event.engines() != null && event.complete());
        return hasList ? FeedEvent.currentList(number, events) : new FeedEvent(number, false, null);
    }
}
