package cairnline.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against timers that keep a cancelled task, and all that it refers to, until it would have been due. */
class TimersTest {
    @Test
    void holdsNoCancelledTaskAndRunsTheOthersInOrder() {
        Timers timers = new Timers();
        List<String> ran = new ArrayList<>();
        timers.schedule(20, () -> ran.add("second"));
        timers.schedule(10, () -> ran.add("first"));
        Timers.Timer cancelled = timers.schedule(20, () -> ran.add("cancelled"));
        timers.schedule(20, () -> ran.add("third"));
        timers.cancel(cancelled);
        timers.cancel(cancelled);
        timers.cancel(null);
        assertEquals(3, timers.size());
        assertEquals(10, timers.nextDueAt());
        for (Runnable task = timers.pollDue(20); task != null; task = timers.pollDue(20)) {
            task.run();
        }
        assertEquals(List.of("first", "second", "third"), ran);
        assertNull(timers.pollDue(Long.MAX_VALUE - 1));
    }
}
