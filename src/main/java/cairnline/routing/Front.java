package cairnline.routing;

/**
 * Receives the answers to the requests of one client connection or protocol. Not to be confused with a front in the terms of
 * the decision module, which is one process of the workload manager.
 */
public interface Front {
    /** Receives the one final answer to a request; called on the dispatcher's thread, so it must not block. */
    void answer(Request request, Answer answer);

    /**
     * Reads what the client of a request has sent by now, unless that was done very recently, so that a cancellation or the end
     * of its connection takes effect before an attempt starts. Called on the thread of the link that is about to send one.
     */
    default void readClientInput(Request request) { }
}
