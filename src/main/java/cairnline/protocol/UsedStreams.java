package cairnline.protocol;

import java.util.Map;
import java.util.TreeMap;

/** The stream numbers that were used on one connection, kept as ranges: a client that counts up has a single one. */
public final class UsedStreams {
    private static final int RANGES_MOST = 1_024;

    /** Last number of each range, by its first. */
    private final TreeMap<Long, Long> ranges = new TreeMap<>();

    /** Marks a number as used; false if it was, if it is 0, or if the numbers are too scattered to be kept. */
    public boolean use(long stream) {
        Map.Entry<Long, Long> below = ranges.floorEntry(stream);
        boolean used = below != null && stream <= below.getValue();
        if (stream == 0 || used || ranges.size() >= RANGES_MOST) {
            return false;
        }
        long first = below != null && below.getValue() == stream - 1 ? below.getKey() : stream;
        Long last = ranges.remove(stream + 1);
        ranges.put(first, last == null ? stream : last);
        return true;
    }
}
