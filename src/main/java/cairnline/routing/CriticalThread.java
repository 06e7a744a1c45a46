package cairnline.routing;

/**
 * Marks the failure of a thread without which the program cannot serve, although its process would live on. The handler of
 * uncaught errors recognises {@link Terminated} and terminates the process.
 */
public final class CriticalThread {
    private CriticalThread() { }

    /** Thrown when a critical thread terminates; the cause says why. */
    public static final class Terminated extends Error {
        private static final long serialVersionUID = 1L;

        Terminated(Throwable cause) {
            super(cause);
        }
    }

    /** Wraps the task of a critical thread so that whatever it throws is reported as {@link Terminated}. */
    public static Runnable wrap(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                throw new Terminated(e);
            }
        };
    }
}
