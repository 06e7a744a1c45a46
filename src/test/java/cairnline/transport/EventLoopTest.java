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

/** Tests that the event loop runs every task and timer. */
class EventLoopTest {
    private static final long TIMEOUT_SECONDS = 30;
    private static final int THREAD_COUNT = 6;
    private static final int TASKS_PER_THREAD = 20_000;

    @Test
    void runsEveryTaskSubmittedWhileTheLoopBlocks() throws Exception {
        try (EventLoop loop = new EventLoop("test", 1 << 18, new Clock())) {
            loop.start();
            AtomicInteger completed = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < THREAD_COUNT; i++) {
                threads.add(new Thread(() -> submitAndAwait(loop, completed)));
            }
            threads.forEach(Thread::start);
            for (Thread thread : threads) {
                thread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            }
            assertEquals(THREAD_COUNT * TASKS_PER_THREAD, completed.get());
        }
    }

    private static void submitAndAwait(EventLoop loop, AtomicInteger completed) {
        try {
            for (int i = 0; i < TASKS_PER_THREAD; i++) {
                CountDownLatch ran = new CountDownLatch(1);
                loop.execute(ran::countDown);
                if (!ran.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    return;
                }
                completed.incrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void runsTimersInOrderAndSkipsCancelledOne() throws Exception {
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
            assertEquals("first", ran.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals("second", ran.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertTrue(ran.isEmpty());
        }
    }
}
