package cairnline.transport;

import cairnline.logs.EventSink;
import cairnline.routing.Dispatcher;
import cairnline.routing.Limits;
import java.nio.channels.SocketChannel;
import java.util.Map;

/** Serves clients that speak the platform's binary protocol. */
public final class ClientFront extends SocketFront {
    private final Map<String, ClassRequirements> classRequirements;

    /** Whether requests of a class need an idempotency key, and whether they need an ordering key. */
    public record ClassRequirements(boolean needsIdempotencyKey, boolean needsOrderingKey) { }

    /** Creates a server at this listener for the given request classes, by their names. */
    public ClientFront(Listener listener, Dispatcher dispatcher, Map<String, ClassRequirements> classRequirements, Limits limits,
                       ConnectionMemory memory, EventSink log) {
        super(listener, dispatcher, limits, memory, log);
        this.classRequirements = classRequirements;
    }

    @Override
    Listener.Session newSession(SocketChannel channel) {
        return new ClientSession(channel, this);
    }

    Map<String, ClassRequirements> classRequirements() {
        return classRequirements;
    }
}
