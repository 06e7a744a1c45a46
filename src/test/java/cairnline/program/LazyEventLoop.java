package cairnline.program;

import cairnline.routing.Clock;
import cairnline.transport.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The event loop of a protocol fixture, created and started on first use. */
final class LazyEventLoop implements AutoCloseable {
    private EventLoop loop;

    synchronized EventLoop get(Configuration configuration, Clock clock) {
        if (loop == null) {
            try {
                loop = new EventLoop("connections", configuration.limits().routing().stackBytes(), clock);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            loop.start();
        }
        return loop;
    }

    @Override
    public synchronized void close() {
        if (loop != null) {
            loop.close();
        }
    }
}
