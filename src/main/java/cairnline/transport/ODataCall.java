package cairnline.transport;

import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ODataRequest;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Answer;
import cairnline.routing.Clock;
import cairnline.routing.Request;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** One OData request on its way through the core. */
final class ODataCall {
    private static final AtomicLong NUMBERS = new AtomicLong();
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final ODataFront front;
    private final ODataRequest asked;
    private final Request request;
    private final Consumer<HttpMessage> done;

    /** {@code done} gets the one answer, on the core's thread. */
    ODataCall(ODataFront front, ODataRequest asked, long now, Consumer<HttpMessage> done) {
        this.front = front;
        this.asked = asked;
        this.done = done;
        long most = front.patience(asked.type());
        long patience = asked.waitMs() > 0 ? Math.min(most, Clock.ofMillis(asked.waitMs())) : most;
        this.request = new Request(String.format("%016x", NUMBERS.incrementAndGet()), asked.type(),
                asked.forwarded().encode(), asked.idempotencyKey(), asked.write() ? orderKey(asked.orderingKey()) : null, now,
                patience, 0, 0, asked.set().tableGroup(), (r, answer) -> done.accept(http(answer)));
    }

    /** Reads a request as HTTP brought it. */
    static ODataRequest read(HttpMessage http, ODataFront front) {
        return ODataRequest.read(http, front.model(),
                DateTimeFormatter.RFC_1123_DATE_TIME.format(Instant.now().atOffset(ZoneOffset.UTC)));
    }

    ODataRequest asked() {
        return asked;
    }

    void start() {
        front.core().take(request);
    }

    void detach() {
        front.core().detach(request);
    }

    /** Answers it without handing it to the core. */
    void refuse(String reason) {
        done.accept(ODataModel.error(503, reason).withHeader("retry-after", "1"));
    }

    void abandon() {
        front.core().abandon(request);
    }

    private static HttpMessage http(Answer answer) {
        try {
            return switch (answer.kind()) {
                case SERVED -> HttpMessage.parse(answer.rows());
                case REFUSED -> ODataModel.error(503, answer.reason()).withHeader("retry-after",
                        Long.toString(Math.max(1, (answer.retryAfter() + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND)));
                case FAILED -> ODataModel.error(answer.late() ? 504 : 502, answer.reason());
            };
        } catch (ProtocolException e) {
            return ODataModel.error(502, e.getMessage());
        }
    }

    /** A number for a key in words; two that fell together would only wait for each other. */
    private static long orderKey(String words) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(words.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
