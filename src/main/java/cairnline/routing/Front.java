package cairnline.routing;

/**
 * Receives the answers to the requests of one client connection or protocol. Not to be confused with a front in the terms of
 * the decision module, which is one process of the workload manager.
 */
public interface Front {
    /** Receives the one final answer to a request; called on the dispatcher's thread, so it must not block. */
    void answer(Request request, Answer answer);
}
