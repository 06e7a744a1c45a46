package cairnline.routing;

/**
 * Told each step of each request, by which one can be followed through the logs of all that handled it. Called on the
 * core's thread, and must not wait.
 */
public interface RequestTrace {
    /** Told nothing. */
    RequestTrace OFF = (step, request, engine, at, reason) -> { };

    /**
     * A request was {@code taken}, {@code sent} to an engine, an attempt {@code ended}, or it was {@code answered}.
     *
     * @param engine the engine of an attempt; empty where there is none
     * @param at microseconds on the program's clock
     * @param reason which attempt it is, how it ended, or what was answered
     */
    void step(String step, Request request, String engine, long at, String reason);
}
