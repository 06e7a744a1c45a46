package cairnline.control;

import java.util.ArrayDeque;

/** Amounts with their times, summed over a sliding window; plain state of {@link Control}. */
final class SlidingWindow {
    private record Entry(long time, double amount) { }

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private double sum;

    void add(long now, double amount) {
        entries.addLast(new Entry(now, amount));
        sum += amount;
    }

    /** Returns the sum of all amounts from {@code start} on, and discards older ones. */
    double sumSince(long start) {
        while (!entries.isEmpty() && entries.peekFirst().time < start) {
            sum -= entries.pollFirst().amount;
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
        return sum;
    }
}
