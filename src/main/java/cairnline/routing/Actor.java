package cairnline.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A thread with a bounded mailbox of tasks. In each turn it reads the clock once and runs the tasks that are in the
 * mailbox. Tasks can be submitted from any thread.
 */
public final class Actor {
    /** Callbacks before and after the tasks of a turn. Called on the actor's thread. */
    public interface Handler {
        /** Called at the start of a turn, with the time in microseconds. */
        void beginTurn(long now);

        /** Called after the tasks of a turn; returns the time of the next turn in case no task arrives before. */
        long endTurn(long now);
    }

    /** Delay of the next turn after {@link Handler#endTurn} has failed. */
    private static final long FAILED_TURN_DELAY_MICROS = 10_000;

    private final BlockingQueue<Runnable> mailbox;
    private final int maxTasksPerTurn;
    private final Clock clock;
    private final Handler handler;
    private final Thread thread;
    private volatile boolean stopped;

    /**
     * Creates an actor that is not started yet. An actor whose tasks may block should run one task per turn, so that the
     * time of the turn is current.
     */
    public Actor(String name, int mailboxSize, int maxTasksPerTurn, int stackBytes, Clock clock, Handler handler) {
        this.maxTasksPerTurn = maxTasksPerTurn;
        this.mailbox = new ArrayBlockingQueue<>(mailboxSize);
        this.clock = clock;
        this.handler = handler;
        this.thread = new Thread(null, CriticalThread.wrap(this::run), name, stackBytes);
        thread.setDaemon(true);
    }

    /** Starts the actor's thread. */
    public void start() {
        thread.start();
    }

    /** Submits a task and waits while the mailbox is full; for threads that may block. */
    public void put(Runnable task) {
        try {
            while (!stopped && !mailbox.offer(task, 1, TimeUnit.SECONDS)) {
                Thread.onSpinWait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Submits a task unless the mailbox is full or the actor has stopped; for threads that must not block. */
    public boolean offer(Runnable task) {
        return !stopped && mailbox.offer(task);
    }

    /** Stops the thread after the tasks of the current turn. */
    public void stop() {
        stopped = true;
        mailbox.offer(() -> { });
    }

    private void run() {
        List<Runnable> tasks = new ArrayList<>();
        long nextTurnAt = clock.micros();
        long now = nextTurnAt;
        while (!stopped) {
            try {
                Runnable first = nextTurnAt == Long.MAX_VALUE ? mailbox.take()
                        : mailbox.poll(nextTurnAt - now, TimeUnit.MICROSECONDS);
                if (first != null) {
                    tasks.add(first);
                    mailbox.drainTo(tasks, maxTasksPerTurn - 1);
                }
            } catch (InterruptedException e) {
                return;
            }
            now = clock.micros();
            long turnTime = now;
            runGuarded(() -> handler.beginTurn(turnTime));
            tasks.forEach(Actor::runGuarded);
            tasks.clear();
            long[] next = {now + FAILED_TURN_DELAY_MICROS};
            runGuarded(() -> next[0] = handler.endTurn(turnTime));
            nextTurnAt = next[0];
        }
    }

    /**
     * Runs a task and passes what it throws to the thread's handler of uncaught exceptions: one failing task must not
     * terminate the actor, on which all others depend.
     */
    public static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | OutOfMemoryError e) {
            Thread.currentThread().getUncaughtExceptionHandler().uncaughtException(Thread.currentThread(), e);
        }
    }
}
