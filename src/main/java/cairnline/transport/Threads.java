package cairnline.transport;

import cairnline.routing.CriticalThread;
import java.io.Closeable;
import java.io.IOException;

/** Platform threads with small stacks, and quiet closing. */
final class Threads {
    private Threads() { }

    /** Starts a thread without which the program serves nobody; the stack is in bytes. */
    static void startVital(String name, int stackBytes, Runnable task) {
        Thread thread = new Thread(null, CriticalThread.wrap(task), name, stackBytes);
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
}
