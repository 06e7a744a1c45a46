package cairnline.transport;

import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataBatch;
import cairnline.protocol.ODataException;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ProtocolException;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One OData client's connection, on the event loop. Requests are served one after the other, in the order sent. Once its
 * input has ended, or can't be used any more, it ends after the answers that are owed.
 */
final class ODataSession implements Listener.Session, Peer.Handler {
    /** Within this time after the end of the input a request that was just taken may still go out. */
    private static final long DETACH_AFTER_MICROS = 10_000;

    private final ODataFront front;
    private final SocketChannel channel;
    private final Peer peer;
    private final HttpDecoder requests;
    private final ArrayDeque<Arrival> waiting = new ArrayDeque<>();
    /** What the core has of this client; given up when it hangs up. */
    private final Set<ODataCall> open = ConcurrentHashMap.newKeySet();
    /** Requests read and not answered yet. */
    private final AtomicInteger unanswered = new AtomicInteger();
    private boolean busy;
    /** Nothing more is read; the connection ends after the last answer and {@link #lastWord}. */
    private boolean inputOver;
    private HttpMessage lastWord;
    /** The client sends no more: what has not begun is not begun. */
    private boolean leaving;
    /** The last answer has been given. */
    private boolean finished;
    private boolean gone;
    private final Allowance allowance;
    private Runnable whenEnded;

    private record Arrival(HttpMessage request, long at) { }

    ODataSession(SocketChannel channel, ODataFront front) {
        this.channel = channel;
        this.front = front;
        this.peer = Peer.accepted(front.loop(), channel, front.limits(), this);
        this.requests = new HttpDecoder(front.limits().http().headBytes(), front.limits().http().bodyBytes());
        this.allowance = new Allowance(front);
    }

    @Override
    public void start(long since, Runnable ended) throws IOException {
        whenEnded = ended;
        peer.start(since);
    }

    @Override
    public void stopping() {
        // HTTP/1.1 can tell a client only with its next answer.
    }

    @Override
    public void drain() {
        while (peer.readNow()) {
            // What the system held unread is taken, and answered like all else.
        }
        endInput(null);
    }

    @Override
    public void tooMany() {
        Peer.turnAway(channel, ODataModel.error(503, "too many connections").withHeader("retry-after", "1")
                .withHeader("connection", "close").encode());
    }

    @Override
    public long idleSince() {
        return isIdle() ? allowance.activeAt() : Long.MAX_VALUE;
    }

    private boolean isIdle() {
        return unanswered.get() == 0 && peer.isFlushed();
    }

    @Override
    public boolean hasAsked() {
        return allowance.hasAsked();
    }

    @Override
    public boolean retire() {
        return !peer.readNow() && isIdle();
    }

    @Override
    public void close() {
        peer.closeNow("evicted to make room");
    }

    @Override
    public void read(byte[] bytes, int count, long now) {
        requests.feed(bytes, count);
        try {
            boolean whole = false;
            for (HttpMessage request = requests.next(); request != null; request = requests.next()) {
                whole = true;
                unanswered.incrementAndGet();
                Arrival arrival = new Arrival(request, now);
                peer.offer(turn -> arrived(arrival));
            }
            allowance.read(now, whole, requests.hasPartialInput());
            if (!allowance.hold(requests.bufferedBytes())) {
                endInput(ODataModel.error(503, "too much has begun and not ended").withHeader("retry-after", "1"));
            }
        } catch (ProtocolException e) {
            endInput(ODataModel.error(400, e.getMessage()));
        }
    }

    /** Nothing more is read; after the answers that are owed comes this word, if it is not null, and the end. */
    private void endInput(HttpMessage word) {
        if (!inputOver) {
            inputOver = true;
            lastWord = word;
            peer.ignoreInput();
            allowance.end();
        }
        finishIfAnswered();
    }

    private void finishIfAnswered() {
        if (!inputOver || finished || unanswered.get() > 0) {
            return;
        }
        finished = true;
        if (lastWord != null) {
            peer.send(lastWord.withHeader("connection", "close").encode());
        }
        peer.finish();
    }

    @Override
    public long due(long lastRead) {
        return inputOver ? lastRead + front.limits().clients().idle() : allowance.due(lastRead);
    }

    @Override
    public boolean quiet(long now) {
        if (!inputOver && allowance.isOver(now)) {
            endInput(ODataModel.error(408, "no whole request in time"));
        }
        return inputOver || !allowance.isIdle(now) || !retire();
    }

    @Override
    public boolean inputEnded(long since) {
        front.loop().schedule(since + DETACH_AFTER_MICROS, peer, this::leave);
        endInput(requests.hasPartialInput() ? ODataModel.error(400, "the connection ended inside a request") : null);
        return true;
    }

    private void leave() {
        leaving = true;
        open.forEach(ODataCall::detach);
    }

    @Override
    public void ended(boolean wasUp) {
        gone = true;
        open.forEach(ODataCall::abandon);
        open.clear();
        allowance.end();
        whenEnded.run();
    }

    private byte[] arrived(Arrival arrival) {
        waiting.addLast(arrival);
        if (waiting.size() > front.limits().clients().openRequests()) {
            waiting.removeLast();
            unanswered.decrementAndGet();
            endInput(ODataModel.error(429, "too many requests wait on this connection"));
            return null;
        }
        return busy ? null : next();
    }

    /** Serves the next request; gives its answer if it needs no engine. */
    private byte[] next() {
        Arrival arrival = waiting.pollFirst();
        if (arrival == null || finished) {
            return null;
        }
        busy = true;
        HttpMessage request = arrival.request();
        try {
            HttpMessage known = document(request);
            if (known != null) {
                return answer(request, known);
            }
            if (path(request).equals("/$batch")) {
                ODataBatch batch = ODataBatch.read(request, front.limits().http().batchRequests());
                new ODataBatchRun(batch, this, arrival.at()).start(whole -> answered(request, whole));
                return null;
            }
            ODataCall call = new ODataCall(front, ODataCall.read(request, front), arrival.at(),
                    whole -> answered(request, whole));
            begin(call);
            return null;
        } catch (ODataException e) {
            return answer(request, ODataModel.error(e.status(), e.getMessage()));
        }
    }

    ODataFront front() {
        return front;
    }

    /** Runs a task on the event loop, in turn with what is written here. */
    void later(Runnable task) {
        peer.offer(now -> {
            task.run();
            return null;
        });
    }

    /** Hands a call to the core, unless its client has left. */
    void begin(ODataCall call) {
        if (leaving) {
            call.refuse("the client sends no more");
        } else if (!gone) {
            open.add(call);
            call.start();
        }
    }

    void over(ODataCall call) {
        open.remove(call);
    }

    private void answered(HttpMessage request, HttpMessage whole) {
        peer.offer(now -> {
            open.clear();
            return answer(request, whole);
        });
    }

    /** The bytes of an answer, after which the next request is served. */
    private byte[] answer(HttpMessage request, HttpMessage whole) {
        busy = false;
        unanswered.decrementAndGet();
        allowance.answered(front.clock().micros());
        boolean last = request.closesConnection() || front.isStopping();
        HttpMessage told = whole.headers().containsKey("odata-version") ? whole : whole.withHeader("odata-version",
                request.header("odata-maxversion").equals("4.0") ? "4.0" : "4.01");
        if (last) {
            inputOver = true;
            finished = true;
            peer.ignoreInput();
            peer.finish();
            return told.withHeader("connection", "close").encode();
        }
        later(() -> {
            byte[] following = busy ? null : next();
            if (following != null) {
                peer.send(following);
            }
            finishIfAnswered();
        });
        return told.encode();
    }

    private static String path(HttpMessage request) {
        return request.target().split("\\?", 2)[0];
    }

    /** The documents that need no engine; null for all else. */
    private HttpMessage document(HttpMessage request) {
        String path = path(request);
        if (!request.startLine()[2].equals("HTTP/1.0") && request.header("host").isEmpty()) {
            throw new ODataException(400, "the Host header is missing");
        }
        boolean service = path.isEmpty() || path.equals("/");
        boolean metadata = path.equals("/$metadata");
        boolean batch = path.equals("/$batch");
        if (!service && !metadata && !batch) {
            return null;
        }
        if (!request.method().equals(batch ? "POST" : "GET")) {
            throw new ODataException(405, path + " does not serve " + request.method());
        }
        if (service) {
            return HttpMessage.response(200, ODataModel.JSON, front.model().serviceDocument());
        }
        boolean json = request.target().contains("$format=json") || request.target().contains("%24format=json")
                || request.header("accept").startsWith("application/json");
        return !metadata ? null : json
                ? HttpMessage.response(200, "application/json", front.model().metadataJson())
                : HttpMessage.response(200, "application/xml", front.model().metadataXml());
    }
}
