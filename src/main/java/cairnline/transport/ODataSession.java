package cairnline.transport;

import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataBatch;
import cairnline.protocol.ODataException;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ProtocolException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One OData client's connection. Requests are served one after the other, in the order sent; all but the reading
 * happens on the peer's actor.
 */
final class ODataSession implements Listener.Session, Peer.Handler {
    private final ODataFront front;
    private final Peer peer;
    private final HttpDecoder requests;
    private final ArrayDeque<Arrival> waiting = new ArrayDeque<>();
    /** What the core has of this client; given up when it hangs up. */
    private final Set<ODataCall> open = ConcurrentHashMap.newKeySet();
    /** Requests read and not answered yet. */
    private final AtomicInteger unanswered = new AtomicInteger();
    private boolean busy;
    /** It is about to close, with nothing open. */
    private boolean retired;
    private volatile boolean broken;
    private volatile boolean gone;
    private final Allowance allowance;
    private Runnable whenEnded;

    private record Arrival(HttpMessage request, long at) { }

    ODataSession(Socket socket, ODataFront front) {
        this.front = front;
        this.peer = new Peer("odata", socket, front.limits(), front.clock());
        this.requests = new HttpDecoder(front.limits().httpHead(), front.limits().httpBody());
        this.allowance = new Allowance(front);
    }

    @Override
    public void start(Runnable ended) {
        whenEnded = ended;
        peer.start(this);
    }

    @Override
    public void stopping() {
        // HTTP/1.1 can tell a client only with its next answer.
    }

    @Override
    public void flush(long most) {
        peer.flush(most);
    }

    @Override
    public void tooMany() {
        peer.turnAway(ODataModel.error(503, "too many connections").with("retry-after", "1")
                .with("connection", "close").bytes());
    }

    @Override
    public long idleSince() {
        return unanswered.get() == 0 ? allowance.activeAt() : Long.MAX_VALUE;
    }

    @Override
    public boolean hasAsked() {
        return allowance.hasAsked();
    }

    @Override
    public synchronized boolean retire() {
        retired |= unanswered.get() == 0;
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
        requests.feed(bytes, count);
        try {
            boolean whole = false;
            for (HttpMessage request = requests.next(); request != null; request = requests.next()) {
                whole = true;
                synchronized (this) {
                    if (retired) {
                        return;
                    }
                    unanswered.incrementAndGet();
                }
                Arrival arrival = new Arrival(request, now);
                if (!peer.offer(turn -> arrived(arrival))) {
                    peer.close();
                }
            }
            if (!allowance.read(now, whole, requests.held())) {
                refuse(ODataModel.error(503, "too much has begun and not ended").with("retry-after", "1"));
            }
        } catch (ProtocolException e) {
            refuse(ODataModel.error(400, e.getMessage()));
        }
    }

    /** The last answer on this connection: what follows can't be read. */
    private void refuse(HttpMessage answer) {
        broken = true;
        peer.send(answer.with("connection", "close").bytes());
        peer.finish();
    }

    @Override
    public long due(long lastRead) {
        return allowance.due(lastRead);
    }

    @Override
    public boolean quiet(long now) {
        if (allowance.isOver(now) && unanswered.get() == 0) {
            refuse(ODataModel.error(408, "no whole request in time"));
            return true;
        }
        return !allowance.isIdle(now) || !retire();
    }

    @Override
    public byte[] ended(boolean wasUp) {
        gone = true;
        open.forEach(ODataCall::abandon);
        open.clear();
        allowance.end();
        whenEnded.run();
        return requests.partial() && !broken
                ? ODataModel.error(400, "the connection ended inside a request").with("connection", "close").bytes()
                : null;
    }

    private byte[] arrived(Arrival arrival) {
        waiting.addLast(arrival);
        if (waiting.size() > front.limits().openPerClient()) {
            refuse(ODataModel.error(429, "too many requests wait on this connection"));
            return null;
        }
        return busy ? null : next();
    }

    /** Serves the next request; gives its answer if it needs no engine. */
    private byte[] next() {
        Arrival arrival = waiting.pollFirst();
        if (arrival == null || broken) {
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
                ODataBatch batch = ODataBatch.read(request, front.limits().batch());
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

    /** Runs a task on the peer's actor; a client so far behind that there is no room for it is closed. */
    void later(Runnable task) {
        boolean left = peer.offer(now -> {
            task.run();
            return null;
        });
        if (!left) {
            peer.close();
        }
    }

    /** Hands a call to the core, unless the client has hung up in between. */
    void begin(ODataCall call) {
        open.add(call);
        call.start();
        if (gone && open.remove(call)) {
            call.abandon();
        }
    }

    void over(ODataCall call) {
        open.remove(call);
    }

    private void answered(HttpMessage request, HttpMessage whole) {
        boolean left = peer.offer(now -> {
            open.clear();
            return answer(request, whole);
        });
        if (!left) {
            peer.close();
        }
    }

    /** The bytes of an answer, after which the next request is served. */
    private byte[] answer(HttpMessage request, HttpMessage whole) {
        busy = false;
        unanswered.decrementAndGet();
        allowance.answered(front.clock().micros());
        boolean last = request.closes() || front.isStopping();
        HttpMessage told = whole.headers().containsKey("odata-version") ? whole : whole.with("odata-version",
                request.header("odata-maxversion").equals("4.0") ? "4.0" : "4.01");
        if (last) {
            broken = true;
            peer.finish();
            return told.with("connection", "close").bytes();
        }
        later(() -> {
            byte[] following = busy ? null : next();
            if (following != null) {
                peer.send(following);
            }
        });
        return told.bytes();
    }

    private static String path(HttpMessage request) {
        return request.target().split("\\?", 2)[0];
    }

    /** The documents that need no engine; null for all else. */
    private HttpMessage document(HttpMessage request) {
        String path = path(request);
        if (!request.start()[2].equals("HTTP/1.0") && request.header("host").isEmpty()) {
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
