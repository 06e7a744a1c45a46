package cairnline.program;

import java.lang.reflect.Proxy;

/** Signals of the system. */
final class Signals {
    private Signals() { }

    /**
     * Runs a task at each such signal. Java has no public class for that; the one that all JDKs ship is used by its
     * name, since javac warns of every use and {@code -Werror} makes that an error.
     */
    static void handle(String signal, Runnable task) {
        try {
            Class<?> type = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handles = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        task.run();
                        return null;
                    });
            type.getMethod("handle", type, handler)
                    .invoke(null, type.getConstructor(String.class).newInstance(signal), handles);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIG" + signal + " can't be handled here", e);
        }
    }
}
