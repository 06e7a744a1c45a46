package cairnline.transport;

import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataBatch;
import cairnline.protocol.ODataException;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ODataRequest;
import cairnline.routing.KeyPlace;

/**
 * A complete request of an OData client, from its receipt until its answer. It is parsed when it is received, since its writes
 * get their places among those of the same entities then, however long it waits for its turn on the connection. Confined to
 * the event loop.
 */
final class ReceivedRequest {
    private final HttpMessage http;
    private final ODataSession session;
    private final long receivedAt;
    private long heldBytes;
    /** What to answer without an engine; null for a request that needs one. */
    private HttpMessage localAnswer;
    /** The request to run, if it is a single one, and its place among the writes of its entity. */
    private ODataRequest single;
    private KeyPlace place;
    /** The batch to run, if it is one. */
    private ODataBatchExecution batch;

    private ReceivedRequest(HttpMessage http, ODataSession session, long receivedAt) {
        this.http = http;
        this.session = session;
        this.receivedAt = receivedAt;
    }

    /** Parses a request, for which its session has counted {@code heldBytes}, and reserves places for its writes. */
    static ReceivedRequest parse(HttpMessage http, ODataSession session, long receivedAt, long heldBytes) {
        ReceivedRequest received = new ReceivedRequest(http, session, receivedAt);
        received.heldBytes = heldBytes;
        try {
            received.parse();
        } catch (ODataException e) {
            received.localAnswer = ODataModel.error(e.status(), e.getMessage());
        } catch (RuntimeException | OutOfMemoryError e) {
            EventLoop.reportUncaught(e);
            received.release();
            received.localAnswer = internalError();
        }
        return received;
    }

    /** Returns a request that is refused when its turn has come; {@code head} is the request without its body. */
    static ReceivedRequest refused(HttpMessage head, ODataSession session, long receivedAt, long heldBytes) {
        ReceivedRequest refused = new ReceivedRequest(head, session, receivedAt);
        refused.heldBytes = heldBytes;
        refused.localAnswer = ODataModel.error(503, "too much is open").withHeader("retry-after", "1");
        return refused;
    }

    static HttpMessage internalError() {
        return ODataModel.error(500, "the request could not be processed");
    }

    private void parse() {
        localAnswer = ODataDocuments.find(http, session.front().model());
        if (localAnswer != null) {
            return;
        }
        if (ODataDocuments.isBatch(http)) {
            ODataBatch parts = ODataBatch.read(http, session.front().limits().http().batchRequests());
            long partBytes = parts.heldBytes() * ODataSession.COPIES_OF_REQUEST;
            if (!session.holdBytes(partBytes)) {
                throw new ODataException(503, "too much is open");
            }
            heldBytes += partBytes;
            batch = new ODataBatchExecution(parts, session, receivedAt);
        } else {
            single = ODataCall.read(http, session.front());
            place = ODataCall.reservePlace(single, session.front(), receivedAt);
        }
    }

    HttpMessage http() {
        return http;
    }

    /** Returns the bytes of memory that the session has counted for this request. */
    long heldBytes() {
        return heldBytes;
    }

    /** Counts further bytes of memory that are released with this request. */
    void addHeldBytes(long bytes) {
        heldBytes += bytes;
    }

    /** Returns the answer to a request that needs no engine; null for one that has to be started. */
    HttpMessage localAnswer() {
        return localAnswer;
    }

    /** Starts the request, whose turn on the connection has come; its session is passed the answer. */
    void start() {
        if (batch != null) {
            batch.start(answer -> session.sendAnswer(this, answer));
        } else {
            KeyPlace used = place;
            place = null;
            session.startCall(new ODataCall(session, single, used, receivedAt, answer -> session.sendAnswer(this, answer)));
        }
    }

    /** Releases the places of the writes that will not be started. */
    void release() {
        if (batch != null) {
            batch.releasePlaces();
        }
        if (place != null) {
            session.front().dispatcher().releasePlace(place);
            place = null;
        }
    }
}
