package cairnline.transport;

import java.io.Closeable;
import java.io.IOException;

/** Platform threads with small stacks, and quiet closing. */
final class Threads {
    private Threads() { }

    static void start(String name, int stackBytes, Runnable task) {
        Thread thread = new Thread(null, task, name, stackBytes);
        thread.setDaemon(true);
        thread.start();
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
