package cairnline.transport;

import cairnline.routing.CriticalThread;
import java.io.Closeable;
import java.io.IOException;

/** Helpers to start threads and to close resources. */
final class Threads {
    private Threads() { }

    /** Starts a daemon thread whose end must end the process, since the program cannot serve requests without it. */
    static void startCritical(String name, int stackBytes, Runnable task) {
        Thread thread = new Thread(null, CriticalThread.wrap(task), name, stackBytes);
        thread.setDaemon(true);
        thread.start();
    }

    /** Closes a resource and ignores failures to do so. */
    static void close(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // The descriptor is released either way.
        }
    }
}
