package cairnline.store;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides when the next snapshot is written: urgent ones immediately, others at the write interval, all subject to the limit
 * on writes per minute and, after a failure, to an exponential back-off. Also decides which failures are logged: each cause
 * once until a write succeeds. Does no I/O and reads no clock; times are in microseconds. Not thread-safe.
 */
final class WriteSchedule {
    static final long MINUTE_MICROS = 60_000_000;

    private final StoreSettings settings;
    private final ArrayDeque<Long> writeStartTimes = new ArrayDeque<>();
    private final Set<String> reportedCauses = new HashSet<>();
    private boolean writeRequested;
    private boolean urgentRequested;
    /** Whether the write that was started last is urgent. */
    private boolean currentUrgent;
    private long lastSuccessAt = Long.MIN_VALUE / 2;
    private long earliestRetryAt = Long.MIN_VALUE;
    private long backoff;

    WriteSchedule(StoreSettings settings) {
        this.settings = settings;
    }

    /** Requests a write. */
    void requestWrite(boolean urgent) {
        writeRequested = true;
        urgentRequested |= urgent;
    }

    /** Returns the earliest time of the next write, or {@link Long#MAX_VALUE} if none is requested. */
    long nextWriteAt() {
        if (!writeRequested) {
            return Long.MAX_VALUE;
        }
        long rateLimitedUntil = writeStartTimes.size() < settings.maxWritesPerMinute() ? Long.MIN_VALUE
                : writeStartTimes.peekFirst() + MINUTE_MICROS;
        return Math.max(Math.max(earliestRetryAt, rateLimitedUntil),
                urgentRequested ? Long.MIN_VALUE : lastSuccessAt + settings.writeInterval());
    }

    /** Records the start of a write, which counts towards the limit whether or not it succeeds. */
    void writeStarted(long now) {
        writeStartTimes.addLast(now);
        while (writeStartTimes.size() > settings.maxWritesPerMinute()) {
            writeStartTimes.pollFirst();
        }
        writeRequested = false;
        currentUrgent = urgentRequested;
        urgentRequested = false;
    }

    /** Records that the write succeeded; returns true if the one before it had failed. */
    boolean writeSucceeded(long now) {
        boolean hadFailed = !reportedCauses.isEmpty();
        reportedCauses.clear();
        lastSuccessAt = now;
        backoff = 0;
        earliestRetryAt = Long.MIN_VALUE;
        return hadFailed;
    }

    /** Requests a retry of a failed write; returns true if this cause has not been reported since the last success. */
    boolean writeFailed(long now, String cause) {
        writeRequested = true;
        urgentRequested |= currentUrgent;
        backoff = Math.min(settings.maxBackoff(), Math.max(settings.minBackoff(), 2 * backoff));
        earliestRetryAt = now + backoff;
        // Messages that differ only in numbers, such as sizes, count as the same cause.
        return reportedCauses.add(cause.replaceAll("[0-9]+", "0"));
    }
}
