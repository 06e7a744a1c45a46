package cairnline.transport;

import cairnline.protocol.ClientFrames;
import cairnline.protocol.ClientFrames.Content;
import cairnline.protocol.ClientFrames.Frame;
import cairnline.protocol.ClientRequest;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Answer;
import cairnline.routing.Clock;
import cairnline.routing.Request;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** One client connection of the platform's protocol. */
final class ClientSession implements Listener.Session, Peer.Handler {
    private final ClientFront front;
    private final Peer peer;
    private final ClientFrames frames;
    private final Map<Long, Request> open = new ConcurrentHashMap<>();
    private final Allowance allowance;
    private Runnable whenEnded;
    private long lastStream;
    /** Requests that could not be used. */
    private int faults;
    /** After an error in the framing nothing that follows can be read. */
    private boolean broken;
    /** It is about to close, with nothing open. */
    private boolean retired;

    ClientSession(Socket socket, ClientFront front) {
        this.front = front;
        this.peer = new Peer("client", socket, front.limits(), front.clock());
        this.frames = new ClientFrames(front.limits().frame());
        this.allowance = new Allowance(front);
    }

    @Override
    public void start(Runnable ended) {
        whenEnded = ended;
        peer.start(this);
        if (front.isStopping()) {
            stopping();
        }
    }

    @Override
    public void stopping() {
        peer.send(ClientFrames.noMoreRequests());
    }

    @Override
    public void flush(long most) {
        peer.flush(most);
    }

    @Override
    public void tooMany() {
        peer.turnAway(error("too many connections"));
    }

    @Override
    public long idleSince() {
        return open.isEmpty() ? allowance.activeAt() : Long.MAX_VALUE;
    }

    @Override
    public boolean hasAsked() {
        return allowance.hasAsked();
    }

    @Override
    public synchronized boolean retire() {
        retired |= open.isEmpty();
        return retired;
    }

    @Override
    public void close() {
        peer.close();
    }

    @Override
    public void read(byte[] bytes, int count, long now) {
        if (broken) {
            return;
        }
        frames.feed(bytes, count);
        try {
            boolean whole = false;
            for (Frame frame = frames.next(); frame != null; frame = frames.next()) {
                whole = true;
                take(frame, now);
            }
            if (!allowance.read(now, whole, frames.held())) {
                throw new ProtocolException("too much has begun and not ended");
            }
        } catch (ProtocolException e) {
            end(e.getMessage());
        }
    }

    /** Nothing more is read here. */
    private void end(String problem) {
        front.log().warn("client.unreadable", problem, "peer", peer.address(), "open", openIds());
        broken = true;
        leave();
        peer.send(error(problem));
        peer.finish();
    }

    @Override
    public long due(long lastRead) {
        return allowance.due(lastRead);
    }

    @Override
    public boolean quiet(long now) {
        if (allowance.isOver(now)) {
            end("no whole frame in time");
            return true;
        }
        return !allowance.isIdle(now) || !retire();
    }

    @Override
    public byte[] ended(boolean wasUp) {
        if (!open.isEmpty()) {
            front.log().warn("client.left", "connection ended with requests open", "peer", peer.address(),
                    "cause", peer.cause(), "open", openIds());
        }
        leave();
        allowance.end();
        whenEnded.run();
        return frames.partial() && !broken ? error("the connection ended inside a frame") : null;
    }

    private String openIds() {
        return open.values().stream().map(Request::id).collect(Collectors.joining(" "));
    }

    private void leave() {
        for (Long stream : open.keySet()) {
            withdraw(stream);
        }
    }

    private void withdraw(long stream) {
        Request request = over(stream);
        if (request != null) {
            front.core().abandon(request);
        }
    }

    /** The request that was open on this stream, which no longer is; null if none was. */
    private Request over(long stream) {
        Request request = open.remove(stream);
        if (request != null) {
            front.hold(-request.statement().length);
        }
        return request;
    }

    private void take(Frame frame, long now) {
        switch (frame.type()) {
            case ClientFrames.REQUEST -> request(frame, now);
            case ClientFrames.WITHDRAWN -> withdraw(frame.stream());
            case ClientFrames.READY_QUESTION ->
                    peer.send(ClientFrames.ready(frame.stream(), front.core().ready()));
            default -> throw new ProtocolException("type " + frame.type() + " is not a client's");
        }
    }

    private void request(Frame frame, long now) {
        long stream = frame.stream();
        if (stream <= lastStream) {
            // An answer on that stream could be taken for the answer to its first request.
            throw new ProtocolException("stream " + stream + " is not new on this connection");
        }
        lastStream = stream;
        if (open.size() >= front.limits().openPerClient()) {
            peer.send(say(stream, ClientFrames.CODE_REFUSED,
                    "over " + front.limits().openPerClient() + " open requests"));
            return;
        }
        try {
            Content content = ClientFrames.content(frame.payload());
            Request request = request(ClientRequest.read(content), stream, now);
            synchronized (this) {
                if (retired) {
                    return;
                }
                open.put(stream, request);
            }
            if (front.hold(request.statement().length)) {
                front.core().take(request);
            } else {
                over(stream);
                peer.send(say(stream, ClientFrames.CODE_REFUSED, "too much is open"));
            }
        } catch (ProtocolException e) {
            peer.send(say(stream, ClientFrames.CODE_FAILED, e.getMessage()));
            faults++;
            if (faults > front.limits().openPerClient()) {
                throw new ProtocolException("too many requests that can't be used");
            }
        }
    }

    private Request request(ClientRequest r, long stream, long now) {
        ClientFront.ClassRules rules = front.classes().get(r.type());
        if (rules == null) {
            throw new ProtocolException("op names no class: " + r.type());
        }
        if (rules.keyed() && r.repeatKey() == null) {
            throw new ProtocolException("dedupe is missing for class " + r.type());
        }
        if (rules.ordered() && r.order() == null) {
            throw new ProtocolException("row is missing for class " + r.type());
        }
        return new Request(r.id(), r.type(), r.statement(), rules.keyed() ? r.repeatKey() : null,
                rules.ordered() ? r.order() : null, now, Clock.ofMillis(r.ttlMs()), r.workMicros(), r.memory(), r.tables(),
                (request, answer) -> answered(stream, answer));
    }

    /** On the core's thread. */
    private void answered(long stream, Answer answer) {
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
    }

    private static byte[] error(String problem) {
        return say(0, ClientFrames.CODE_FAILED, problem);
    }

    private static byte[] say(long stream, int code, String problem) {
        return ClientFrames.answer(stream, code, Map.of(), problem.getBytes(StandardCharsets.UTF_8));
    }
}
