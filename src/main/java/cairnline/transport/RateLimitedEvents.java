package cairnline.transport;

import cairnline.logs.EventSink;
import java.util.Arrays;
import java.util.function.LongSupplier;

/**
 * Passes on the events that clients cause to a log, up to a number in each second: what a client does at full speed must not
 * fill the log. The next event after a gap tells how many were left out. Confined to the event loop.
 */
final class RateLimitedEvents implements EventSink {
    private static final int MAX_EVENTS_PER_SECOND = 20;
    private static final long SECOND_MICROS = 1_000_000;

    private final EventSink log;
    private final LongSupplier clockMicros;
    private long secondStartedAt = Long.MIN_VALUE;
    private int eventsInSecond;
    private long suppressedCount;

    RateLimitedEvents(EventSink log, LongSupplier clockMicros) {
        this.log = log;
        this.clockMicros = clockMicros;
    }

    @Override
    public void log(Severity severity, String name, String message, Object... pairs) {
        long now = clockMicros.getAsLong();
        if (now >= secondStartedAt + SECOND_MICROS || secondStartedAt == Long.MIN_VALUE) {
            secondStartedAt = now;
            eventsInSecond = 0;
        }
        if (eventsInSecond >= MAX_EVENTS_PER_SECOND) {
            suppressedCount++;
            return;
        }
        eventsInSecond++;
        log.log(severity, name, message, suppressedCount == 0 ? pairs : withSuppressedCount(pairs));
        suppressedCount = 0;
    }

    private Object[] withSuppressedCount(Object... pairs) {
        Object[] extended = Arrays.copyOf(pairs, pairs.length + 2);
        extended[pairs.length] = "suppressed";
        extended[pairs.length + 1] = suppressedCount;
        return extended;
    }
}
