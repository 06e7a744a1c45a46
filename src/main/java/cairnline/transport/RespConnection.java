package cairnline.transport;

import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.StatusKind;
import cairnline.membership.Evidence;
import cairnline.protocol.EngineMessage;
import cairnline.protocol.PagedResult;
import cairnline.protocol.ProtocolException;
import cairnline.protocol.Resp;
import cairnline.routing.Attempt;
import cairnline.routing.Clock;
import cairnline.routing.Core;
import cairnline.routing.Limits;
import cairnline.routing.Request;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * One connection to an engine. Its maps are shared by the core's thread, the writer and the reader, under its lock;
 * the core is never called under that lock, since its mailbox may be full.
 */
final class RespConnection implements Peer.Handler, PooledLink.Connection {
    private static final int ANSWER_PARTS = 4;
    private static final String PROBE_TAG = "probe-";

    private final RespLink link;
    private final Core core;
    private final Limits limits;
    private final Peer peer;
    private final Resp answers;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    /** Ids given up, whose answers or pages may still be on their way; the oldest give way. */
    private final Map<String, Boolean> undone = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > limits.routing().openRequests();
        }
    };
    private final Map<String, Probe> probes = new HashMap<>();
    private long probeCount;
    private boolean over;
    /** What the way this connection ends tells of its engine; null for nothing. */
    private Evidence seen;
    private boolean closedHere;
    /** Since when there is something that the engine must answer or tell of. */
    private long askedAt;
    private long heardAt;

    RespConnection(RespLink link, Core core, Limits limits, EventLoop loop) {
        this.link = link;
        this.core = core;
        this.limits = limits;
        this.peer = Peer.connecting(loop, limits, this);
        this.answers = new Resp(ANSWER_PARTS, limits.engines().partBytes());
        this.heardAt = loop.clock().micros();
    }

    /** An attempt on this connection, with the pages that have come. */
    private static final class Exchange {
        final Attempt attempt;
        final PagedResult result;
        boolean written;

        Exchange(Attempt attempt, PagedResult result) {
            this.attempt = attempt;
            this.result = result;
        }
    }

    /** A question for the engine's load. */
    private static final class Probe {
        final Consumer<Map<String, Double>> answer;
        boolean written;

        Probe(Consumer<Map<String, Double>> answer) {
            this.answer = answer;
        }
    }

    void connect(InetSocketAddress address) {
        peer.connect(address);
    }

    @Override
    public synchronized boolean isOver() {
        return over;
    }

    @Override
    public synchronized boolean isIdle() {
        return !over && exchanges.isEmpty() && probes.isEmpty();
    }

    @Override
    public synchronized boolean isQuiescent() {
        return !over && !answers.partial() && exchanges.values().stream().noneMatch(exchange -> exchange.written)
                && probes.values().stream().noneMatch(probe -> probe.written);
    }

    private synchronized void written(Probe probe, long now) {
        probe.written = true;
        asked(now);
    }

    /** What is asked while something else is open does not excuse that nothing is heard of that. */
    private synchronized void asked(long now) {
        if (exchanges.size() + probes.size() == 1) {
            askedAt = now;
        }
    }

    /** How many requests are open here. */
    synchronized int load() {
        return exchanges.size();
    }

    /** Whether a request with this id may start here; the id stays taken until its engine has answered. */
    synchronized boolean hasRoom(String id) {
        return !over && exchanges.size() < limits.engines().streams() && !exchanges.containsKey(id)
                && !undone.containsKey(id);
    }

    boolean start(Attempt attempt) {
        Exchange exchange = new Exchange(attempt,
                new PagedResult(limits.engines().pageBytes(), limits.engines().pages()));
        String id = attempt.request().id();
        synchronized (this) {
            if (over) {
                return false;
            }
            exchanges.put(id, exchange);
        }
        if (!peer.ask(new Command(exchange))) {
            synchronized (this) {
                // If the connection has ended in between, its end has told of this attempt.
                return !exchanges.remove(id, exchange);
            }
        }
        return true;
    }

    /** The letter that carries an attempt; one that is given up must not arrive whole later. */
    private final class Command implements Peer.Letter {
        private final Exchange exchange;

        Command(Exchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public byte[] bytes(long now) {
            return command(exchange, now);
        }

        @Override
        public boolean isWanted() {
            return exchange.attempt.wanted();
        }
    }

    /** The command, if it may still leave when its turn comes: it may have waited behind a slow engine. */
    private byte[] command(Exchange exchange, long now) {
        Attempt attempt = exchange.attempt;
        Request request = attempt.request();
        boolean allowed = now <= link.lastSend() && now < attempt.endsAt() && attempt.mayBegin();
        synchronized (this) {
            if (exchanges.get(request.id()) != exchange) {
                return null;
            }
            exchange.written = allowed;
            asked(now);
            if (!allowed) {
                exchanges.remove(request.id());
            }
        }
        if (!allowed) {
            core.ended(attempt, Attempt.Result.of(AttemptStatus.NOT_SENT));
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("profile", request.type());
        fields.put("max", Long.toString(Clock.toMillis(attempt.endsAt() - now)));
        if (request.repeatKey() != null) {
            fields.put("replay", request.repeatKey());
        }
        fields.put("rank", Integer.toString(attempt.priority()));
        return Resp.array(utf8("do"), utf8(request.id()), utf8(Resp.fields(fields)), request.statement());
    }

    /** Tells the engine if it has the attempt; an answer that is on its way already finds nothing here. */
    @Override
    public void giveUp(Attempt attempt) {
        String id = attempt.request().id();
        boolean written;
        synchronized (this) {
            if (!isOut(attempt)) {
                return;
            }
            written = exchanges.remove(id).written;
            undone.put(id, Boolean.TRUE);
        }
        if (written) {
            peer.send(Resp.words("undo", id));
        }
    }

    void bump(Attempt attempt, int priority) {
        if (isOut(attempt)) {
            peer.send(Resp.words("bump", attempt.request().id(), Integer.toString(priority)));
        }
    }

    private synchronized boolean isOut(Attempt attempt) {
        Exchange exchange = exchanges.get(attempt.request().id());
        return exchange != null && exchange.attempt == attempt;
    }

    boolean probe(Consumer<Map<String, Double>> answer) {
        String tag;
        Probe probe = new Probe(answer);
        synchronized (this) {
            if (over) {
                return false;
            }
            tag = PROBE_TAG + probeCount++;
            probes.put(tag, probe);
        }
        boolean left = peer.ask(now -> {
            written(probe, now);
            return Resp.words("top", tag);
        });
        if (left) {
            return true;
        }
        synchronized (this) {
            // If the connection has ended in between, its end has told of this probe.
            return probes.remove(tag) == null;
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            closedHere = true;
            over = true;
        }
        peer.close();
    }

    @Override
    public synchronized void unreachable(IOException why) {
        if (!closedHere) {
            seen = UnreachableCause.of(why).evidence();
        }
    }

    @Override
    public void read(byte[] bytes, int count, long now) {
        synchronized (this) {
            if (over) {
                return;
            }
            heardAt = now;
        }
        answers.feed(bytes, count);
        try {
            for (List<byte[]> parts = answers.next(); parts != null; parts = answers.next()) {
                take(EngineMessage.of(parts));
            }
        } catch (ProtocolException e) {
            // What follows can't be told apart any more; the end of the connection ends what is out on it.
            synchronized (this) {
                over = true;
                seen = Evidence.UNREADABLE;
            }
            close();
        }
    }

    private void take(EngineMessage message) {
        Probe probe;
        synchronized (this) {
            probe = message.kind() == EngineMessage.Kind.PROBE ? probes.remove(message.id()) : null;
        }
        if (probe != null) {
            probe.answer.accept(message.report());
            return;
        }
        Exchange exchange;
        synchronized (this) {
            exchange = exchanges.get(message.id());
        }
        if (exchange == null) {
            return;
        }
        switch (message.kind()) {
            case OK -> first(exchange, message);
            case PAGE -> page(exchange, message);
            case FULL -> end(exchange, Attempt.Result.of(AttemptStatus.FULL));
            case ERROR -> end(exchange, Attempt.Result.of(AttemptStatus.ERROR));
            case STALE -> end(exchange, Attempt.Result.of(AttemptStatus.NOT_SENT));
            case NOTE -> note(exchange.attempt, message);
            case PROBE -> throw new ProtocolException("a probe's word for a request");
        }
    }

    /** Page 0 is there; all others are asked for at once, so that the answer waits for one way and back only. */
    private void first(Exchange exchange, EngineMessage message) {
        if (!exchange.result.begin(message)) {
            return;
        }
        boolean isPaged = exchange.result.count() > 1;
        if (isPaged && !exchange.attempt.wanted()) {
            forget(exchange, Attempt.Result.of(AttemptStatus.OK));
            return;
        }
        if (isPaged) {
            peer.send(exchange.result.requests(exchange.attempt.request().id()));
        }
        put(exchange, 0, message.body());
    }

    /** A second copy of a page takes nothing from the first. */
    private void page(Exchange exchange, EngineMessage message) {
        if (!exchange.result.awaits(message.page())) {
            return;
        }
        if (exchange.attempt.wanted()) {
            put(exchange, message.page(), message.body());
        } else {
            forget(exchange, Attempt.Result.of(AttemptStatus.OK));
        }
    }

    private void put(Exchange exchange, int page, byte[] rows) {
        PagedResult result = exchange.result;
        result.put(page, rows);
        if (result.size() > limits.engines().resultBytes()) {
            forget(exchange, Attempt.Result.of(AttemptStatus.ERROR));
        } else if (result.isWhole()) {
            end(exchange, new Attempt.Result(AttemptStatus.OK, result.whole(), result.work(), result.memory()));
        }
    }

    /** Ends an attempt whose further pages are not wanted; what is on its way finds nothing here. */
    private void forget(Exchange exchange, Attempt.Result result) {
        end(exchange, result);
        peer.send(Resp.words("forget", exchange.attempt.request().id()));
    }

    private void note(Attempt attempt, EngineMessage message) {
        switch (message.note()) {
            case "advance" -> core.noted(attempt, StatusKind.PROGRESS, message.amount());
            case "disk" -> core.noted(attempt, StatusKind.SPILL, message.amount());
            case "stall" -> core.noted(attempt,
                    message.amount() >= 2 ? StatusKind.WAITS_LOAD : StatusKind.WAITS_MEMORY, message.amount());
            default -> { }
        }
    }

    private void end(Exchange exchange, Attempt.Result result) {
        synchronized (this) {
            String id = exchange.attempt.request().id();
            if (!exchanges.remove(id, exchange)) {
                return;
            }
            if (result.end() != AttemptStatus.OK || !exchange.result.isWhole()) {
                // A further attempt bears the same id: it must not meet here what may still come of this one.
                undone.put(id, Boolean.TRUE);
            }
        }
        core.ended(exchange.attempt, result);
    }

    @Override
    public long due(long lastRead) {
        long usual = Math.min(limits.engines().idle(), limits.engines().silence());
        return lastRead + (answers.partial() ? limits.engines().partialAnswer() : usual);
    }

    /**
     * Decides and marks in one step, so that no attempt starts on a connection about to close. One on which an answer
     * breaks off, or an engine that should tell of what it runs says nothing, is of no use to what is out on it.
     */
    @Override
    public synchronized boolean quiet(long now) {
        long still = now - Math.max(askedAt, heardAt);
        boolean idle = exchanges.isEmpty() && probes.isEmpty();
        if (answers.partial() || !idle && still >= limits.engines().silence()) {
            seen = Evidence.SILENCE;
        }
        over |= answers.partial() || still >= (idle ? limits.engines().idle() : limits.engines().silence());
        return !over;
    }

    @Override
    public void ended(boolean wasUp) {
        List<Exchange> out;
        List<Probe> asked;
        Evidence told;
        synchronized (this) {
            over = true;
            boolean broken = wasUp && !closedHere && !(exchanges.isEmpty() && probes.isEmpty());
            told = seen == null && broken ? Evidence.RESET : seen;
            out = new ArrayList<>(exchanges.values());
            asked = new ArrayList<>(probes.values());
            exchanges.clear();
            probes.clear();
        }
        if (!out.isEmpty()) {
            link.log().info("engine.left", "connection ended with attempts out", "engine", link.engine(), "cause",
                    peer.cause(), "out", out.stream().map(exchange -> exchange.attempt.request().id())
                            .collect(Collectors.joining(" ")));
        }
        if (told != null) {
            core.witnessed(link.engine(), told);
        }
        for (Exchange exchange : out) {
            AttemptStatus end = exchange.written ? AttemptStatus.RESET : wasUp ? AttemptStatus.NOT_SENT : AttemptStatus.CONNECT_FAILED;
            core.ended(exchange.attempt, Attempt.Result.of(end));
        }
        asked.forEach(probe -> probe.answer.accept(null));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
