package cairnline.program;

import java.lang.reflect.Proxy;

/** Installs handlers for operating system signals. */
final class Signals {
    private Signals() { }

    /**
     * Runs a task on each signal of a name without its SIG prefix. Java has no public API for this; {@code sun.misc.Signal},
     * which all JDKs ship, is used by reflection, since javac warns about every direct use and {@code -Werror} turns that
     * warning into an error.
     */
    static void handle(String signal, Runnable task) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handlerType},
                    (proxy, method, arguments) -> {
                        task.run();
                        return null;
                    });
            signalType.getMethod("handle", signalType, handlerType)
                    .invoke(null, signalType.getConstructor(String.class).newInstance(signal), handler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIG" + signal + " cannot be handled by this virtual machine", e);
        }
    }
}
