package cairnline.protocol;

import java.util.ArrayList;

/**
 * A FIFO buffer of received bytes that have not been parsed yet. The bytes are stored in segments of a fixed size, each of
 * which is allocated when bytes arrive and released as soon as its bytes are taken. The memory that a buffer retains
 * therefore follows its present content, not the largest message that ever passed through it. Not thread-safe.
 */
public final class ByteQueue {
    static final int SEGMENT_BYTES = 4_096;

    private final ArrayList<byte[]> segments = new ArrayList<>();
    /** Offset of the first byte in the first segment. */
    private int start;
    private int size;

    /** Appends {@code count} bytes of {@code from}, starting at {@code offset}. */
    public void feed(byte[] from, int offset, int count) {
        int copied = 0;
        while (copied < count) {
            int end = start + size;
            if (end == segments.size() * SEGMENT_BYTES) {
                segments.add(new byte[SEGMENT_BYTES]);
            }
            int segmentOffset = end % SEGMENT_BYTES;
            int length = Math.min(count - copied, SEGMENT_BYTES - segmentOffset);
            System.arraycopy(from, offset + copied, segments.get(end / SEGMENT_BYTES), segmentOffset, length);
            copied += length;
            size += length;
        }
    }

    /** Returns the number of buffered bytes. */
    public int size() {
        return size;
    }

    /** Returns the number of bytes of memory that the buffer retains for its content. */
    public int heldBytes() {
        return segments.size() * SEGMENT_BYTES;
    }

    /** Returns the unsigned byte at this offset from the front. */
    public int unsignedByte(int index) {
        int position = start + index;
        return segments.get(position / SEGMENT_BYTES)[position % SEGMENT_BYTES] & 0xff;
    }

    /** Returns the unsigned big-endian 32-bit integer at this offset from the front. */
    public long unsignedInt(int index) {
        return (long) unsignedByte(index) << 24 | unsignedByte(index + 1) << 16 | unsignedByte(index + 2) << 8
                | unsignedByte(index + 3);
    }

    /** Returns the offset of the first occurrence of this byte at or after {@code from}, or -1. */
    public int indexOf(int value, int from) {
        for (int i = from; i < size; i++) {
            if (unsignedByte(i) == value) {
                return i;
            }
        }
        return -1;
    }

    /** Returns a copy of {@code count} bytes at this offset from the front. */
    public byte[] copy(int index, int count) {
        byte[] target = new byte[count];
        int copied = 0;
        while (copied < count) {
            int position = start + index + copied;
            int segmentOffset = position % SEGMENT_BYTES;
            int length = Math.min(count - copied, SEGMENT_BYTES - segmentOffset);
            System.arraycopy(segments.get(position / SEGMENT_BYTES), segmentOffset, target, copied, length);
            copied += length;
        }
        return target;
    }

    /** Removes and returns {@code count} bytes from the front. */
    public byte[] take(int count) {
        byte[] taken = copy(0, count);
        skip(count);
        return taken;
    }

    /** Moves {@code count} bytes from the front to the end of another queue. */
    void moveTo(ByteQueue target, int count) {
        int moved = 0;
        while (moved < count) {
            int position = start + moved;
            int segmentOffset = position % SEGMENT_BYTES;
            int length = Math.min(count - moved, SEGMENT_BYTES - segmentOffset);
            target.feed(segments.get(position / SEGMENT_BYTES), segmentOffset, length);
            moved += length;
        }
        skip(count);
    }

    /** Discards {@code count} bytes from the front. */
    public void skip(int count) {
        size -= count;
        if (size == 0) {
            clear();
            return;
        }
        start += count;
        if (start >= SEGMENT_BYTES) {
            segments.subList(0, start / SEGMENT_BYTES).clear();
            start %= SEGMENT_BYTES;
        }
    }

    /** Discards all bytes. */
    public void clear() {
        segments.clear();
        segments.trimToSize();
        start = 0;
        size = 0;
    }
}
