package cairnline.transport;

import cairnline.routing.Vital;
import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Platform threads with small stacks, and quiet closing. */
final class Threads {
    private static final int KEPT_S = 2;
    private static final Map<Integer, Executor> SHARED = new ConcurrentHashMap<>();

    private Threads() { }

    static void start(String name, int stackBytes, Runnable task) {
        Thread thread = new Thread(null, task, name, stackBytes);
        thread.setDaemon(true);
        thread.start();
    }

    /** The same for a thread without which the program serves nobody. */
    static void startVital(String name, int stackBytes, Runnable task) {
        start(name, stackBytes, Vital.task(task));
    }

    /** Threads that are kept for a little while and used again. */
    static Executor shared(int stackBytes) {
        return SHARED.computeIfAbsent(stackBytes, size -> new ThreadPoolExecutor(0, Integer.MAX_VALUE, KEPT_S,
                TimeUnit.SECONDS, new SynchronousQueue<>(), task -> {
                    Thread thread = new Thread(null, task, "shared", size);
                    thread.setDaemon(true);
                    return thread;
                }));
    }

    static void close(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // It is closed for us either way.
        }
    }

    /** False if interrupted. */
    static boolean pause(long micros) {
        try {
            Thread.sleep(micros / 1_000);
            return true;
        } catch (InterruptedException e) {
            return false;
        }
    }
}
