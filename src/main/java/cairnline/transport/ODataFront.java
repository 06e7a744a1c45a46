package cairnline.transport;

import cairnline.logs.Events;
import cairnline.protocol.ODataModel;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.net.Socket;
import java.util.Map;

/** OData over HTTP/1.1; once it is stopping, every answer closes its connection. */
public final class ODataFront extends SocketFront {
    private final ODataModel model;
    private final Map<String, Long> patience;

    /** A front at this listener; {@code patience} is how long clients of a class wait that do not say, in microseconds. */
    public ODataFront(Listener listener, Core core, ODataModel model, Map<String, Long> patience, Limits limits,
                      Clock clock, Events log) {
        super("odata", listener, core, limits, clock, log);
        this.model = model;
        this.patience = patience;
    }

    @Override
    Listener.Session session(Socket socket) {
        return new ODataSession(socket, this);
    }

    ODataModel model() {
        return model;
    }

    long patience(String type) {
        return patience.get(type);
    }
}
