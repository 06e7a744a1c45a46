package cairnline.store;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * When the next snapshot is written: urgent ones at once, others at their pace, none past the bound on writes a minute,
 * and after a failure not before a pause that doubles. Also which failures are worth an event: each cause once, until a
 * write succeeds. It does no I/O and reads no clock; times are microseconds.
 */
final class WriteSchedule {
    static final long MINUTE = 60_000_000;

    private final StoreSettings settings;
    private final ArrayDeque<Long> writes = new ArrayDeque<>();
    private final Set<String> told = new HashSet<>();
    private boolean wanted;
    private boolean urgent;
    /** Whether what is being written, or failed to be, is urgent. */
    private boolean writing;
    private long writtenAt = Long.MIN_VALUE / 2;
    private long notBefore = Long.MIN_VALUE;
    private long pause;

    WriteSchedule(StoreSettings settings) {
        this.settings = settings;
    }

    /** There is something to write. */
    void want(boolean isUrgent) {
        wanted = true;
        urgent |= isUrgent;
    }

    /** When it may be written; never if there is nothing. */
    long due() {
        if (!wanted) {
            return Long.MAX_VALUE;
        }
        long bound = writes.size() < settings.writesPerMinute() ? Long.MIN_VALUE : writes.peekFirst() + MINUTE;
        return Math.max(Math.max(notBefore, bound), urgent ? Long.MIN_VALUE : writtenAt + settings.every());
    }

    /** A write begins, whatever comes of it. */
    void begin(long now) {
        writes.addLast(now);
        while (writes.size() > settings.writesPerMinute()) {
            writes.pollFirst();
        }
        wanted = false;
        writing = urgent;
        urgent = false;
    }

    /** It succeeded; true if one before it had failed. */
    boolean succeeded(long now) {
        boolean mended = !told.isEmpty();
        told.clear();
        writtenAt = now;
        pause = 0;
        notBefore = Long.MIN_VALUE;
        return mended;
    }

    /** It failed and is tried again; true if this cause has not been told since the last success. */
    boolean failed(long now, String cause) {
        wanted = true;
        urgent |= writing;
        pause = Math.min(settings.pauseMost(), Math.max(settings.pauseLeast(), 2 * pause));
        notBefore = now + pause;
        // Sizes and numbers in the words make no other cause.
        return told.add(cause.replaceAll("[0-9]+", "0"));
    }
}
