package cairnline.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AttemptTest {
    /** A front whose client has cancelled its request, which is noticed only when its input is read. */
    private static final class CancelledFront implements Front {
        @Override
        public void answer(Request request, Answer answer) {
            throw new AssertionError("not answered in this test");
        }

        @Override
        public void readClientInput(Request request) {
            request.interest().markLost();
        }
    }

    /** Guards against an attempt that is sent although its client's cancellation waits unread in a socket. */
    @Test
    void mayNotStartOnceTheClientsUnreadInputCancelsIt() {
        Request request = new Request("1", "lookup", new Statement(new byte[0], () -> { }), null, null, 0, 0, 0, 0, -1,
                new CancelledFront());
        Attempt attempt = new Attempt(request, "e1", 0, 0, 0, 1);
        assertTrue(attempt.isWanted());
        assertFalse(attempt.confirmMayStart());
    }
}
