package cairnline.transport;

import cairnline.pools.MemoryBudget;
import cairnline.protocol.ClientFrames;
import cairnline.protocol.ClientFrames.Content;
import cairnline.protocol.ClientFrames.Frame;
import cairnline.protocol.ClientRequest;
import cairnline.protocol.ProtocolException;
import cairnline.protocol.SchemaGroup;
import cairnline.protocol.UsedStreams;
import cairnline.routing.Answer;
import cairnline.routing.Clock;
import cairnline.routing.Front;
import cairnline.routing.Request;
import cairnline.routing.Statement;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One client connection of the platform's protocol. Once the client has closed its output, or its input is malformed, the
 * session drains: it accepts no further requests and closes the connection after the last open request is answered.
 */
final class ClientSession implements Listener.Session, TcpConnection.Handler {
    /** A request received just before the end of the input may still be sent to an engine for this long. */
    private static final long DETACH_DELAY_MICROS = 10_000;

    private final SocketChannel channel;
    private final ClientFront front;
    private final TcpConnection connection;
    private final ClientFrames frames;
    private UsedStreams usedStreams = new UsedStreams();
    private final ClientActivity activity;
    /** The memory of the statements of open requests, which may outlive the connection. */
    private final MemoryBudget.Account statementMemory;
    /** Unanswered requests by stream; guarded by this session's lock, like {@link #draining}. */
    private final Map<Long, Request> openRequests = new HashMap<>();
    /** Requests by stream that were read and not passed on yet; guarded by this session's lock. */
    private final Map<Long, Submission> submissions = new HashMap<>();
    private boolean draining;
    private Runnable closeListener;
    private int invalidRequestCount;
    private long frameCount;

    /** A request that waits to be passed on. */
    private record Submission(SubmissionQueue.Entry entry, Statement statement) { }

    ClientSession(SocketChannel channel, ClientFront front) {
        this.channel = channel;
        this.front = front;
        this.connection = TcpConnection.forAcceptedChannel(front.loop(), channel, front.limits(), front.memory().unsent(),
                this);
        this.frames = new ClientFrames(front.limits().clients().frameBytes());
        this.activity = new ClientActivity(front);
        this.statementMemory = front.memory().received().openAccount();
    }

    @Override
    public void start(long arrivedSince, Runnable onClosed) throws IOException {
        closeListener = onClosed;
        connection.start(arrivedSince);
        if (front.isStopping()) {
            announceShutdown();
        }
    }

    @Override
    public void announceShutdown() {
        connection.send(ClientFrames.noMoreRequests());
    }

    @Override
    public void reject() {
        TcpConnection.reject(channel, errorFrame("too many connections"));
    }

    @Override
    public synchronized long idleSince() {
        return isIdle() ? activity.lastActiveAt() : Long.MAX_VALUE;
    }

    private boolean isIdle() {
        return openRequestCount() == 0 && connection.isFlushed();
    }

    @Override
    public boolean hasSentRequest() {
        return activity.hasSentRequest();
    }

    @Override
    public boolean confirmIdle() {
        boolean nothingToRead = !connection.readNow();
        synchronized (this) {
            return nothingToRead && isIdle();
        }
    }

    @Override
    public void close() {
        connection.closeNow("evicted to make room");
    }

    @Override
    public void drain() {
        // Requests that wait in the socket are accepted and answered like all others.
        connection.readUntilEmpty(this::startDraining);
    }

    /** Drops all input; the output is shut down after the answer to the last open request. On the loop's thread. */
    private void startDraining() {
        connection.ignoreInput();
        discardInput();
        synchronized (this) {
            draining = true;
            finishIfAnswered();
        }
    }

    /** Returns the memory held for what was received, without open requests. */
    private long receivedBytes() {
        return frames.heldBytes() + usedStreams.heldBytes();
    }

    private void discardInput() {
        frames.discardInput();
        usedStreams = new UsedStreams();
        activity.setHeldBytes(0);
    }

    private void finishIfAnswered() {
        if (draining && openRequestCount() == 0) {
            connection.finishOutput();
        }
    }

    @Override
    public void onRead(byte[] bytes, int count, long receivedAt) {
        frames.feed(bytes, count);
        try {
            boolean complete = false;
            for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
                complete = true;
                frameCount++;
                activity.setHeldBytes(receivedBytes());
                handleFrame(frame, receivedAt);
            }
            activity.onRead(front.clock().micros(), complete, frames.hasPartialInput());
            if (!activity.setHeldBytes(receivedBytes())) {
                front.reportMemoryExceeded();
                frames.dropPartialPayload();
                activity.setHeldBytes(receivedBytes());
            }
        } catch (ProtocolException e) {
            stopReading(e.getMessage());
        }
    }

    /** Stops reading after a protocol violation or timeout; open requests are still answered. */
    private void stopReading(String problem) {
        long partialStream = frames.partialRequestStream();
        front.clientEvents().warn("client.unreadable", problem, "peer", connection.address(), "open",
                requestIds(copyOpenRequests()));
        connection.send(errorFrame(problem));
        if (partialStream > 0 && usedStreams.use(partialStream)) {
            connection.send(textAnswer(partialStream, ClientFrames.CODE_REFUSED, problem));
        }
        scheduleDetach(front.clock().micros());
        startDraining();
    }

    /** Schedules that no further attempts start for the requests open then; attempts that run may still complete. */
    private void scheduleDetach(long inputClosedAt) {
        long detachAt = inputClosedAt + DETACH_DELAY_MICROS;
        if (detachAt <= front.clock().micros()) {
            detachOpenRequests();
        } else {
            front.loop().schedule(detachAt, connection, this::detachOpenRequests);
        }
    }

    private void detachOpenRequests() {
        front.submissions().submitAll(connection);
        copyOpenRequests().forEach(front.dispatcher()::detach);
    }

    @Override
    public long timeoutAt(long lastReadAt) {
        return isDraining() ? lastReadAt + front.limits().clients().idleTimeout() : activity.timeoutAt(lastReadAt);
    }

    @Override
    public boolean onTimeout(long now) {
        if (isDraining()) {
            return true;
        }
        if (activity.isMessageOverdue(now)) {
            stopReading("no whole frame in time");
            return true;
        }
        return !activity.isIdle(now) || !confirmIdle();
    }

    private synchronized boolean isDraining() {
        return draining;
    }

    /** Drains: open requests are answered, since a client that has closed its output may still read. */
    @Override
    public boolean onInputClosed(long since) {
        if (frames.hasPartialInput() && !isDraining()) {
            stopReading("the connection ended inside a frame");
            return true;
        }
        if (openRequestCount() > 0) {
            new HalfCloseNotices(front.loop(), connection, () -> openRequestCount() == 0 ? null
                    : ClientFrames.noMoreRequests()).start();
            scheduleDetach(since);
        }
        startDraining();
        return true;
    }

    @Override
    public void onClosed(boolean wasConnected) {
        copySubmittedStreams().forEach(this::withdraw);
        List<Request> unanswered = removeAllOpenRequests();
        if (!unanswered.isEmpty()) {
            front.clientEvents().info("client.left", "connection closed with requests open", "peer", connection.address(),
                    "cause", connection.closeCause(), "open", requestIds(unanswered));
        }
        unanswered.forEach(front.dispatcher()::abandon);
        discardInput();
        closeListener.run();
    }

    private synchronized List<Long> copySubmittedStreams() {
        return List.copyOf(submissions.keySet());
    }

    /** Withdraws a request that was not passed on yet; returns whether there was one. */
    private boolean withdraw(long stream) {
        Submission withdrawn;
        synchronized (this) {
            withdrawn = submissions.remove(stream);
        }
        if (withdrawn == null) {
            return false;
        }
        front.submissions().remove(withdrawn.entry());
        withdrawn.statement().release();
        connection.updateReading();
        return true;
    }

    private synchronized List<Request> copyOpenRequests() {
        return List.copyOf(openRequests.values());
    }

    /** Removes and returns all open requests, which can no longer be answered. */
    private synchronized List<Request> removeAllOpenRequests() {
        List<Request> removed = List.copyOf(openRequests.values());
        draining = true;
        openRequests.clear();
        return removed;
    }

    private static String requestIds(List<Request> requests) {
        return requests.stream().map(Request::id).collect(Collectors.joining(" "));
    }

    /** Removes and returns the open request of a stream; null if there is none. */
    private synchronized Request removeOpenRequest(long stream) {
        return openRequests.remove(stream);
    }

    private void handleFrame(Frame frame, long receivedAt) {
        switch (frame.type()) {
            case ClientFrames.REQUEST -> handleRequest(frame, receivedAt);
            case ClientFrames.CANCEL_REQUEST -> cancelRequest(frame.stream());
            case ClientFrames.READINESS_REQUEST ->
                    connection.send(ClientFrames.readinessAnswer(frame.stream(), front.dispatcher().isReady()));
            default -> throw new ProtocolException("type " + frame.type() + " is not a client's");
        }
    }

    private void cancelRequest(long stream) {
        if (withdraw(stream)) {
            return;
        }
        Request request = removeOpenRequest(stream);
        if (request != null) {
            front.dispatcher().abandon(request);
        }
    }

    private void handleRequest(Frame frame, long receivedAt) {
        long stream = frame.stream();
        if (!usedStreams.use(stream)) {
            // The client could mistake the answer for the answer to the first request on that stream.
            throw new ProtocolException("stream " + stream + " is not new on this connection");
        }
        if (frame.payloadDropped()) {
            connection.send(textAnswer(stream, ClientFrames.CODE_REFUSED, "too much has begun and not ended"));
            return;
        }
        if (openRequestCount() >= front.limits().clients().openRequests()) {
            connection.send(textAnswer(stream, ClientFrames.CODE_REFUSED,
                    "over " + front.limits().clients().openRequests() + " open requests"));
            return;
        }
        try {
            Content content = ClientFrames.parseContent(frame.payload());
            enqueue(stream, ClientRequest.read(content), receivedAt);
        } catch (ProtocolException e) {
            connection.send(textAnswer(stream, ClientFrames.CODE_FAILED, e.getMessage()));
            invalidRequestCount++;
            if (invalidRequestCount > front.limits().clients().openRequests()) {
                throw new ProtocolException("too many requests that can't be used");
            }
        }
    }

    private synchronized int openRequestCount() {
        return openRequests.size() + submissions.size();
    }

    @Override
    public long messageCount() {
        return frameCount;
    }

    /** Reading ahead serves to see cancellations early, and the order of requests; it ends when memory gets short. */
    @Override
    public boolean mayRead() {
        synchronized (this) {
            if (submissions.isEmpty()) {
                return true;
            }
        }
        return !front.memory().received().isHalfUsed();
    }

    /** Enqueues a valid request to be passed on; throws {@link ProtocolException} if it lacks what its class needs. */
    private void enqueue(long stream, ClientRequest message, long receivedAt) {
        ClientFront.ClassRequirements requirements = requirementsOf(message);
        int statementBytes = message.statement().length;
        if (!statementMemory.add(statementBytes)) {
            statementMemory.add(-statementBytes);
            front.reportMemoryExceeded();
            connection.send(textAnswer(stream, ClientFrames.CODE_REFUSED, "too much is open"));
            return;
        }
        Statement statement = new Statement(message.statement(), () -> statementMemory.add(-statementBytes));
        Long orderingKey = requirements.needsOrderingKey() ? message.orderingKey() : null;
        SubmissionQueue.Entry entry = new SubmissionQueue.Entry(connection, orderingKey, statementBytes,
                () -> submit(stream, message, statement, receivedAt));
        synchronized (this) {
            submissions.put(stream, new Submission(entry, statement));
        }
        front.submissions().add(entry);
    }

    private ClientFront.ClassRequirements requirementsOf(ClientRequest message) {
        ClientFront.ClassRequirements requirements = front.classRequirements().get(message.type());
        if (requirements == null) {
            throw new ProtocolException("op names no class: " + message.type());
        }
        if (requirements.needsIdempotencyKey() && message.idempotencyKey() == null) {
            throw new ProtocolException("dedupe is missing for class " + message.type());
        }
        if (requirements.needsOrderingKey() && message.orderingKey() == null) {
            throw new ProtocolException("row is missing for class " + message.type());
        }
        return requirements;
    }

    /** Searches the statement for its schema, which takes time in proportion to its size, and passes the request on. */
    private void submit(long stream, ClientRequest message, Statement statement, long receivedAt) {
        ClientFront.ClassRequirements requirements = requirementsOf(message);
        Request request = new Request(message.id(), message.type(), statement,
                requirements.needsIdempotencyKey() ? message.idempotencyKey() : null,
                requirements.needsOrderingKey() ? message.orderingKey() : null, receivedAt, Clock.ofMillis(message.ttlMs()),
                message.workMicros(), message.memory(), SchemaGroup.of(message.statement()), new StreamFront(stream));
        synchronized (this) {
            submissions.remove(stream);
            openRequests.put(stream, request);
        }
        connection.updateReading();
        front.dispatcher().submit(request, null, front.submissions().countUntaken());
    }

    /** Receives the answer to the request of one stream. */
    private final class StreamFront implements Front {
        private final long stream;

        StreamFront(long stream) {
            this.stream = stream;
        }

        @Override
        public void answer(Request request, Answer answer) {
            sendAnswer(stream, answer);
        }

        @Override
        public void readClientInput(Request request) {
            if (!connection.confirmInputRead()) {
                front.dispatcher().detach(request);
            }
        }
    }

    /**
     * Called on the dispatcher's thread. Synchronized, so that no other thread finds the request closed before its answer is
     * enqueued.
     */
    private synchronized void sendAnswer(long stream, Answer answer) {
        if (removeOpenRequest(stream) == null) {
            return;
        }
        activity.onAnswered(front.clock().micros());
        connection.send(encodeOrFail(stream, answer));
        finishIfAnswered();
    }

    /** Encodes an answer; a failure instead, if that throws, since a client that is not answered loses its request. */
    private byte[] encodeOrFail(long stream, Answer answer) {
        try {
            return encode(stream, answer);
        } catch (RuntimeException | OutOfMemoryError e) {
            EventLoop.reportUncaught(e);
            return textAnswer(stream, ClientFrames.CODE_FAILED, "the answer can't be encoded");
        }
    }

    /** Encodes an answer; a failure instead, if there is no memory to keep its rows until the client reads them. */
    private byte[] encode(long stream, Answer answer) {
        if (answer.kind() == Answer.Kind.SERVED && !connection.mayWait(answer.rows().length)) {
            front.reportMemoryExceeded();
            return textAnswer(stream, ClientFrames.CODE_FAILED, "too many answers wait to be read");
        }
        return encodeAnswer(stream, answer);
    }

    private static byte[] encodeAnswer(long stream, Answer answer) {
        int code = switch (answer.kind()) {
            case SERVED -> ClientFrames.CODE_SERVED;
            case REFUSED -> ClientFrames.CODE_REFUSED;
            case FAILED -> ClientFrames.CODE_FAILED;
        };
        return ClientFrames.answer(stream, code, Map.of(), answer.rows());
    }

    private static byte[] errorFrame(String problem) {
        return textAnswer(0, ClientFrames.CODE_FAILED, problem);
    }

    private static byte[] textAnswer(long stream, int code, String problem) {
        return ClientFrames.answer(stream, code, Map.of(), problem.getBytes(StandardCharsets.UTF_8));
    }
}
