package cairnline.transport;

import cairnline.control.ControlApi.AttemptStatus;
import cairnline.pools.MemoryBudget;
import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataPages;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Attempt;
import cairnline.routing.Dispatcher;
import cairnline.routing.Limits;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * One connection to an OData engine, for one attempt at a time. Cancelling an attempt closes its connection, so that a later
 * attempt can't receive its answer. The dispatcher is never called with this object's lock held, since its mailbox may be
 * full.
 */
final class HttpConnection implements TcpConnection.Handler, PooledLink.Connection {
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
        return withHost(HttpMessage.parse(statement));
    }

    private byte[] withHost(HttpMessage request) {
        return request.withHeader("host", address.getHostString() + ":" + address.getPort()).encode();
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
        try {
            decoder.feed(bytes, count);
            for (HttpMessage answer = decoder.next(); answer != null; answer = decoder.next()) {
                handleAnswer(answer);
            }
            if (!answerMemory.set(decoder.heldBytes() + pages.heldBytes())
                    && answerMemory.heldBytes() > limits.engines().resultBytes()) {
                failAttempt();
            }
        } catch (ProtocolException e) {
            synchronized (this) {
                closed = true;
            }
            close();
        }
    }

    private void handleAnswer(HttpMessage answer) {
        Attempt current = currentAttempt();
        if (current == null) {
            // No request is open, so answers can no longer be matched to requests.
            close();
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
        } else if (nextTarget != null && current.isWanted() && !answer.closesConnection()) {
            connection.send(withHost(HttpMessage.request("GET", nextTarget, Map.of("accept", "application/json"),
                    new byte[0])));
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

    private void endAttempt(HttpMessage answer, Attempt.Result result) {
        pages = new ODataPages();
        pageCount = 0;
        Attempt ended;
        synchronized (this) {
            ended = attempt;
            attempt = null;
            closed |= answer.closesConnection();
        }
        if (ended != null) {
            resultMemory.add(result.rows().length);
            dispatcher.attemptEnded(ended, result, () -> resultMemory.add(-result.rows().length));
        }
        if (answer.closesConnection()) {
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
