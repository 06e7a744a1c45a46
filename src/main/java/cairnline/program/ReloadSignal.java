package cairnline.program;

/**
 * SIGHUP, which asks for the configuration to be read again. It is handled from the first moment, since the virtual machine
 * ends on one that nobody handles; one that comes before there is anything to reload is carried out then.
 */
final class ReloadSignal {
    private Runnable reload;
    private boolean pending;

    /** Handles the signal from now on. */
    static ReloadSignal install() {
        ReloadSignal signal = new ReloadSignal();
        Signals.handle("HUP", signal::received);
        return signal;
    }

    /** From now on the signal is answered by this task, and at once if it came before. */
    synchronized void answerBy(Runnable task) {
        reload = task;
        if (pending) {
            pending = false;
            task.run();
        }
    }

    synchronized void received() {
        if (reload == null) {
            pending = true;
        } else {
            reload.run();
        }
    }
}
