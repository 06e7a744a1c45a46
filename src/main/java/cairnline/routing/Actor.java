package cairnline.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/** A thread with a bounded mailbox. Each turn it reads the clock once and takes the letters that are there. */
public final class Actor {
    /** What happens round the letters of a turn. */
    public interface Handler {
        /** A turn begins, at this time. */
        void begin(long now);

        /** The letters are done; gives the time of the next turn, should no letter come. */
        long end(long now);
    }

    /** Next turn, in microseconds, should the end of one have failed. */
    private static final long RETRY = 10_000;

    private final BlockingQueue<Runnable> mailbox;
    private final int lettersATurn;
    private final Clock clock;
    private final Handler turns;
    private final Thread thread;
    private volatile boolean stopped;

    /** An actor that does not run yet; one whose letters may block takes one a turn, so that its time is true. */
    public Actor(String name, int mailboxSize, int lettersATurn, int stackBytes, Clock clock, Handler turns) {
        this.lettersATurn = lettersATurn;
        this.mailbox = new ArrayBlockingQueue<>(mailboxSize);
        this.clock = clock;
        this.turns = turns;
        this.thread = new Thread(null, CriticalThread.wrap(this::run), name, stackBytes);
        thread.setDaemon(true);
    }

    /** Starts the actor's thread. */
    public void start() {
        thread.start();
    }

    /** Leaves a letter, waiting for room; for threads that can stand still. */
    public void put(Runnable letter) {
        try {
            while (!stopped && !mailbox.offer(letter, 1, TimeUnit.SECONDS)) {
                Thread.onSpinWait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Leaves a letter if there is room; for threads that must not stand still. */
    public boolean offer(Runnable letter) {
        return !stopped && mailbox.offer(letter);
    }

    /** Ends the thread after the letters of this turn. */
    public void stop() {
        stopped = true;
        mailbox.offer(() -> { });
    }

    private void run() {
        List<Runnable> letters = new ArrayList<>();
        long next = clock.micros();
        long now = next;
        while (!stopped) {
            try {
                Runnable first = next == Long.MAX_VALUE ? mailbox.take()
                        : mailbox.poll(next - now, TimeUnit.MICROSECONDS);
                if (first != null) {
                    letters.add(first);
                    mailbox.drainTo(letters, lettersATurn - 1);
                }
            } catch (InterruptedException e) {
                return;
            }
            now = clock.micros();
            long time = now;
            guarded(() -> turns.begin(time));
            letters.forEach(Actor::guarded);
            letters.clear();
            long[] due = {now + RETRY};
            guarded(() -> due[0] = turns.end(time));
            next = due[0];
        }
    }

    /** One bad letter must not end the actor, and with it all that waits for it. */
    public static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | OutOfMemoryError e) {
            Thread.currentThread().getUncaughtExceptionHandler().uncaughtException(Thread.currentThread(), e);
        }
    }
}
