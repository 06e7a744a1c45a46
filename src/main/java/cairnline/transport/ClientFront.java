package cairnline.transport;

import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.util.Map;

/** The platform's protocol: accepts clients and hands their requests to the core. */
public final class ClientFront {
    private final Listener listener;
    private final Core core;
    private final Limits limits;
    private final Clock clock;
    private final Map<String, ClassRules> classes;
    private volatile boolean stopping;

    /** What a request of a class must carry. */
    public record ClassRules(boolean keyed, boolean ordered) { }

    /** A front at this listener. */
    public ClientFront(Listener listener, Core core, Map<String, ClassRules> classes, Limits limits, Clock clock) {
        this.listener = listener;
        this.core = core;
        this.classes = classes;
        this.limits = limits;
        this.clock = clock;
    }

    /** Starts to accept. */
    public void start() {
        listener.start("clients", socket -> new ClientSession(socket, this));
    }

    /** Tells all clients, those still to come too, to ask no more. */
    public void stopping() {
        stopping = true;
        listener.stopping();
    }

    /** Waits until the last answers have left. */
    public void flush() {
        listener.flush(limits.flush());
    }

    /** Connections that are open now. */
    public int connections() {
        return listener.sessions().size();
    }

    boolean isStopping() {
        return stopping;
    }

    Core core() {
        return core;
    }

    Limits limits() {
        return limits;
    }

    Clock clock() {
        return clock;
    }

    Map<String, ClassRules> classes() {
        return classes;
    }
}
