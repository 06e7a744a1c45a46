package cairnline.protocol;

import java.util.Arrays;

/** A growable FIFO buffer of received bytes that have not been parsed yet. Not thread-safe. */
public final class ByteQueue {
    private static final int INITIAL_CAPACITY_BYTES = 512;

    private byte[] bytes = new byte[INITIAL_CAPACITY_BYTES];
    private int start;
    private int end;

    /** Appends {@code count} bytes of {@code from}, starting at {@code offset}. */
    public void feed(byte[] from, int offset, int count) {
        if (end + count > bytes.length) {
            int size = end - start;
            // Reallocates an empty buffer, so that an idle connection does not retain the capacity of its largest message.
            byte[] target = size + count <= bytes.length && size > 0 ? bytes
                    : new byte[Math.max(INITIAL_CAPACITY_BYTES, Integer.highestOneBit(size + count) * 2)];
            System.arraycopy(bytes, start, target, 0, size);
            bytes = target;
            start = 0;
            end = size;
        }
        System.arraycopy(from, offset, bytes, end, count);
        end += count;
    }

    /** Returns the number of buffered bytes. */
    public int size() {
        return end - start;
    }

    /** Returns the unsigned byte at this offset from the front. */
    public int unsignedByte(int index) {
        return bytes[start + index] & 0xff;
    }

    /** Returns the unsigned big-endian 32-bit integer at this offset from the front. */
    public long unsignedInt(int index) {
        return (long) unsignedByte(index) << 24 | unsignedByte(index + 1) << 16 | unsignedByte(index + 2) << 8
                | unsignedByte(index + 3);
    }

    /** Returns the offset of the first occurrence of this byte at or after {@code from}, or -1. */
    public int indexOf(int value, int from) {
        for (int i = from; i < size(); i++) {
            if (unsignedByte(i) == value) {
                return i;
            }
        }
        return -1;
    }

    /** Removes and returns {@code count} bytes from the front. */
    public byte[] take(int count) {
        byte[] taken = Arrays.copyOfRange(bytes, start, start + count);
        skip(count);
        return taken;
    }

    /** Discards {@code count} bytes from the front. */
    public void skip(int count) {
        start += count;
        if (start == end) {
            start = 0;
            end = 0;
        }
    }
}
