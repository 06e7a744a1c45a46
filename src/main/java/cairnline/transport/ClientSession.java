package cairnline.transport;

import cairnline.protocol.ClientFrames;
import cairnline.protocol.ClientFrames.Content;
import cairnline.protocol.ClientFrames.Frame;
import cairnline.protocol.ClientRequest;
import cairnline.protocol.ProtocolException;
import cairnline.protocol.UsedStreams;
import cairnline.routing.Answer;
import cairnline.routing.Clock;
import cairnline.routing.Request;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One client connection of the platform's protocol. Once its input has ended, or can't be used any more, it drains: nothing
 * new is taken, and the connection ends after the last open request has its answer.
 */
final class ClientSession implements Listener.Session, Peer.Handler {
    /** A peer that has closed both ways answers the first write by a reset, which fails the second. */
    private static final long SECOND_NOTICE_MICROS = 20_000;
    /** Within this time after the end of the input a request that was just taken may still go out. */
    private static final long DETACH_AFTER_MICROS = 10_000;

    private final SocketChannel channel;
    private final ClientFront front;
    private final Peer peer;
    private final ClientFrames frames;
    private final UsedStreams usedStreams = new UsedStreams();
    private final Allowance allowance;
    /** Requests without an answer, by their streams; under this session's lock, as whether it drains. */
    private final Map<Long, Request> open = new HashMap<>();
    private boolean draining;
    private Runnable whenEnded;
    /** Requests that could not be used. */
    private int faults;

    ClientSession(SocketChannel channel, ClientFront front) {
        this.channel = channel;
        this.front = front;
        this.peer = Peer.accepted(front.loop(), channel, front.limits(), this);
        this.frames = new ClientFrames(front.limits().clients().frameBytes());
        this.allowance = new Allowance(front);
    }

    @Override
    public void start(long since, Runnable ended) throws IOException {
        whenEnded = ended;
        peer.start(since);
        if (front.isStopping()) {
            stopping();
        }
    }

    @Override
    public void stopping() {
        peer.send(ClientFrames.noMoreRequests());
    }

    @Override
    public void tooMany() {
        Peer.turnAway(channel, error("too many connections"));
    }

    @Override
    public synchronized long idleSince() {
        return isIdle() ? allowance.activeAt() : Long.MAX_VALUE;
    }

    private boolean isIdle() {
        return open.isEmpty() && peer.isFlushed();
    }

    @Override
    public boolean hasAsked() {
        return allowance.hasAsked();
    }

    @Override
    public boolean retire() {
        boolean silent = !peer.readNow();
        synchronized (this) {
            return silent && isIdle();
        }
    }

    @Override
    public void close() {
        peer.closeNow("evicted to make room");
    }

    @Override
    public void drain() {
        while (peer.readNow()) {
            // What the system held unread is taken, and answered like all else.
        }
        drainFrom();
    }

    /** Takes nothing more; the output ends with the answer to the last open request. */
    private synchronized void drainFrom() {
        if (!draining) {
            draining = true;
            peer.ignoreInput();
        }
        finishIfAnswered();
    }

    private void finishIfAnswered() {
        if (draining && open.isEmpty()) {
            peer.finish();
        }
    }

    @Override
    public void read(byte[] bytes, int count, long now) {
        frames.feed(bytes, count);
        try {
            boolean whole = false;
            for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
                whole = true;
                take(frame, now);
            }
            allowance.read(now, whole, frames.hasPartialInput());
            if (!allowance.hold(frames.bufferedBytes())) {
                frames.dropPartialPayload();
                allowance.hold(frames.bufferedBytes());
            }
        } catch (ProtocolException e) {
            stopReading(e.getMessage());
        }
    }

    /** What follows can't be used. */
    private void stopReading(String problem) {
        long unfinished = frames.partialRequestStream();
        front.log().warn("client.unreadable", problem, "peer", peer.address(), "open", ids(openRequests()));
        peer.send(error(problem));
        if (unfinished > 0 && usedStreams.use(unfinished)) {
            peer.send(say(unfinished, ClientFrames.CODE_REFUSED, problem));
        }
        allowance.end();
        detachSoon(front.clock().micros());
        drainFrom();
    }

    /** No further attempt begins for what is open then; what is out may still end. */
    private void detachSoon(long inputEndedAt) {
        long due = inputEndedAt + DETACH_AFTER_MICROS;
        if (due <= front.clock().micros()) {
            detachOpen();
        } else {
            front.loop().schedule(due, peer, this::detachOpen);
        }
    }

    private void detachOpen() {
        openRequests().forEach(front.core()::detach);
    }

    @Override
    public long due(long lastRead) {
        return isDraining() ? lastRead + front.limits().clients().idle() : allowance.due(lastRead);
    }

    @Override
    public boolean quiet(long now) {
        if (isDraining()) {
            return true;
        }
        if (allowance.isOver(now)) {
            stopReading("no whole frame in time");
            return true;
        }
        return !allowance.isIdle(now) || !retire();
    }

    private synchronized boolean isDraining() {
        return draining;
    }

    /** The client sends no more: what is open is answered for one that still reads. */
    @Override
    public boolean inputEnded(long since) {
        if (frames.hasPartialInput() && !isDraining()) {
            stopReading("the connection ended inside a frame");
            return true;
        }
        if (openCount() > 0) {
            peer.send(ClientFrames.noMoreRequests());
            front.loop().schedule(front.clock().micros() + SECOND_NOTICE_MICROS, peer,
                    () -> peer.send(ClientFrames.noMoreRequests()));
            detachSoon(since);
        }
        drainFrom();
        return true;
    }

    @Override
    public void ended(boolean wasUp) {
        List<Request> unanswered = takeOpen();
        if (!unanswered.isEmpty()) {
            front.log().info("client.left", "connection ended with requests open", "peer", peer.address(),
                    "cause", peer.cause(), "open", ids(unanswered));
        }
        unanswered.forEach(request -> front.hold(-request.statement().length));
        unanswered.forEach(front.core()::abandon);
        allowance.end();
        whenEnded.run();
    }

    private synchronized List<Request> openRequests() {
        return List.copyOf(open.values());
    }

    /** The open requests, which no longer are: none of them can be answered any more. */
    private synchronized List<Request> takeOpen() {
        List<Request> taken = List.copyOf(open.values());
        draining = true;
        open.clear();
        return taken;
    }

    private static String ids(List<Request> requests) {
        return requests.stream().map(Request::id).collect(Collectors.joining(" "));
    }

    /** The request that was open on this stream, which no longer is; null if none was. */
    private synchronized Request over(long stream) {
        Request request = open.remove(stream);
        if (request != null) {
            front.hold(-request.statement().length);
        }
        return request;
    }

    private void take(Frame frame, long now) {
        switch (frame.type()) {
            case ClientFrames.REQUEST -> request(frame, now);
            case ClientFrames.CANCEL_REQUEST -> withdraw(frame.stream());
            case ClientFrames.READINESS_REQUEST ->
                    peer.send(ClientFrames.readinessAnswer(frame.stream(), front.core().ready()));
            default -> throw new ProtocolException("type " + frame.type() + " is not a client's");
        }
    }

    private void withdraw(long stream) {
        Request request = over(stream);
        if (request != null) {
            front.core().abandon(request);
        }
    }

    private void request(Frame frame, long now) {
        long stream = frame.stream();
        if (!usedStreams.use(stream)) {
            // An answer on that stream could be taken for the answer to its first request.
            throw new ProtocolException("stream " + stream + " is not new on this connection");
        }
        if (frame.payloadDropped()) {
            peer.send(say(stream, ClientFrames.CODE_REFUSED, "too much has begun and not ended"));
            return;
        }
        if (openCount() >= front.limits().clients().openRequests()) {
            peer.send(say(stream, ClientFrames.CODE_REFUSED,
                    "over " + front.limits().clients().openRequests() + " open requests"));
            return;
        }
        try {
            Content content = ClientFrames.parseContent(frame.payload());
            take(stream, request(ClientRequest.read(content), stream, now));
        } catch (ProtocolException e) {
            peer.send(say(stream, ClientFrames.CODE_FAILED, e.getMessage()));
            faults++;
            if (faults > front.limits().clients().openRequests()) {
                throw new ProtocolException("too many requests that can't be used");
            }
        }
    }

    private synchronized int openCount() {
        return open.size();
    }

    private void take(long stream, Request request) {
        if (!front.hold(request.statement().length)) {
            front.hold(-request.statement().length);
            peer.send(say(stream, ClientFrames.CODE_REFUSED, "too much is open"));
            return;
        }
        synchronized (this) {
            open.put(stream, request);
        }
        front.core().take(request);
    }

    private Request request(ClientRequest r, long stream, long now) {
        ClientFront.ClassRules rules = front.classes().get(r.type());
        if (rules == null) {
            throw new ProtocolException("op names no class: " + r.type());
        }
        if (rules.keyed() && r.idempotencyKey() == null) {
            throw new ProtocolException("dedupe is missing for class " + r.type());
        }
        if (rules.ordered() && r.orderingKey() == null) {
            throw new ProtocolException("row is missing for class " + r.type());
        }
        return new Request(r.id(), r.type(), r.statement(), rules.keyed() ? r.idempotencyKey() : null,
                rules.ordered() ? r.orderingKey() : null, now, Clock.ofMillis(r.ttlMs()), r.workMicros(), r.memory(), r.tableGroup(),
                (request, answer) -> answered(stream, answer));
    }

    /** On the core's thread. No other thread may find this stream closed before its answer waits to be written. */
    private synchronized void answered(long stream, Answer answer) {
        if (over(stream) == null) {
            return;
        }
        allowance.answered(front.clock().micros());
        int code = switch (answer.kind()) {
            case SERVED -> ClientFrames.CODE_SERVED;
            case REFUSED -> ClientFrames.CODE_REFUSED;
            case FAILED -> ClientFrames.CODE_FAILED;
        };
        peer.send(ClientFrames.answer(stream, code, Map.of(), answer.rows()));
        finishIfAnswered();
    }

    private static byte[] error(String problem) {
        return say(0, ClientFrames.CODE_FAILED, problem);
    }

    private static byte[] say(long stream, int code, String problem) {
        return ClientFrames.answer(stream, code, Map.of(), problem.getBytes(StandardCharsets.UTF_8));
    }
}
