package cairnline.transport;

import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataBatch;
import cairnline.protocol.ODataBatch.Item;
import cairnline.protocol.ODataException;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ODataRequest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A batch under way, on its session's actor. Requests that neither depend on each other nor touch the same entity go
 * out together; a load waits for every earlier request to what it changes, and every later one waits for it.
 */
final class ODataBatchRun {
    private final ODataBatch batch;
    private final ODataSession session;
    private final long arrivedAt;
    private final ODataRequest[] asked;
    private final HttpMessage[] answers;
    private final boolean[] started;
    private Consumer<HttpMessage> whole;

    ODataBatchRun(ODataBatch batch, ODataSession session, long arrivedAt) {
        this.batch = batch;
        this.session = session;
        this.arrivedAt = arrivedAt;
        int count = batch.items().size();
        this.asked = new ODataRequest[count];
        this.answers = new HttpMessage[count];
        this.started = new boolean[count];
    }

    /** Starts; the answer of the whole batch comes on the session's actor or the core's thread. */
    void start(Consumer<HttpMessage> done) {
        whole = done;
        Set<String> refused = batch.multiRequestGroups();
        for (int i = 0; i < asked.length; i++) {
            Item item = batch.items().get(i);
            try {
                if (refused.contains(item.group())) {
                    throw new ODataException(501, "requests of an atomicity group can't be made to happen together");
                }
                asked[i] = ODataCall.read(item.request(), session.front());
            } catch (ODataException e) {
                answers[i] = ODataModel.error(e.status(), e.getMessage());
                started[i] = true;
            }
        }
        advance();
    }

    /** Starts what may start; ends when nothing is left. */
    private void advance() {
        int end = end();
        boolean out = false;
        for (int i = 0; i < end; i++) {
            if (!started[i] && mayStart(i)) {
                begin(i);
            }
            out |= answers[i] == null;
        }
        if (!out) {
            List<HttpMessage> told = new ArrayList<>(Arrays.asList(answers));
            for (int i = end; i < told.size(); i++) {
                told.set(i, null);
            }
            whole.accept(batch.answer(told));
        }
    }

    /** Where processing stops: after the first error, unless the client asked to go on. */
    private int end() {
        for (int i = 0; i < answers.length && !batch.continueOnError(); i++) {
            if (answers[i] != null && answers[i].status() >= 400) {
                return i + 1;
            }
        }
        return answers.length;
    }

    private boolean mayStart(int index) {
        Item item = batch.items().get(index);
        for (int i = 0; i < index; i++) {
            if (answers[i] != null) {
                continue;
            }
            // Without continue-on-error nothing may run that an earlier error would have kept from running.
            if (batch.sequential() || !batch.continueOnError() || names(item, batch.items().get(i))
                    || asked[index].conflicts(asked[i])) {
                return false;
            }
        }
        return true;
    }

    private static boolean names(Item item, Item earlier) {
        return item.dependsOn().contains(earlier.id())
                || earlier.group() != null && item.dependsOn().contains(earlier.group());
    }

    private void begin(int index) {
        started[index] = true;
        Item item = batch.items().get(index);
        for (int i = 0; i < index; i++) {
            if (names(item, batch.items().get(i)) && answers[i].status() >= 400) {
                answers[index] = ODataModel.error(424, "request " + batch.items().get(i).id() + " has failed");
                return;
            }
        }
        ODataCall[] call = new ODataCall[1];
        call[0] = new ODataCall(session.front(), asked[index], arrivedAt, answer -> session.later(() -> {
            session.over(call[0]);
            answers[index] = answer;
            advance();
        }));
        session.begin(call[0]);
    }
}
