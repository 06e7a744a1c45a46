package cairnline.routing;

/**
 * A thread without which the program serves nobody, though its process would live on: what ends the thread is to end the
 * process. Whoever handles uncaught errors tells it from the end of any other thread by {@link Terminated}.
 */
public final class CriticalThread {
    private CriticalThread() { }

    /** Such a thread has ended, for this reason. */
    public static final class Terminated extends Error {
        private static final long serialVersionUID = 1L;

        Terminated(Throwable cause) {
            super(cause);
        }
    }

    /** The same task for such a thread. */
    public static Runnable task(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                throw new Terminated(e);
            }
        };
    }
}
