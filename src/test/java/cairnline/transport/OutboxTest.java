package cairnline.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An outbox in the hands of an executor that does nothing by itself. */
class OutboxTest {
    private final Deque<Runnable> threads = new ArrayDeque<>();
    private final Outbox outbox = new Outbox(2, threads::add);
    private final List<Integer> done = new ArrayList<>();

    @Test
    void itHasAThreadOnlyWhileThereIsSomethingToDo() {
        assertTrue(outbox.offer(() -> done.add(1)));
        assertTrue(outbox.offer(() -> done.add(2)));
        assertEquals(1, threads.size(), "one thread does both");
        threads.remove().run();
        assertEquals(List.of(1, 2), done);
        assertTrue(threads.isEmpty(), "it asks for no thread while it is empty");
        assertTrue(outbox.offer(() -> done.add(3)));
        threads.remove().run();
        assertEquals(List.of(1, 2, 3), done);
    }

    @Test
    void aLetterLeftByALetterIsDoneToo() {
        outbox.offer(() -> outbox.offer(() -> done.add(2)));
        threads.remove().run();
        assertEquals(List.of(2), done);
    }

    @Test
    void aFullOneTakesNoMoreAndAStoppedOneDoesNoMore() {
        assertTrue(outbox.offer(() -> done.add(1)));
        assertTrue(outbox.offer(() -> done.add(2)));
        assertFalse(outbox.offer(() -> done.add(3)));
        outbox.stop();
        threads.remove().run();
        assertFalse(outbox.offer(() -> done.add(4)));
        assertEquals(List.of(), done);
    }

    @Test
    void aBadLetterEndsNothing() {
        Thread.currentThread().setUncaughtExceptionHandler((thread, e) -> done.add(0));
        outbox.offer(() -> {
            throw new IllegalStateException();
        });
        outbox.offer(() -> done.add(1));
        threads.remove().run();
        Thread.currentThread().setUncaughtExceptionHandler(null);
        assertEquals(List.of(0, 1), done);
    }
}
