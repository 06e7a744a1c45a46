package cairnline.control;

import java.util.ArrayDeque;

/**
 * Amounts with their times, summed over a sliding window; plain state of {@link Control}. Amounts older than the window are
 * discarded when another is added, so that a window that nobody sums does not grow without bound.
 */
final class SlidingWindow {
    private record Entry(long time, double amount) { }

    private final long lengthNanos;
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private double sum;

    /** Creates an empty window; {@link #sumSince} may look back as far as its length. */
    SlidingWindow(long lengthNanos) {
        this.lengthNanos = lengthNanos;
    }

    void add(long now, double amount) {
        discardBefore(now - lengthNanos);
        entries.addLast(new Entry(now, amount));
        sum += amount;
    }

    /** Returns the sum of all amounts from {@code start} on, and discards older ones. */
    double sumSince(long start) {
        discardBefore(start);
        return sum;
    }

    /** Returns the number of amounts held. */
    int size() {
        return entries.size();
    }

    private void discardBefore(long start) {
        while (!entries.isEmpty() && entries.peekFirst().time < start) {
            sum -= entries.pollFirst().amount;
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
    }
}
