package cairnline.transport;

import cairnline.routing.Actor;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * What is to be done for one peer, in the order left: an actor with a bounded mailbox that has a thread only while
 * there is something in it. Hundreds of peers hardly write at the same time, and where the share of a core is kept by
 * stopping the process, every thread costs at each stop.
 */
final class Outbox {
    private final BlockingQueue<Runnable> letters;
    private final Executor threads;
    private final AtomicBoolean busy = new AtomicBoolean();
    private volatile boolean stopped;

    Outbox(int size, Executor threads) {
        this.letters = new ArrayBlockingQueue<>(size);
        this.threads = threads;
    }

    /** Leaves a letter if there is room; never waits. */
    boolean offer(Runnable letter) {
        if (stopped || !letters.offer(letter)) {
            return false;
        }
        return wake();
    }

    /** Nothing is done any more but what is being done. */
    void stop() {
        stopped = true;
        letters.clear();
    }

    private boolean wake() {
        if (!busy.compareAndSet(false, true)) {
            return true;
        }
        try {
            threads.execute(this::run);
            return true;
        } catch (OutOfMemoryError e) {
            // There is no thread to be had.
            busy.set(false);
            return false;
        }
    }

    private void run() {
        do {
            for (Runnable letter = letters.poll(); letter != null; letter = letters.poll()) {
                if (!stopped) {
                    Actor.guarded(letter);
                }
            }
            busy.set(false);
            // A letter may have come after the last look, from one who saw this as busy; another thread may not be had.
        } while (!letters.isEmpty() && busy.compareAndSet(false, true));
    }
}
