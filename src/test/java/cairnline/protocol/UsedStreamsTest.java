package cairnline.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

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
}
