package cairnline.program;

import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.EngineLink;
import cairnline.membership.ListedEngine;
import java.io.IOException;
import java.util.List;

/** What the rule checks need of a wire: its front, its links, and the words of stand-in clients and engines. */
interface ProtocolFixture extends AutoCloseable {
    /** A request as a scenario names it; {@code key} is null without. */
    record Ask(String name, String type, String key, long ttlMs) { }

    /** What a stand-in engine or client has read; {@code name} is the request's, {@code outcome} a word. */
    record Heard(String name, String outcome, String detail) { }

    /** Takes bytes as they come and gives what is whole. */
    interface Reader {
        List<Heard> read(byte[] bytes, int count);
    }

    EngineLink link(ListedEngine engine, Core core, Configuration configuration, Clock clock);

    /** Starts the front; gives its port. */
    int start(Core core, Configuration configuration, Clock clock) throws IOException;

    /** Ends its thread. */
    @Override
    void close();

    /** Tells the front that the program stops. */
    void stopping();

    /** Client connections that are open at the front. */
    int connections();

    byte[] ask(Ask ask);

    /** Reads what an engine gets: the name, {@code asked}, and the idempotency key. */
    Reader engineReader();

    /** An engine's answer: {@code ok} with a row, {@code full} or {@code error}. */
    byte[] reply(String name, String outcome, String row);

    /** Reads what a client gets: the name, {@code served}, {@code refused} or {@code failed}, and the row. */
    Reader clientReader();
}
