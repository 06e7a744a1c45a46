package cairnline.transport;

import cairnline.logs.EventSink;

/**
 * Logs when the control feed is no longer heard and when it is heard again, with figures that tell a feed that answers late from
 * one that does not answer. Times are in microseconds. Confined to the thread of its {@link FeedClient}.
 */
final class FeedStatus {
    private static final long REPORT_INTERVAL_MICROS = 10_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final EventSink log;
    private String lastFailure = "it tells nothing";
    private boolean everOpened;
    private boolean lost;
    private long lastHeardAt;
    private long nextReportAt;
    /** Number of subscriptions opened since the feed was last heard. */
    private int opened;

    FeedStatus(EventSink log, long now) {
        this.log = log;
        this.lastHeardAt = now;
    }

    /** Records that this subscription was opened while none tells anything; {@code openCount} of them are open. */
    void opened(FeedConnection connection, int openCount, long now) {
        opened++;
        if (everOpened && (!lost || now >= nextReportAt)) {
            log.warn("feed.lost", "the control feed is not heard: " + lastFailure, "address", connection, "silentMs",
                    silentMillis(now), "subscriptions", opened, "open", openCount);
            lost = true;
            nextReportAt = now + REPORT_INTERVAL_MICROS;
        }
        everOpened = true;
    }

    /** Records that a subscription has failed or ended. */
    void failed(Exception failure) {
        lastFailure = failure.getMessage();
    }

    /** Records a complete line of a subscription that was opened at {@code openedAt}. */
    void heard(long openedAt, long now) {
        if (lost) {
            log.info("feed.reached", "the control feed is heard again", "silentMs", silentMillis(now), "subscriptions", opened,
                    "answeredAfterMs", (now - openedAt) / MICROS_PER_MILLI);
        }
        lost = false;
        opened = 0;
        lastHeardAt = now;
        lastFailure = "it tells nothing";
    }

    private long silentMillis(long now) {
        return (now - lastHeardAt) / MICROS_PER_MILLI;
    }
}
