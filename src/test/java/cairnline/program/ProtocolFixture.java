package cairnline.program;

import cairnline.routing.Clock;
import cairnline.routing.Dispatcher;
import cairnline.routing.EngineLink;
import cairnline.membership.ListedEngine;
import java.io.IOException;
import java.util.List;

/**
 * The protocol under test in a {@link Scenario}: creates its front and its engine links, and encodes and decodes the
 * messages of stand-in clients and engines.
 */
interface ProtocolFixture extends AutoCloseable {
    /** A request of a scenario; {@code orderingKey} is null for a class without one. */
    record Request(String name, String requestClass, String orderingKey, long timeoutMillis) { }

    /** A message read by a stand-in engine or client: the scenario's name of the request, its outcome or kind, a detail. */
    record Message(String requestName, String outcome, String detail) { }

    /** Decodes a byte stream. */
    interface Reader {
        /** Consumes the next bytes and returns the messages that they complete. */
        List<Message> read(byte[] bytes, int count);
    }

    EngineLink createLink(ListedEngine engine, Dispatcher dispatcher, Configuration configuration, Clock clock);

    /** Starts the front and returns its port. */
    int startFront(Dispatcher dispatcher, Configuration configuration, Clock clock) throws IOException;

    /** Stops the event loop. */
    @Override
    void close();

    /** Tells the front that the program is shutting down. */
    void announceShutdown();

    /** Returns the number of client connections that the front has open. */
    int clientConnectionCount();

    byte[] encodeRequest(Request request);

    /** Returns a reader of engine input; for a request the outcome is {@code asked} and the detail its idempotency key. */
    Reader engineReader();

    /** Encodes an engine's answer; {@code outcome} is {@code ok} with a row, {@code full} or {@code error}. */
    byte[] encodeAnswer(String requestName, String outcome, String row);

    /** Returns a reader of answers: the outcome is {@code served}, {@code refused} or {@code failed}, the detail a row. */
    Reader clientReader();
}
