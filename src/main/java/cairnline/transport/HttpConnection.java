package cairnline.transport;

import cairnline.control.ControlApi.AttemptStatus;
import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataPages;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Attempt;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * One connection to an OData engine, with one attempt on it at a time. An attempt that is given up ends its connection,
 * so that no later attempt can meet its answer; nothing calls the core under this lock.
 */
final class HttpConnection implements Peer.Handler, PooledLink.Connection {
    private static final int FULL = 503;
    private static final int TOO_MANY = 429;
    private static final int ERRORS = 500;
    private static final int NOT_IMPLEMENTED = 501;

    private final HttpLink link;
    private final InetSocketAddress address;
    private final Core core;
    private final Limits limits;
    private final Peer peer;
    private final HttpDecoder answers;
    private Attempt attempt;
    private boolean written;
    private boolean over;
    /** Only the reading thread touches this. */
    private ODataPages pages = new ODataPages();
    private int pageCount;

    HttpConnection(HttpLink link, InetSocketAddress address, Core core, Limits limits, EventLoop loop) {
        this.link = link;
        this.address = address;
        this.core = core;
        this.limits = limits;
        this.peer = Peer.connecting(loop, limits, this);
        this.answers = new HttpDecoder(limits.http().headBytes(), limits.http().bodyBytes());
    }

    void connect() {
        peer.connect(address);
    }

    @Override
    public synchronized boolean isOver() {
        return over;
    }

    @Override
    public synchronized boolean isIdle() {
        return !over && attempt == null;
    }

    /** False if it is taken or over. */
    boolean start(Attempt next) {
        synchronized (this) {
            if (over || attempt != null) {
                return false;
            }
            attempt = next;
            written = false;
        }
        if (peer.ask(now -> command(next, now))) {
            return true;
        }
        synchronized (this) {
            attempt = null;
        }
        return false;
    }

    /** The request, if it may still leave when its turn comes. */
    private byte[] command(Attempt next, long now) {
        boolean allowed = now <= link.lastSend() && now < next.endsAt() && next.mayBegin();
        synchronized (this) {
            if (attempt != next) {
                return null;
            }
            written = allowed;
            if (!allowed) {
                attempt = null;
            }
        }
        if (!allowed) {
            core.ended(next, Attempt.Result.of(AttemptStatus.NOT_SENT));
            return null;
        }
        return withHost(HttpMessage.of(next.request().statement()));
    }

    private byte[] withHost(HttpMessage request) {
        return request.with("host", address.getHostString() + ":" + address.getPort()).bytes();
    }

    @Override
    public void giveUp(Attempt given) {
        synchronized (this) {
            if (attempt != given) {
                return;
            }
            attempt = null;
            over = true;
        }
        close();
    }

    @Override
    public void close() {
        peer.close();
    }

    @Override
    public void read(byte[] bytes, int count, long now) {
        if (isOver()) {
            return;
        }
        try {
            answers.feed(bytes, count);
            for (HttpMessage answer = answers.next(); answer != null; answer = answers.next()) {
                take(answer);
            }
        } catch (ProtocolException e) {
            synchronized (this) {
                over = true;
            }
            close();
        }
    }

    private void take(HttpMessage answer) {
        Attempt now = current();
        if (now == null) {
            // Nothing was asked, so the two ends no longer agree on what answers what.
            close();
            return;
        }
        int status = answer.status();
        if (status == FULL || status == TOO_MANY) {
            end(answer, Attempt.Result.of(AttemptStatus.FULL));
        } else if (status >= ERRORS && status != NOT_IMPLEMENTED) {
            end(answer, Attempt.Result.of(AttemptStatus.ERROR));
        } else {
            page(now, answer);
        }
    }

    /** Joins the pages; the attempt ends well only with the last, and a page that is lost fails it. */
    private void page(Attempt now, HttpMessage answer) {
        boolean good = answer.status() / 100 == 2 || pageCount == 0;
        String next = null;
        try {
            next = good ? pages.take(answer) : null;
            pageCount++;
        } catch (ProtocolException e) {
            good = false;
        }
        if (!good || pageCount > limits.http().pages()) {
            end(answer, Attempt.Result.of(AttemptStatus.ERROR));
        } else if (next != null && now.wanted() && !answer.closes()) {
            peer.send(withHost(HttpMessage.request("GET", next, Map.of("accept", "application/json"),
                    new byte[0])));
        } else if (next != null && now.wanted()) {
            end(answer, Attempt.Result.of(AttemptStatus.ERROR));
        } else {
            byte[] whole = pages.whole().bytes();
            end(answer, whole.length > limits.http().bodyBytes() ? Attempt.Result.of(AttemptStatus.ERROR)
                    : new Attempt.Result(AttemptStatus.OK, whole, 0, 0));
        }
    }

    private synchronized Attempt current() {
        return attempt;
    }

    private void end(HttpMessage answer, Attempt.Result result) {
        pages = new ODataPages();
        pageCount = 0;
        Attempt ended;
        synchronized (this) {
            ended = attempt;
            attempt = null;
            over |= answer.closes();
        }
        if (ended != null) {
            core.ended(ended, result);
        }
        if (answer.closes()) {
            close();
        }
    }

    @Override
    public long due(long lastRead) {
        return lastRead + limits.engines().idle();
    }

    /** Decides and marks in one step, so that no attempt starts on a connection about to close. */
    @Override
    public synchronized boolean quiet(long now) {
        over |= attempt == null;
        return !over;
    }

    @Override
    public void ended(boolean wasUp) {
        Attempt lost;
        synchronized (this) {
            over = true;
            lost = attempt;
            attempt = null;
        }
        if (lost != null) {
            AttemptStatus end = written ? AttemptStatus.RESET : wasUp ? AttemptStatus.NOT_SENT : AttemptStatus.CONNECT_FAILED;
            core.ended(lost, Attempt.Result.of(end));
        }
    }
}
