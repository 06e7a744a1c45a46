package cairnline.transport;

import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataBatch;
import cairnline.protocol.ODataBatch.Item;
import cairnline.protocol.ODataException;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ODataRequest;
import cairnline.routing.KeyPlace;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The execution of one batch, on its session's event loop. Requests that neither depend on each other nor access the same
 * entity run concurrently. A write waits for all earlier requests to the entity that it changes, and later requests to
 * that entity wait for it.
 */
final class ODataBatchExecution {
    private final ODataBatch batch;
    private final ODataSession session;
    private final long receivedAt;
    private final ODataRequest[] requests;
    /** The places of the writes that are not started yet, among the writes of their entities; null for all others. */
    private final KeyPlace[] places;
    private final HttpMessage[] answers;
    private final boolean[] started;
    private Consumer<HttpMessage> completionListener;

    /** Validates the requests of a batch that was just received, and reserves the places of all its writes, in their order. */
    ODataBatchExecution(ODataBatch batch, ODataSession session, long receivedAt) {
        this.batch = batch;
        this.session = session;
        this.receivedAt = receivedAt;
        int count = batch.items().size();
        this.requests = new ODataRequest[count];
        this.places = new KeyPlace[count];
        this.answers = new HttpMessage[count];
        this.started = new boolean[count];
        readRequests();
    }

    private void readRequests() {
        Set<String> unsupportedGroups = batch.multiRequestGroups();
        for (int i = 0; i < requests.length; i++) {
            Item item = batch.items().get(i);
            try {
                if (unsupportedGroups.contains(item.group())) {
                    throw new ODataException(501, "requests of an atomicity group can't be made to happen together");
                }
                requests[i] = ODataCall.read(item.request(), session.front());
                places[i] = ODataCall.reservePlace(requests[i], session.front(), receivedAt);
            } catch (ODataException e) {
                answers[i] = ODataModel.error(e.status(), e.getMessage());
                started[i] = true;
            }
        }
    }

    /** Starts the batch; {@code listener} receives the answer of the complete batch, on the event loop. */
    void start(Consumer<HttpMessage> listener) {
        completionListener = listener;
        startReadyRequests();
    }

    /** Releases the places of the writes that are not started, since they will not be. */
    void releasePlaces() {
        for (int i = 0; i < places.length; i++) {
            releasePlace(i);
        }
    }

    private void releasePlace(int index) {
        if (places[index] != null) {
            session.front().dispatcher().releasePlace(places[index]);
            places[index] = null;
        }
    }

    /** Starts all requests that are ready to run; answers the batch when none is left. */
    private void startReadyRequests() {
        int end = endOfProcessing();
        boolean pending = false;
        for (int i = 0; i < end; i++) {
            if (!started[i] && mayStart(i)) {
                startRequest(i);
            }
            pending |= answers[i] == null;
        }
        if (!pending) {
            releasePlaces();
            List<HttpMessage> processed = new ArrayList<>(Arrays.asList(answers));
            for (int i = end; i < processed.size(); i++) {
                processed.set(i, null);
            }
            completionListener.accept(batch.answer(processed));
        }
    }

    /** Returns how many requests to process: up to the first error, unless the client requested to continue on errors. */
    private int endOfProcessing() {
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
            // Without continue-on-error, a request must not run before it is known that no earlier one fails.
            if (batch.sequential() || !batch.continueOnError() || dependsOn(item, batch.items().get(i))
                    || requests[index].conflicts(requests[i])) {
                return false;
            }
        }
        return true;
    }

    private static boolean dependsOn(Item item, Item earlier) {
        return item.dependsOn().contains(earlier.id())
                || earlier.group() != null && item.dependsOn().contains(earlier.group());
    }

    private void startRequest(int index) {
        started[index] = true;
        Item item = batch.items().get(index);
        for (int i = 0; i < index; i++) {
            if (dependsOn(item, batch.items().get(i)) && answers[i].status() >= 400) {
                answers[index] = ODataModel.error(424, "request " + batch.items().get(i).id() + " has failed");
                releasePlace(index);
                return;
            }
        }
        ODataCall[] call = new ODataCall[1];
        KeyPlace place = places[index];
        places[index] = null;
        call[0] = new ODataCall(session, requests[index], place, receivedAt, answer -> session.runInOrder(() -> {
            session.removeCall(call[0]);
            answers[index] = session.holdForRequest(answer.heldBytes()) ? answer
                    : ODataModel.error(502, "too many answers are held");
            startReadyRequests();
        }));
        session.startCall(call[0]);
    }
}
