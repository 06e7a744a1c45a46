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
    private static final int STACK_BYTES = 256 * 1024;

    private static Actor actor(int mailboxSize) {
        return new Actor("test", mailboxSize, mailboxSize, STACK_BYTES, new Clock(), new Actor.Handler() {
            @Override
            public void beginTurn(long now) { }

            @Override
            public long endTurn(long now) {
                return Long.MAX_VALUE;
            }
        });
    }

    @Test
    void runsTasksInOrderAndSurvivesFailingTask() throws InterruptedException {
        Actor actor = actor(8);
        List<Integer> events = new CopyOnWriteArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        actor.put(() -> events.add(1));
        actor.put(() -> {
            Thread.currentThread().setUncaughtExceptionHandler((thread, e) -> events.add(2));
            throw new IllegalStateException();
        });
        actor.put(() -> events.add(3));
        actor.put(done::countDown);
        actor.start();
        assertTrue(done.await(10, TimeUnit.SECONDS));
        assertEquals(List.of(1, 2, 3), events);
        actor.stop();
    }

    @Test
    void rejectsTaskWithoutBlockingWhenMailboxIsFull() {
        Actor actor = actor(2);
        assertTrue(actor.offer(() -> { }));
        assertTrue(actor.offer(() -> { }));
        assertFalse(actor.offer(() -> { }));
    }

    @Test
    void runsTimersWhenDueAndTiesInSchedulingOrder() {
        Timers timers = new Timers();
        StringBuilder ran = new StringBuilder();
        timers.schedule(20, () -> ran.append('c'));
        timers.schedule(10, () -> ran.append('a'));
        timers.schedule(10, () -> ran.append('b'));
        assertEquals(10, timers.nextDueAt());
        for (Runnable task = timers.pollDue(10); task != null; task = timers.pollDue(10)) {
            task.run();
        }
        assertEquals("ab", ran.toString());
        assertEquals(20, timers.nextDueAt());
    }
}
