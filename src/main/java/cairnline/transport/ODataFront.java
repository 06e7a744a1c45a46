package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.protocol.ODataModel;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.nio.channels.SocketChannel;
import java.util.Map;

/** OData over HTTP/1.1; once it is stopping, every answer closes its connection. */
public final class ODataFront extends SocketFront {
    private final ODataModel model;
    private final Map<String, Long> patience;

    /** A front at this listener; {@code patience} is how long clients of a class wait that do not say, in microseconds. */
    public ODataFront(Listener listener, Core core, ODataModel model, Map<String, Long> patience, Limits limits,
                      EventSink log) {
        super(listener, core, limits, log);
        this.model = model;
        this.patience = patience;
    }

    @Override
    Listener.Session session(SocketChannel channel) {
        return new ODataSession(channel, this);
    }

    ODataModel model() {
        return model;
    }

    long patience(String type) {
        return patience.get(type);
    }
}
