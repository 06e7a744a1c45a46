package cairnline.transport;

import cairnline.protocol.ODataModel;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.util.Map;

/** OData over HTTP/1.1: accepts clients and hands their requests to the core. */
public final class ODataFront {
    private final Listener listener;
    private final Core core;
    private final ODataModel model;
    private final Map<String, Long> patience;
    private final Limits limits;
    private final Clock clock;
    private volatile boolean stopping;

    /** A front at this listener; {@code patience} is how long clients of a class wait that do not say, in microseconds. */
    public ODataFront(Listener listener, Core core, ODataModel model, Map<String, Long> patience, Limits limits,
                      Clock clock) {
        this.listener = listener;
        this.core = core;
        this.model = model;
        this.patience = patience;
        this.limits = limits;
        this.clock = clock;
    }

    /** Starts to accept. */
    public void start() {
        listener.start("odata", socket -> new ODataSession(socket, this));
    }

    /** From now on every answer closes its connection. */
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

    ODataModel model() {
        return model;
    }

    long patience(String type) {
        return patience.get(type);
    }

    Limits limits() {
        return limits;
    }

    Clock clock() {
        return clock;
    }
}
