package cairnline.transport;

import cairnline.logs.Events;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.net.Socket;
import java.util.Map;

/** The platform's protocol. */
public final class ClientFront extends SocketFront {
    private final Map<String, ClassRules> classes;

    /** What a request of a class must carry. */
    public record ClassRules(boolean keyed, boolean ordered) { }

    /** A front at this listener. */
    public ClientFront(Listener listener, Core core, Map<String, ClassRules> classes, Limits limits, Clock clock,
                       Events log) {
        super("clients", listener, core, limits, clock, log);
        this.classes = classes;
    }

    @Override
    Listener.Session session(Socket socket) {
        return new ClientSession(socket, this);
    }

    Map<String, ClassRules> classes() {
        return classes;
    }
}
