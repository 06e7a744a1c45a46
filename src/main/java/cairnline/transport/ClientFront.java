package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.nio.channels.SocketChannel;
import java.util.Map;

/** The platform's protocol. */
public final class ClientFront extends SocketFront {
    private final Map<String, ClassRules> classes;

    /** What a request of a class must carry. */
    public record ClassRules(boolean keyed, boolean ordered) { }

    /** A front at this listener. */
    public ClientFront(Listener listener, Core core, Map<String, ClassRules> classes, Limits limits, EventSink log) {
        super(listener, core, limits, log);
        this.classes = classes;
    }

    @Override
    Listener.Session session(SocketChannel channel) {
        return new ClientSession(channel, this);
    }

    Map<String, ClassRules> classes() {
        return classes;
    }
}
