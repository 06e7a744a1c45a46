package cairnline.program;

/**
 * Handles SIGHUP, the request to reload the configuration. The handler is installed at the start of the program, since an
 * unhandled SIGHUP terminates the virtual machine. A signal that arrives before the reload task is set is deferred until
 * then; several are merged into one.
 */
final class ReloadSignal {
    private Runnable reload;
    private boolean pending;

    /** Installs the signal handler. */
    static ReloadSignal install() {
        ReloadSignal signal = new ReloadSignal();
        Signals.handle("HUP", signal::onSignal);
        return signal;
    }

    /** Sets the task that runs on each signal, and runs it at once if a signal is pending. */
    synchronized void setReloadTask(Runnable task) {
        reload = task;
        if (pending) {
            pending = false;
            task.run();
        }
    }

    synchronized void onSignal() {
        if (reload == null) {
            pending = true;
        } else {
            reload.run();
        }
    }
}
