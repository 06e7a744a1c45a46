package cairnline.protocol;

import java.util.Arrays;

/** Bytes received and not yet parsed: fed at the end, taken from the front. */
public final class ByteQueue {
    private static final int FIRST_SIZE = 512;

    private byte[] bytes = new byte[FIRST_SIZE];
    private int start;
    private int end;

    /** Appends what has been read. */
    public void feed(byte[] from, int offset, int count) {
        if (end + count > bytes.length) {
            int held = end - start;
            // An idle peer must not keep the room of its largest message.
            byte[] room = held + count <= bytes.length && held > 0 ? bytes
                    : new byte[Math.max(FIRST_SIZE, Integer.highestOneBit(held + count) * 2)];
            System.arraycopy(bytes, start, room, 0, held);
            bytes = room;
            start = 0;
            end = held;
        }
        System.arraycopy(from, offset, bytes, end, count);
        end += count;
    }

    /** How many bytes are held. */
    public int size() {
        return end - start;
    }

    /** The byte this far from the front, unsigned. */
    public int at(int index) {
        return bytes[start + index] & 0xff;
    }

    /** A big-endian 32-bit number this far from the front, unsigned. */
    public long number(int index) {
        return (long) at(index) << 24 | at(index + 1) << 16 | at(index + 2) << 8 | at(index + 3);
    }

    /** Where this byte first occurs from an index on; -1 if not. */
    public int indexOf(int value, int from) {
        for (int i = from; i < size(); i++) {
            if (at(i) == value) {
                return i;
            }
        }
        return -1;
    }

    /** Takes so many bytes from the front. */
    public byte[] take(int count) {
        byte[] taken = Arrays.copyOfRange(bytes, start, start + count);
        skip(count);
        return taken;
    }

    /** Drops so many bytes from the front. */
    public void skip(int count) {
        start += count;
        if (start == end) {
            start = 0;
            end = 0;
        }
    }
}
