package cairnline.program;

import cairnline.protocol.ProtocolException;
import java.io.IOException;

/** Starts daemon threads of stand-ins, which terminate silently when their sockets are closed. */
final class DaemonThreads {
    private static final int THREAD_STACK_BYTES = 256 * 1_024;

    private DaemonThreads() { }

    /** The work of such a thread. */
    interface Task {
        void run() throws IOException;
    }

    static void start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | ProtocolException e) {
                // The peer or the test has closed the socket.
            }
        }, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }
}
