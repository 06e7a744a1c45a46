package cairnline.transport;

import cairnline.control.ControlApi.AttemptStatus;
import cairnline.pools.MemoryBudget;
import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.Json;
import cairnline.protocol.ODataPages;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Attempt;
import cairnline.routing.Dispatcher;
import cairnline.routing.Limits;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * One connection to an OData engine, for one attempt at a time. HTTP answers carry no request id, so an answer belongs to a
 * request only if its first byte came after the request was written. Any other bytes make the connection unusable: an attempt
 * that was written on it ends without a known outcome, and one that was not ends as not sent. Cancelling an attempt closes its
 * connection, so that a later attempt can't receive its answer. The dispatcher is never called with this object's lock held,
 * since its mailbox may be full.
 */
final class HttpConnection implements TcpConnection.Handler, PooledLink.Connection {
    private static final int STATUS_SWITCHING_PROTOCOLS = 101;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int STATUS_NOT_IMPLEMENTED = 501;

    private final HttpLink link;
    private final InetSocketAddress address;
    private final Dispatcher dispatcher;
    private final Limits limits;
    private final TcpConnection connection;
    private final HttpDecoder decoder;
    /** The memory of the partial answer and of {@link #pages}. */
    private final MemoryBudget.Account answerMemory;
    /** The memory of results that wait for the dispatcher; it outlives the connection. */
    private final MemoryBudget.Account resultMemory;
    /** The attempt in flight, or null; guarded by this object's lock, like the next two fields. */
    private Attempt attempt;
    /** Whether the request has been passed on to be written, so that the engine may execute it. */
    private boolean requestWritten;
    private boolean closed;
    /** The pages of the current answer; confined to the event loop, like {@link #pageCount}. */
    private ODataPages pages = new ODataPages();
    private int pageCount;
    /** Whether a request has been written whose answer is not complete; confined to the event loop. */
    private boolean awaitingAnswer;

    HttpConnection(HttpLink link, InetSocketAddress address, Dispatcher dispatcher, Limits limits, EventLoop loop,
                   ConnectionMemory memory) {
        this.link = link;
        this.address = address;
        this.dispatcher = dispatcher;
        this.limits = limits;
        this.connection = TcpConnection.unconnected(loop, limits, memory.unsent(), this);
        this.answerMemory = memory.received().openAccount();
        this.resultMemory = memory.received().openAccount();
        this.decoder = new HttpDecoder(limits.http().headBytes(), limits.http().bodyBytes());
    }

    void connect() {
        connection.connect(address);
    }

    @Override
    public synchronized boolean isClosed() {
        return closed;
    }

    @Override
    public synchronized boolean isIdle() {
        return !closed && attempt == null;
    }

    /** Starts an attempt; false if the connection is in use or closed, or its mailbox is full. */
    boolean start(Attempt newAttempt) {
        synchronized (this) {
            if (closed || attempt != null) {
                return false;
            }
            attempt = newAttempt;
            requestWritten = false;
        }
        if (connection.enqueueIfRoom(now -> encodeRequest(newAttempt, now))) {
            return true;
        }
        synchronized (this) {
            attempt = null;
        }
        return false;
    }

    /** Encodes the request when its turn to be written has come; null if it must not be sent any more. */
    private byte[] encodeRequest(Attempt newAttempt, long now) {
        byte[] statement = newAttempt.request().statement().bytes();
        boolean allowed = now <= link.sendDeadline() && now < newAttempt.deadline() && newAttempt.confirmMayStart();
        synchronized (this) {
            if (attempt != newAttempt) {
                return null;
            }
            requestWritten = allowed;
            if (!allowed) {
                attempt = null;
            }
        }
        if (!allowed) {
            dispatcher.attemptEnded(newAttempt, Attempt.Result.of(AttemptStatus.NOT_SENT));
            return null;
        }
        return encodeAwaited(HttpMessage.parse(statement));
    }

    /** Encodes a request whose turn to be written has come. From now on an answer is expected. */
    private byte[] encodeAwaited(HttpMessage request) {
        awaitingAnswer = true;
        return request.withHeader("host", address.getHostString() + ":" + address.getPort()).encode();
    }

    /** What has arrived by the time a request is to be written can't belong to it, so the socket is read before. */
    @Override
    public boolean isQuiescent() {
        return !awaitingAnswer;
    }

    @Override
    public void cancel(Attempt cancelled) {
        synchronized (this) {
            if (attempt != cancelled) {
                return;
            }
            attempt = null;
            closed = true;
        }
        close();
    }

    @Override
    public void close() {
        connection.close();
    }

    @Override
    public void onRead(byte[] bytes, int count, long receivedAt) {
        if (isClosed()) {
            return;
        }
        if (!awaitingAnswer) {
            closeUnusable("received bytes that belong to no request");
            return;
        }
        try {
            decoder.feed(bytes, count);
            HttpMessage answer = nextFinalAnswer();
            if (answer != null) {
                handleAnswer(answer);
            }
            if (!answerMemory.set(decoder.heldBytes() + pages.heldBytes())
                    && answerMemory.heldBytes() > limits.engines().resultBytes()) {
                failAttempt();
            }
        } catch (ProtocolException e) {
            closeUnusable(e.getMessage());
        }
    }

    /** Returns the next answer that is not an interim one; null if it has not been received completely. */
    private HttpMessage nextFinalAnswer() {
        HttpMessage answer = decoder.next();
        while (answer != null && answer.isInterim()) {
            if (answer.status() == STATUS_SWITCHING_PROTOCOLS) {
                throw new ProtocolException("the engine switched protocols without being asked to");
            }
            answer = decoder.next();
        }
        return answer;
    }

    /** An answer whose body ends with the connection is taken only if its content shows that it is whole. */
    @Override
    public boolean onInputClosed(long since) {
        HttpMessage answer = isClosed() || !awaitingAnswer ? null : decoder.endOfInput();
        if (answer == null) {
            return false;
        }
        try {
            Json.object(answer.body());
            handleAnswer(answer.withHeader("connection", "close"));
        } catch (ProtocolException e) {
            closeUnusable("the answer ended early: " + e.getMessage());
        }
        return false;
    }

    /** Closes the connection, on which answers can't be told apart any more; an attempt in flight ends with {@link #onClosed}. */
    private void closeUnusable(String reason) {
        synchronized (this) {
            closed = true;
        }
        connection.closeNow(reason);
    }

    private void handleAnswer(HttpMessage answer) {
        awaitingAnswer = false;
        Attempt current = currentAttempt();
        if (current == null) {
            closeUnusable("received an answer to no attempt");
            return;
        }
        int status = answer.status();
        if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS) {
            endAttempt(answer, Attempt.Result.of(AttemptStatus.FULL));
        } else if (status >= MIN_SERVER_ERROR_STATUS && status != STATUS_NOT_IMPLEMENTED) {
            endAttempt(answer, Attempt.Result.of(AttemptStatus.ERROR));
        } else {
            handlePage(current, answer);
        }
    }

    /** Adds a page to the answer; the attempt succeeds only with the last page, and a missing page fails it. */
    private void handlePage(Attempt current, HttpMessage answer) {
        if (!connection.isFlushed()) {
            closeUnusable("answered a request that was not written completely");
            return;
        }
        boolean usable = answer.status() / 100 == 2 || pageCount == 0;
        String nextTarget = null;
        try {
            nextTarget = usable ? pages.addPage(answer) : null;
            pageCount++;
        } catch (ProtocolException e) {
            usable = false;
        }
        if (!usable || pageCount > limits.http().pages()) {
            endAttempt(answer, Attempt.Result.of(AttemptStatus.ERROR));
        } else if (nextTarget != null && current.isWanted() && isReusableAfter(answer)) {
            HttpMessage request = HttpMessage.request("GET", nextTarget, Map.of("accept", "application/json"), new byte[0]);
            connection.enqueue(now -> encodeAwaited(request));
        } else if (nextTarget != null && current.isWanted()) {
            endAttempt(answer, Attempt.Result.of(AttemptStatus.ERROR));
        } else {
            byte[] joined = pages.join().encode();
            endAttempt(answer, joined.length > limits.http().bodyBytes() ? Attempt.Result.of(AttemptStatus.ERROR)
                    : new Attempt.Result(AttemptStatus.OK, joined, 0, 0));
        }
    }

    /** Ends the attempt since there is no memory for its answer; the connection is of no use with half an answer unread. */
    private void failAttempt() {
        Attempt failed;
        synchronized (this) {
            failed = attempt;
            attempt = null;
            closed = true;
        }
        if (failed != null) {
            dispatcher.attemptEnded(failed, Attempt.Result.of(AttemptStatus.ERROR));
        }
        close();
    }

    private synchronized Attempt currentAttempt() {
        return attempt;
    }

    /** Whether the connection can carry a request after this answer: both sides have sent all of the exchange and no more. */
    private boolean isReusableAfter(HttpMessage answer) {
        return !answer.closesConnection() && !decoder.hasPartialInput() && connection.isFlushed();
    }

    private void endAttempt(HttpMessage answer, Attempt.Result result) {
        pages = new ODataPages();
        pageCount = 0;
        boolean reusable = isReusableAfter(answer);
        Attempt ended;
        synchronized (this) {
            ended = attempt;
            attempt = null;
            closed |= !reusable;
        }
        if (ended != null) {
            resultMemory.add(result.rows().length);
            dispatcher.attemptEnded(ended, result, () -> resultMemory.add(-result.rows().length));
        }
        if (!reusable) {
            close();
        }
    }

    @Override
    public long timeoutAt(long lastReadAt) {
        return lastReadAt + limits.engines().idleTimeout();
    }

    /** Decides and marks the connection closed atomically, so that no attempt starts on a connection about to close. */
    @Override
    public synchronized boolean onTimeout(long now) {
        closed |= attempt == null;
        return !closed;
    }

    @Override
    public void onClosed(boolean wasConnected) {
        Attempt lost;
        synchronized (this) {
            closed = true;
            lost = attempt;
            attempt = null;
        }
        decoder.discardInput();
        pages = new ODataPages();
        answerMemory.close();
        if (lost != null) {
            AttemptStatus status = requestWritten ? AttemptStatus.RESET
                    : wasConnected ? AttemptStatus.NOT_SENT : AttemptStatus.CONNECT_FAILED;
            dispatcher.attemptEnded(lost, Attempt.Result.of(status));
        }
    }
}
