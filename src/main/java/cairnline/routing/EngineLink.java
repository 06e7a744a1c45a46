package cairnline.routing;

import java.util.Map;
import java.util.function.Consumer;

/** The way to one engine. All calls come from the core's thread and return at once. */
public interface EngineLink {
    /** Starts an attempt, whose end and notes go to the core; false if too many wait to leave. */
    boolean send(Attempt attempt);

    /** Gives up an attempt that is out, timed out or cancelled: its engine is told, and its end no longer waited for. */
    void giveUp(Attempt attempt);

    /** Sets the priority of an attempt that is out. */
    void prioritise(Attempt attempt, int priority);

    /** Asks for the engine's load; the answer is null if there was none. False if too many wait to leave. */
    boolean probe(Consumer<Map<String, Double>> answer);

    /** No attempt may leave after this time, even one that waits already; {@code Long.MAX_VALUE} lifts that. */
    void lastSend(long time);

    /** The engine has started anew: nothing goes out on connections of before, which end as reset. */
    void renew();

    /** Ends the link; what is still out ends as reset. */
    void close();
}
