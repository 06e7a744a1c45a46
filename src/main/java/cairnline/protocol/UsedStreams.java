package cairnline.protocol;

import java.util.Arrays;

/**
 * The set of stream numbers used on a connection, stored as ranges: a client that counts up needs a single range. The ranges
 * are kept in plain arrays, since a client may choose numbers that each need a range of their own.
 */
public final class UsedStreams {
    private static final int MAX_RANGES = 1_024;
    private static final int INITIAL_RANGES = 2;

    /** First and last number of each range, in ascending order; ranges neither overlap nor touch. */
    private long[] firsts = new long[INITIAL_RANGES];
    private long[] lasts = new long[INITIAL_RANGES];
    private int count;

    /** Marks a number as used; returns false if it was used before, is 0, or would exceed the limit on ranges. */
    public boolean use(long stream) {
        int found = Arrays.binarySearch(firsts, 0, count, stream);
        int above = found >= 0 ? found : -found - 1;
        boolean isUsed = found >= 0 || above > 0 && stream <= lasts[above - 1];
        if (stream == 0 || isUsed || count >= MAX_RANGES) {
            return false;
        }
        boolean extendsBelow = above > 0 && lasts[above - 1] == stream - 1;
        boolean extendsAbove = above < count && firsts[above] == stream + 1;
        if (extendsBelow && extendsAbove) {
            lasts[above - 1] = lasts[above];
            remove(above);
        } else if (extendsBelow) {
            lasts[above - 1] = stream;
        } else if (extendsAbove) {
            firsts[above] = stream;
        } else {
            insert(above, stream);
        }
        return true;
    }

    private void insert(int index, long stream) {
        if (count == firsts.length) {
            firsts = Arrays.copyOf(firsts, 2 * count);
            lasts = Arrays.copyOf(lasts, 2 * count);
        }
        System.arraycopy(firsts, index, firsts, index + 1, count - index);
        System.arraycopy(lasts, index, lasts, index + 1, count - index);
        firsts[index] = stream;
        lasts[index] = stream;
        count++;
    }

    private void remove(int index) {
        count--;
        System.arraycopy(firsts, index + 1, firsts, index, count - index);
        System.arraycopy(lasts, index + 1, lasts, index, count - index);
    }

    /** Returns the number of bytes of memory that the ranges hold beyond those of a client that counts up. */
    public int heldBytes() {
        return (firsts.length - INITIAL_RANGES) * 2 * Long.BYTES;
    }
}
