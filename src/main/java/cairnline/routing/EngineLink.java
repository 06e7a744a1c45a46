package cairnline.routing;

import java.util.Map;
import java.util.function.Consumer;

/** Sends attempts and probes to one engine. All methods are called on the dispatcher's thread and must not block. */
public interface EngineLink {
    /**
     * Sends an attempt; the link reports its status updates and its end to the dispatcher.
     *
     * @return false if the attempt was not accepted, since too many messages wait to be written
     */
    boolean send(Attempt attempt);

    /**
     * Gives up an attempt in flight that has timed out or was cancelled: the engine is asked to cancel it, and its result
     * is ignored.
     */
    void giveUp(Attempt attempt);

    /** Changes the priority of an attempt in flight. */
    void setPriority(Attempt attempt, int priority);

    /**
     * Requests the engine's load report.
     *
     * @param answer receives the report, or null if the engine did not send one
     * @return false if the probe was not accepted, since too many messages wait to be written
     */
    boolean probe(Consumer<Map<String, Double>> answer);

    /** Sends no attempt after this time, not even one that is queued already; {@code Long.MAX_VALUE} removes the limit. */
    void stopSendingAfter(long time);

    /**
     * Closes the connections after the engine has restarted; attempts in flight on them end with {@code RESET}. New
     * connections are opened as needed.
     */
    void resetConnections();

    /** Closes the link; attempts in flight end with {@code RESET}. */
    void close();
}
