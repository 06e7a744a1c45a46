package cairnline.protocol;

import java.util.Map;
import java.util.TreeMap;

/** The set of stream numbers used on a connection, stored as ranges: a client that counts up needs a single range. */
public final class UsedStreams {
    private static final int MAX_RANGES = 1_024;

    /** Last number of each range by its first number. */
    private final TreeMap<Long, Long> ranges = new TreeMap<>();

    /** Marks a number as used; returns false if it was used before, is 0, or would exceed the limit on ranges. */
    public boolean use(long stream) {
        Map.Entry<Long, Long> rangeBelow = ranges.floorEntry(stream);
        boolean isUsed = rangeBelow != null && stream <= rangeBelow.getValue();
        if (stream == 0 || isUsed || ranges.size() >= MAX_RANGES) {
            return false;
        }
        long first = rangeBelow != null && rangeBelow.getValue() == stream - 1 ? rangeBelow.getKey() : stream;
        Long lastOfNext = ranges.remove(stream + 1);
        ranges.put(first, lastOfNext == null ? stream : lastOfNext);
        return true;
    }
}
