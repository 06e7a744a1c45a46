package cairnline.transport;

import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ODataRequest;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Answer;
import cairnline.routing.Clock;
import cairnline.routing.Front;
import cairnline.routing.KeyPlace;
import cairnline.routing.Request;
import cairnline.routing.Statement;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** One OData request that the dispatcher runs, and the conversion of its answer to HTTP. */
final class ODataCall {
    private static final AtomicLong CALL_COUNTER = new AtomicLong();
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final ODataSession session;
    private final ODataFront front;
    private final ODataRequest odataRequest;
    private final Request request;
    /** The place of a write among those of its entity; null for a read. */
    private final KeyPlace place;
    /** The entry of the call while it waits to be passed to the dispatcher; confined to the event loop. */
    private SubmissionQueue.Entry waiting;
    private final Consumer<HttpMessage> onAnswer;

    /**
     * Creates a call, not yet started. {@code onAnswer} receives the only answer, on the dispatcher's thread or from
     * {@link #refuse}.
     */
    ODataCall(ODataSession session, ODataRequest odataRequest, KeyPlace place, long receivedAt,
              Consumer<HttpMessage> onAnswer) {
        this.session = session;
        this.front = session.front();
        this.odataRequest = odataRequest;
        this.place = place;
        this.onAnswer = onAnswer;
        this.request = new Request(String.format("%016x", CALL_COUNTER.incrementAndGet()), odataRequest.type(),
                new Statement(odataRequest.forwarded().encode(), () -> { }), odataRequest.idempotencyKey(),
                odataRequest.write() ? orderingKeyHash(odataRequest.orderingKey()) : null, receivedAt,
                timeout(odataRequest, front), 0, 0,
                odataRequest.set().tableGroup(), new CallFront());
    }

    /** Receives the answer of the dispatcher. */
    private final class CallFront implements Front {
        @Override
        public void answer(Request answered, Answer answer) {
            onAnswer.accept(toHttp(answer));
        }

        @Override
        public void readClientInput(Request sent) {
            if (!session.confirmInputRead()) {
                detach();
            }
        }
    }

    /** Parses an HTTP request against the model of this server. */
    static ODataRequest read(HttpMessage http, ODataFront front) {
        return ODataRequest.read(http, front.model(),
                DateTimeFormatter.RFC_1123_DATE_TIME.format(Instant.now().atOffset(ZoneOffset.UTC)));
    }

    /** Reserves the place of a write among those of its entity, for as long as its client waits; null for a read. */
    static KeyPlace reservePlace(ODataRequest odataRequest, ODataFront front, long receivedAt) {
        return !odataRequest.write() ? null : front.dispatcher().reservePlace(orderingKeyHash(odataRequest.orderingKey()),
                receivedAt + timeout(odataRequest, front));
    }

    private static long timeout(ODataRequest odataRequest, ODataFront front) {
        long maxTimeout = front.timeout(odataRequest.type());
        return odataRequest.waitMs() > 0 ? Math.min(maxTimeout, Clock.ofMillis(odataRequest.waitMs())) : maxTimeout;
    }

    /** Passes the request to the dispatcher, once the turn of its connection has come. */
    void start() {
        waiting = session.enqueue(this::submit, request.statement().bytes().length);
    }

    private void submit() {
        waiting = null;
        front.dispatcher().submit(request, place, front.submissions().countUntaken());
    }

    /** Gives up a call that is neither started nor answered. */
    void drop() {
        if (place != null) {
            front.dispatcher().releasePlace(place);
        }
    }

    /** Lets attempts that run complete, but starts no further ones; the client may still read the answer. */
    void detach() {
        front.dispatcher().detach(request);
    }

    /** Answers the call with an error instead of starting it. */
    void refuse(String reason) {
        drop();
        onAnswer.accept(ODataModel.error(503, reason).withHeader("retry-after", "1"));
    }

    /** Abandons the request, since the client can no longer receive an answer; on the event loop. */
    void abandon() {
        if (waiting != null) {
            front.submissions().remove(waiting);
            drop();
        } else {
            front.dispatcher().abandon(request);
        }
    }

    private static HttpMessage toHttp(Answer answer) {
        try {
            return switch (answer.kind()) {
                case SERVED -> HttpMessage.parse(answer.rows());
                case REFUSED -> ODataModel.error(503, answer.reason()).withHeader("retry-after",
                        Long.toString(Math.max(1, (answer.retryAfter() + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND)));
                case FAILED -> ODataModel.error(answer.timedOut() ? 504 : 502, answer.reason());
            };
        } catch (ProtocolException e) {
            return ODataModel.error(502, e.getMessage());
        } catch (RuntimeException e) {
            EventLoop.reportUncaught(e);
            return ODataModel.error(500, "the answer can't be converted");
        }
    }

    /** Returns a hash of an ordering key. A collision is harmless: it only makes the requests of two keys wait for each other. */
    private static long orderingKeyHash(String key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
