package cairnline.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ActorTest {
    private static final int STACK = 256 * 1024;

    private static Actor actor(int mailbox) {
        return new Actor("test", mailbox, mailbox, STACK, new Clock(), new Actor.Handler() {
            @Override
            public void begin(long now) { }

            @Override
            public long end(long now) {
                return Long.MAX_VALUE;
            }
        });
    }

    @Test
    void lettersGoInOrderAndABadOneEndsNothing() throws InterruptedException {
        Actor actor = actor(8);
        List<Integer> seen = new CopyOnWriteArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        actor.put(() -> seen.add(1));
        actor.put(() -> {
            Thread.currentThread().setUncaughtExceptionHandler((thread, e) -> seen.add(2));
            throw new IllegalStateException();
        });
        actor.put(() -> seen.add(3));
        actor.put(done::countDown);
        actor.start();
        assertTrue(done.await(10, TimeUnit.SECONDS));
        assertEquals(List.of(1, 2, 3), seen);
        actor.stop();
    }

    @Test
    void aFullMailboxTakesNoMoreAndDoesNotBlock() {
        Actor actor = actor(2);
        assertTrue(actor.offer(() -> { }));
        assertTrue(actor.offer(() -> { }));
        assertFalse(actor.offer(() -> { }));
    }

    @Test
    void timersRunWhenDueAndTiesInTheOrderSet() {
        Timers timers = new Timers();
        StringBuilder ran = new StringBuilder();
        timers.at(20, () -> ran.append('c'));
        timers.at(10, () -> ran.append('a'));
        timers.at(10, () -> ran.append('b'));
        assertEquals(10, timers.next());
        for (Runnable task = timers.due(10); task != null; task = timers.due(10)) {
            task.run();
        }
        assertEquals("ab", ran.toString());
        assertEquals(20, timers.next());
    }
}
