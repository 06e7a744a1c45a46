package cairnline.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against buffers that retain memory for bytes that have been taken, and against wrong content across segments. */
class ByteQueueTest {
    /** Content may begin and end anywhere in a segment. */
    private static final int MAX_UNUSED_BYTES = 2 * ByteQueue.SEGMENT_BYTES;
    private static final int LARGE_MESSAGE_BYTES = 1 << 20;

    private static byte[] bytes(int from, int count) {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = (byte) ((from + i) * 31 >> 3);
        }
        return bytes;
    }

    @Test
    void retainsNothingOnceALargeMessageIsTaken() {
        ByteQueue queue = new ByteQueue();
        queue.feed(new byte[LARGE_MESSAGE_BYTES], 0, LARGE_MESSAGE_BYTES);
        assertTrue(queue.heldBytes() >= LARGE_MESSAGE_BYTES);
        queue.take(LARGE_MESSAGE_BYTES);
        assertEquals(0, queue.heldBytes());
    }

    @Test
    void retainsOnlyTheStartOfTheNextMessageOnceALargeMessageIsTaken() {
        ByteQueue queue = new ByteQueue();
        queue.feed(new byte[LARGE_MESSAGE_BYTES], 0, LARGE_MESSAGE_BYTES);
        queue.feed(new byte[] {7}, 0, 1);
        queue.take(LARGE_MESSAGE_BYTES);
        assertEquals(ByteQueue.SEGMENT_BYTES, queue.heldBytes());
        assertEquals(7, queue.unsignedByte(0));
    }

    /** Each step feeds, then takes, a number of bytes; a negative number is that of bytes to skip. */
    @Property(seed = "38", tries = 300)
    void returnsWhatWasFedAndHoldsLittleMore(
            @ForAll @Size(max = 40) List<@IntRange(min = -20_000, max = 20_000) Integer> steps) {
        ByteQueue queue = new ByteQueue();
        ByteArrayOutputStream fed = new ByteArrayOutputStream();
        int front = 0;
        for (int step : steps) {
            byte[] input = bytes(fed.size(), Math.abs(step));
            queue.feed(input, 0, input.length);
            fed.writeBytes(input);
            int count = Math.min(queue.size(), Math.abs(step * 7 % 30_000));
            byte[] expected = Arrays.copyOfRange(fed.toByteArray(), front, front + count);
            if (step < 0) {
                queue.skip(count);
            } else {
                assertArrayEquals(expected, queue.take(count));
            }
            front += count;
            assertEquals(fed.size() - front, queue.size());
            assertTrue(queue.heldBytes() <= queue.size() + MAX_UNUSED_BYTES, () -> queue.heldBytes() + " for " + queue.size());
            assertTrue(queue.size() > 0 || queue.heldBytes() == 0);
        }
        byte[] rest = Arrays.copyOfRange(fed.toByteArray(), front, fed.size());
        assertArrayEquals(rest, queue.copy(0, rest.length));
        assertEquals(rest.length == 0 ? -1 : 0, queue.indexOf(rest.length == 0 ? 0 : rest[0] & 0xff, 0));
    }
}
