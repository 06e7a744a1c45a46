package cairnline.program;

import cairnline.protocol.ProtocolException;
import java.io.IOException;

/** Threads of stand-ins, which end quietly when their sockets are closed. */
final class DaemonThreads {
    private static final int STACK = 256 * 1_024;

    private DaemonThreads() { }

    /** What such a thread does. */
    interface Task {
        void run() throws IOException;
    }

    static void start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | ProtocolException e) {
                // The other side, or the test, has ended it.
            }
        }, name, STACK);
        thread.setDaemon(true);
        thread.start();
    }
}
