package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.protocol.ODataModel;
import cairnline.routing.Dispatcher;
import cairnline.routing.Limits;
import java.nio.channels.SocketChannel;
import java.util.Map;

/** Serves OData over HTTP/1.1; during shutdown every answer closes its connection. */
public final class ODataFront extends SocketFront {
    private final ODataModel model;
    private final Map<String, Long> timeouts;

    /**
     * Creates a server at this listener. {@code timeouts} holds, by request class, the timeout in microseconds of clients that
     * state none.
     */
    public ODataFront(Listener listener, Dispatcher dispatcher, ODataModel model, Map<String, Long> timeouts, Limits limits,
                      ConnectionMemory memory, EventSink log) {
        super(listener, dispatcher, limits, memory, log);
        this.model = model;
        this.timeouts = timeouts;
    }

    @Override
    Listener.Session newSession(SocketChannel channel) {
        return new ODataSession(channel, this);
    }

    ODataModel model() {
        return model;
    }

    /** Returns the timeout of a class, in microseconds: the default, and the maximum that a client may state. */
    long timeout(String requestClass) {
        return timeouts.get(requestClass);
    }
}
