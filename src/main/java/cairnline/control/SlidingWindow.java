package cairnline.control;

import java.util.ArrayDeque;

/** Amounts with their times, summed over a sliding window; plain state of {@link Control}. */
final class SlidingWindow {
    private record Entry(long at, double amount) { }

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private double sum;

    void add(long now, double amount) {
        entries.addLast(new Entry(now, amount));
        sum += amount;
    }

    /** The sum since then; what is older is forgotten. */
    double since(long then) {
        while (!entries.isEmpty() && entries.peekFirst().at < then) {
            sum -= entries.pollFirst().amount;
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
        return sum;
    }
}
