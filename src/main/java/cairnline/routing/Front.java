package cairnline.routing;

/** Where a request came from. */
public interface Front {
    /** Takes the one final answer; called on the core's thread, so it must not block. */
    void answer(Request request, Answer answer);
}
