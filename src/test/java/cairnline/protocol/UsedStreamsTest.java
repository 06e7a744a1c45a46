package cairnline.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests that the ranges of used stream numbers behave like a plain set. */
class UsedStreamsTest {
    @Property
    void acceptsEachNumberOnceAndNeverZero(@ForAll @Size(max = 200) List<@LongRange(min = 0, max = 60) Long> numbers) {
        UsedStreams streams = new UsedStreams();
        Set<Long> usedNumbers = new HashSet<>(Set.of(0L));
        for (long number : numbers) {
            assertEquals(usedNumbers.add(number), streams.use(number), "number " + number);
        }
    }

    /** Guards against a client with scattered stream numbers making the connection hold memory that is not counted. */
    @Test
    void countsTheMemoryOfScatteredNumbersAndLimitsThem() {
        UsedStreams streams = new UsedStreams();
        for (long number = 1; number <= 100_000; number++) {
            assertTrue(streams.use(number));
        }
        assertEquals(0, streams.heldBytes(), "a client that counts up");
        long number = 200_000;
        while (streams.use(number)) {
            number += 2;
        }
        int rangesAdded = (int) (number - 200_000) / 2;
        assertTrue(streams.heldBytes() >= (rangesAdded - 1) * 2 * Long.BYTES && streams.heldBytes() <= 16_384,
                () -> streams.heldBytes() + " bytes held");
    }
}
