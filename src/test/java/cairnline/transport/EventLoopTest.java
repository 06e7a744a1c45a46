package cairnline.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.routing.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    private static final long LIMIT_S = 30;
    private static final int THREADS = 6;
    private static final int TASKS = 20_000;

    @Test
    void noTaskWaitsInALoopThatSleeps() throws Exception {
        try (EventLoop loop = new EventLoop("test", 1 << 18, new Clock())) {
            loop.start();
            AtomicInteger done = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < THREADS; i++) {
                threads.add(new Thread(() -> leaveAndAwait(loop, done)));
            }
            threads.forEach(Thread::start);
            for (Thread thread : threads) {
                thread.join(TimeUnit.SECONDS.toMillis(LIMIT_S));
            }
            assertEquals(THREADS * TASKS, done.get());
        }
    }

    private static void leaveAndAwait(EventLoop loop, AtomicInteger done) {
        try {
            for (int i = 0; i < TASKS; i++) {
                CountDownLatch ran = new CountDownLatch(1);
                loop.execute(ran::countDown);
                if (!ran.await(LIMIT_S, TimeUnit.SECONDS)) {
                    return;
                }
                done.incrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void timersRunInTheirOrderAndACancelledOneDoesNot() throws Exception {
        Clock clock = new Clock();
        LinkedBlockingQueue<String> ran = new LinkedBlockingQueue<>();
        try (EventLoop loop = new EventLoop("test", 1 << 18, clock)) {
            loop.start();
            loop.execute(() -> {
                long now = clock.micros();
                loop.schedule(now + 2_000, null, () -> ran.add("second"));
                EventLoop.Timer cancelled = loop.schedule(now + 1_500, null, () -> ran.add("cancelled"));
                loop.schedule(now + 1_000, null, () -> ran.add("first"));
                loop.cancel(cancelled);
            });
            assertEquals("first", ran.poll(LIMIT_S, TimeUnit.SECONDS));
            assertEquals("second", ran.poll(LIMIT_S, TimeUnit.SECONDS));
            assertTrue(ran.isEmpty());
        }
    }
}
