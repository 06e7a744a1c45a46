package cairnline.transport;

import cairnline.logs.Events;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.nio.channels.SocketChannel;
import java.util.Map;

/** The platform's protocol. */
public final class ClientFront extends SocketFront {
    private final Map<String, ClassRequirements> classes;

    /** What a request of a class must carry. */
    public record ClassRequirements(boolean keyed, boolean ordered) { }

    /** A front at this listener. */
    public ClientFront(Listener listener, Core core, Map<String, ClassRequirements> classes, Limits limits, Events log) {
        super(listener, core, limits, log);
        this.classes = classes;
    }

    @Override
    Listener.Session session(SocketChannel channel) {
        return new ClientSession(channel, this);
    }

    Map<String, ClassRequirements> classes() {
        return classes;
    }
}
