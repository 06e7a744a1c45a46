package cairnline.routing;

/**
 * Receives each step of each request, so that a request can be followed through the logs of all processes that handled it.
 * Called on the dispatcher's thread; must not block.
 */
public interface RequestTrace {
    /** Discards all steps. */
    RequestTrace OFF = (step, request, engine, at, detail) -> { };

    /**
     * Records a step of a request.
     *
     * @param step {@code taken}, {@code sent} (an attempt to an engine), {@code ended} (an attempt) or {@code answered}
     * @param engine the engine of the attempt; empty for steps without one
     * @param at time of the step, in microseconds on the program's clock
     * @param detail the number of the attempt, its status, or the kind of answer and its reason
     */
    void step(String step, Request request, String engine, long at, String detail);
}
