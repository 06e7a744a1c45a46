package cairnline.transport;

import cairnline.pools.MemoryBudget;
import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ProtocolException;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One client connection of the OData server, confined to the event loop. Serves requests one after the other, in the order
 * received. Once the client has closed its output, or its input is malformed, the session closes the connection after the
 * answers to the requests received so far.
 */
final class ODataSession implements Listener.Session, TcpConnection.Handler {
    /** A request received just before the end of the input may still be sent to an engine for this long. */
    private static final long DETACH_DELAY_MICROS = 10_000;
    /** A request is held as it was received, and once more as it is encoded for an engine. */
    static final int COPIES_OF_REQUEST = 2;
    private static final int MIN_ERROR_STATUS = 400;
    /** What is kept of the head of a request that is refused, since its answer depends on it. */
    private static final List<String> REFUSED_REQUEST_HEADERS = List.of("connection", "odata-maxversion");
    private static final byte[] INTERIM_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ODataFront front;
    private final SocketChannel channel;
    private final TcpConnection connection;
    private final HttpDecoder decoder;
    private final ArrayDeque<ReceivedRequest> queuedRequests = new ArrayDeque<>();
    /** The calls that the dispatcher has of this client; abandoned when the connection is closed. */
    private final Set<ODataCall> openCalls = ConcurrentHashMap.newKeySet();
    /** Requests received and not answered yet, in their order: those not queued yet, the queued ones and the served one. */
    private final Set<ReceivedRequest> unanswered = new LinkedHashSet<>();
    /** The request being served; null without one. The others wait in {@link #queuedRequests}. */
    private ReceivedRequest servedRequest;
    /** Whether input is ignored; the connection is closed after the last answer and {@link #finalAnswer}. */
    private boolean inputIgnored;
    /** An error to send after all answers; null without. */
    private HttpMessage finalAnswer;
    /** Whether the client has closed its output for so long that no further requests are started. */
    private boolean detached;
    private boolean clientKnowsInterimResponses;
    /** Whether the last answer has been enqueued. */
    private boolean outputFinished;
    private boolean closed;
    /** Requests received in all. */
    private long requestCount;
    private final ClientActivity activity;
    /** The memory of the requests that are not answered yet, and of the answers to the parts of a batch. */
    private final MemoryBudget.Account requestMemory;
    private Runnable closeListener;

    ODataSession(SocketChannel channel, ODataFront front) {
        this.channel = channel;
        this.front = front;
        this.connection = TcpConnection.forAcceptedChannel(front.loop(), channel, front.limits(), front.memory().unsent(),
                this);
        this.decoder = new HttpDecoder(front.limits().http().headBytes(), front.limits().http().bodyBytes());
        this.activity = new ClientActivity(front);
        this.requestMemory = front.memory().received().openAccount();
    }

    @Override
    public void start(long arrivedSince, Runnable onClosed) throws IOException {
        closeListener = onClosed;
        connection.start(arrivedSince);
    }

    @Override
    public void announceShutdown() {
        // HTTP/1.1 can announce it only with the next answer.
    }

    @Override
    public void drain() {
        // Requests that wait in the socket are accepted and answered like all others.
        connection.readUntilEmpty(() -> closeInput(null));
    }

    @Override
    public void reject() {
        TcpConnection.reject(channel, ODataModel.error(503, "too many connections").withHeader("retry-after", "1")
                .withHeader("connection", "close").encode());
    }

    @Override
    public long idleSince() {
        return isIdle() ? activity.lastActiveAt() : Long.MAX_VALUE;
    }

    private boolean isIdle() {
        return unanswered.isEmpty() && connection.isFlushed();
    }

    @Override
    public boolean hasSentRequest() {
        return activity.hasSentRequest();
    }

    @Override
    public boolean confirmIdle() {
        return !connection.readNow() && isIdle();
    }

    @Override
    public void close() {
        connection.closeNow("evicted to make room");
    }

    @Override
    public void onRead(byte[] bytes, int count, long receivedAt) {
        decoder.feed(bytes, count);
        try {
            boolean complete = false;
            for (HttpMessage request = decoder.next(); request != null; request = decoder.next()) {
                complete = true;
                clientKnowsInterimResponses = !request.startLine()[2].equals("HTTP/1.0");
                activity.setHeldBytes(decoder.heldBytes());
                ReceivedRequest received = admit(request, receivedAt);
                unanswered.add(received);
                requestCount++;
                connection.enqueue(now -> queueRequest(received));
            }
            activity.onRead(front.clock().micros(), complete, decoder.hasPartialInput());
            if (!activity.setHeldBytes(decoder.heldBytes())) {
                front.reportMemoryExceeded();
                closeInput(ODataModel.error(503, "too much has begun and not ended").withHeader("retry-after", "1"));
            }
        } catch (ProtocolException e) {
            closeInput(ODataModel.error(400, e.getMessage()));
        }
    }

    /** Counts the memory of a request; if there is none left, only its head is kept, to refuse it when its turn has come. */
    private ReceivedRequest admit(HttpMessage request, long receivedAt) {
        long bytes = request.heldBytes() * COPIES_OF_REQUEST;
        if (holdBytes(bytes)) {
            return ReceivedRequest.parse(request, this, receivedAt, bytes);
        }
        HttpMessage head = new HttpMessage(new String[] {request.method(), "/", request.startLine()[2]},
                request.headers(REFUSED_REQUEST_HEADERS), new byte[0]);
        requestMemory.add(head.heldBytes());
        return ReceivedRequest.refused(head, this, receivedAt, head.heldBytes());
    }

    /** Counts memory for requests; on the event loop. Returns false if there is none left, in which case nothing is counted. */
    boolean holdBytes(long bytes) {
        if (requestMemory.add(bytes)) {
            return true;
        }
        requestMemory.add(-bytes);
        front.reportMemoryExceeded();
        return false;
    }

    /**
     * Counts memory that the request being served holds until it is answered; on the event loop. Returns false if there is
     * none left, in which case nothing is counted.
     */
    boolean holdForRequest(long bytes) {
        if (servedRequest == null || !holdBytes(bytes)) {
            return false;
        }
        servedRequest.addHeldBytes(bytes);
        return true;
    }

    /** Ignores all further input, and closes the connection after the open answers and {@code error}, which may be null. */
    private void closeInput(HttpMessage error) {
        if (!inputIgnored) {
            inputIgnored = true;
            finalAnswer = error;
            connection.ignoreInput();
            discardInput();
        }
        finishIfAnswered();
    }

    private void discardInput() {
        decoder.discardInput();
        activity.setHeldBytes(0);
    }

    private void finishIfAnswered() {
        if (!inputIgnored || outputFinished || !unanswered.isEmpty()) {
            return;
        }
        outputFinished = true;
        if (finalAnswer != null) {
            connection.send(finalAnswer.withHeader("connection", "close").encode());
        }
        connection.finishOutput();
    }

    @Override
    public long timeoutAt(long lastReadAt) {
        return inputIgnored ? lastReadAt + front.limits().clients().idleTimeout() : activity.timeoutAt(lastReadAt);
    }

    @Override
    public boolean onTimeout(long now) {
        if (!inputIgnored && activity.isMessageOverdue(now)) {
            closeInput(ODataModel.error(408, "no whole request in time"));
        }
        return inputIgnored || !activity.isIdle(now) || !confirmIdle();
    }

    @Override
    public boolean onInputClosed(long since) {
        front.loop().schedule(since + DETACH_DELAY_MICROS, connection, this::detachOpenCalls);
        new HalfCloseNotices(front.loop(), connection, this::interimResponse).start();
        closeInput(decoder.hasPartialInput() ? ODataModel.error(400, "the connection ended inside a request") : null);
        return true;
    }

    /** Returns an interim response, which clients of HTTP/1.1 ignore; null if none may precede the next answer. */
    private byte[] interimResponse() {
        return unanswered.isEmpty() || outputFinished || !clientKnowsInterimResponses ? null : INTERIM_RESPONSE;
    }

    private void detachOpenCalls() {
        detached = true;
        front.submissions().submitAll(connection);
        openCalls.forEach(ODataCall::detach);
    }

    @Override
    public void onClosed(boolean wasConnected) {
        closed = true;
        openCalls.forEach(ODataCall::abandon);
        openCalls.clear();
        dropUnanswered();
        requestMemory.close();
        discardInput();
        closeListener.run();
    }

    @Override
    public long messageCount() {
        return requestCount;
    }

    private byte[] queueRequest(ReceivedRequest received) {
        if (outputFinished) {
            return null;
        }
        queuedRequests.addLast(received);
        if (queuedRequests.size() > front.limits().clients().openRequests()) {
            queuedRequests.removeLast();
            drop(received);
            closeInput(ODataModel.error(429, "too many requests wait on this connection"));
            return null;
        }
        return servedRequest != null ? null : startNext();
    }

    /** Releases what a request holds that is answered or will not be. */
    private void drop(ReceivedRequest received) {
        unanswered.remove(received);
        received.release();
        requestMemory.add(-received.heldBytes());
    }

    private void dropUnanswered() {
        queuedRequests.clear();
        List.copyOf(unanswered).forEach(this::drop);
    }

    /** Starts the next request; returns the encoded answer if it needs no engine, else null. */
    private byte[] startNext() {
        ReceivedRequest received = queuedRequests.pollFirst();
        if (received == null || outputFinished) {
            return null;
        }
        servedRequest = received;
        if (received.localAnswer() != null) {
            return completeRequest(received.localAnswer());
        }
        try {
            received.start();
            return null;
        } catch (RuntimeException | OutOfMemoryError e) {
            EventLoop.reportUncaught(e);
            return completeRequest(ReceivedRequest.internalError());
        }
    }

    ODataFront front() {
        return front;
    }

    /** See {@link TcpConnection#confirmInputRead}. */
    boolean confirmInputRead() {
        return connection.confirmInputRead();
    }

    /**
     * Runs a task on the event loop, in order with the messages written on this connection. If it throws, the request being
     * served is answered with an error, since nothing else may ever answer it.
     */
    void runInOrder(Runnable task) {
        connection.enqueue(now -> {
            try {
                task.run();
                return null;
            } catch (RuntimeException | OutOfMemoryError e) {
                EventLoop.reportUncaught(e);
                return servedRequest == null ? null : completeRequest(ReceivedRequest.internalError());
            }
        });
    }

    /** Passes a call to the dispatcher, or refuses it if the client closed its output {@link #DETACH_DELAY_MICROS} ago. */
    void startCall(ODataCall call) {
        if (detached) {
            call.refuse("the client sends no more");
        } else if (closed) {
            call.drop();
        } else {
            openCalls.add(call);
            call.start();
        }
    }

    /** Queues a call to be passed to the dispatcher, in turns with those of the other connections. */
    SubmissionQueue.Entry enqueue(Runnable submission, int bytes) {
        SubmissionQueue.Entry entry = new SubmissionQueue.Entry(connection, null, bytes, submission);
        front.submissions().add(entry);
        return entry;
    }

    void removeCall(ODataCall call) {
        openCalls.remove(call);
    }

    /** Sends the answer to a request; safe for any thread. */
    void sendAnswer(ReceivedRequest request, HttpMessage answer) {
        boolean mayWait = answer.status() >= MIN_ERROR_STATUS || connection.mayWait(answer.heldBytes());
        if (!mayWait) {
            front.reportMemoryExceeded();
        }
        connection.enqueue(new AnswerMessage(request,
                mayWait ? answer : ODataModel.error(502, "too many answers wait to be read")));
    }

    /** The message that completes the current request. */
    private final class AnswerMessage implements OutboundQueue.OutboundMessage {
        private final ReceivedRequest request;
        private final HttpMessage answer;

        AnswerMessage(ReceivedRequest request, HttpMessage answer) {
            this.request = request;
            this.answer = answer;
        }

        @Override
        public byte[] encode(long now) {
            if (servedRequest != request) {
                // It was answered with an error before.
                return null;
            }
            openCalls.clear();
            return completeRequest(answer);
        }

        @Override
        public long heldBytes() {
            return answer.heldBytes();
        }
    }

    /** Whether the client has sent a further request, which may still wait in the socket. */
    private boolean hasFurtherRequest() {
        if (unanswered.isEmpty() && !outputFinished) {
            connection.confirmInputRead();
        }
        return !unanswered.isEmpty() || outputFinished || connection.isBusy();
    }

    /** Encodes the answer to the current request, and schedules the next request or the end of the connection. */
    private byte[] completeRequest(HttpMessage answer) {
        HttpMessage request = servedRequest.http();
        drop(servedRequest);
        servedRequest = null;
        activity.onAnswered(front.clock().micros());
        boolean isLast = request.closesConnection() || front.isStopping() && !hasFurtherRequest();
        HttpMessage versioned = answer.headers().containsKey("odata-version") ? answer : answer.withHeader("odata-version",
                request.header("odata-maxversion").equals("4.0") ? "4.0" : "4.01");
        if (isLast) {
            inputIgnored = true;
            outputFinished = true;
            connection.ignoreInput();
            discardInput();
            dropUnanswered();
            connection.finishOutput();
            return versioned.withHeader("connection", "close").encode();
        }
        runInOrder(() -> {
            byte[] nextAnswer = servedRequest != null ? null : startNext();
            if (nextAnswer != null) {
                connection.send(nextAnswer);
            }
            finishIfAnswered();
        });
        return versioned.encode();
    }
}
