package cairnline.transport;

import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.StatusKind;
import cairnline.membership.Evidence;
import cairnline.pools.MemoryBudget;
import cairnline.protocol.EngineMessage;
import cairnline.protocol.PagedResult;
import cairnline.protocol.ProtocolException;
import cairnline.protocol.Resp;
import cairnline.routing.Attempt;
import cairnline.routing.Clock;
import cairnline.routing.Dispatcher;
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
 * One connection to an engine that speaks RESP. Its state is shared by the dispatcher's thread and the event loop, and guarded
 * by this object's lock. The dispatcher is never called with the lock held, since its mailbox may be full.
 */
final class RespConnection implements TcpConnection.Handler, PooledLink.Connection {
    private static final int MAX_ANSWER_PARTS = 4;
    private static final String PROBE_ID_PREFIX = "probe-";

    private final RespLink link;
    private final Dispatcher dispatcher;
    private final Limits limits;
    private final TcpConnection connection;
    private final Resp decoder;
    private final MemoryBudget.Account decoderMemory;
    /** The memory of the pages received for {@link #exchanges}. */
    private final MemoryBudget.Account pageMemory;
    /** The memory of results that wait for the dispatcher; it outlives the connection. */
    private final MemoryBudget.Account resultMemory;
    /** The attempts in flight, by request id. */
    private final Map<String, Exchange> exchanges = new HashMap<>();
    /** Ids of attempts that ended before their complete answer, which may therefore still arrive. */
    private final AbandonedIds abandonedIds;
    private final Map<String, Probe> probes = new HashMap<>();
    private long nextProbeNumber;
    private boolean closed;
    /** What the end of this connection says about the engine's state; null for nothing. */
    private Evidence closeEvidence;
    private boolean closedLocally;
    /** Since when the engine has been expected to send something. */
    private long awaitingSince;
    private long lastReceivedAt;

    RespConnection(RespLink link, Dispatcher dispatcher, Limits limits, EventLoop loop,
                   ConnectionMemory memory) {
        this.link = link;
        this.dispatcher = dispatcher;
        this.limits = limits;
        this.connection = TcpConnection.unconnected(loop, limits, memory.unsent(), this);
        this.decoderMemory = memory.received().openAccount();
        this.pageMemory = memory.received().openAccount();
        this.resultMemory = memory.received().openAccount();
        this.abandonedIds = new AbandonedIds(limits.routing().openRequests(), memory.received());
        this.decoder = new Resp(MAX_ANSWER_PARTS, limits.engines().partBytes());
        this.lastReceivedAt = loop.clock().micros();
    }

    /** An attempt on this connection, with the pages received so far. */
    private final class Exchange {
        final Attempt attempt;
        final PagedResult result;
        /** Whether the command has been passed on to be written, so that the engine may execute it. */
        boolean written;
        /** The message that sends the attempt. */
        final AttemptMessage message = new AttemptMessage(this);

        Exchange(Attempt attempt, PagedResult result) {
            this.attempt = attempt;
            this.result = result;
        }
    }

    /** A request for the engine's load report. */
    private static final class Probe {
        final Consumer<Map<String, Double>> answer;
        boolean written;

        Probe(Consumer<Map<String, Double>> answer) {
            this.answer = answer;
        }
    }

    void connect(InetSocketAddress address) {
        connection.connect(address);
    }

    @Override
    public synchronized boolean isClosed() {
        return closed;
    }

    @Override
    public synchronized boolean isIdle() {
        return !closed && exchanges.isEmpty() && probes.isEmpty();
    }

    @Override
    public synchronized boolean isQuiescent() {
        return !closed && !decoder.hasPartialInput() && exchanges.values().stream().noneMatch(exchange -> exchange.written)
                && probes.values().stream().noneMatch(probe -> probe.written);
    }

    private synchronized void markWritten(Probe probe, long now) {
        probe.written = true;
        startSilencePeriod(now);
    }

    /**
     * Starts the silence period if nothing else is in flight. A new request must not extend the time that the engine has to
     * answer, or report on, an earlier one.
     */
    private synchronized void startSilencePeriod(long now) {
        if (exchanges.size() + probes.size() == 1) {
            awaitingSince = now;
        }
    }

    /** Returns the number of open requests. */
    synchronized int openRequestCount() {
        return exchanges.size();
    }

    /** Whether a request with this id may start here: there is a free stream, and no answer to the same id may still arrive. */
    synchronized boolean canStart(String id) {
        return !closed && exchanges.size() < limits.engines().streamsPerConnection() && !exchanges.containsKey(id)
                && !abandonedIds.contains(id);
    }

    /** Enqueues an attempt; false if the connection is closed or its mailbox is full. */
    boolean start(Attempt attempt) {
        Exchange exchange = new Exchange(attempt,
                new PagedResult(limits.engines().pageBytes(), limits.engines().pages()));
        String id = attempt.request().id();
        synchronized (this) {
            if (closed) {
                return false;
            }
            exchanges.put(id, exchange);
        }
        if (!connection.enqueueIfRoom(exchange.message)) {
            synchronized (this) {
                // If the connection was closed in between, onClosed has already reported this attempt.
                return !exchanges.remove(id, exchange);
            }
        }
        return true;
    }

    /** The message that sends an attempt; if the attempt is cancelled while it is written in part, the rest is not written. */
    private final class AttemptMessage implements OutboundQueue.OutboundMessage {
        private final Exchange exchange;

        AttemptMessage(Exchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public byte[] encode(long now) {
            return encodeCommand(exchange, now);
        }

        @Override
        public boolean isWanted() {
            Request request = exchange.attempt.request();
            request.front().readClientInput(request);
            return exchange.attempt.isWanted();
        }
    }

    /** Encodes the command; null if it must not be sent any more, since it may have waited while the engine did not read. */
    private byte[] encodeCommand(Exchange exchange, long now) {
        Attempt attempt = exchange.attempt;
        Request request = attempt.request();
        byte[] statement = request.statement().bytes();
        boolean allowed = now <= link.sendDeadline() && now < attempt.deadline() && attempt.confirmMayStart();
        synchronized (this) {
            if (exchanges.get(request.id()) != exchange) {
                return null;
            }
            exchange.written = allowed;
            startSilencePeriod(now);
            if (!allowed) {
                exchanges.remove(request.id());
            }
        }
        if (!allowed) {
            dispatcher.attemptEnded(attempt, Attempt.Result.of(AttemptStatus.NOT_SENT));
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("profile", request.type());
        fields.put("max", Long.toString(Clock.toMillis(attempt.deadline() - now)));
        if (request.idempotencyKey() != null) {
            fields.put("replay", request.idempotencyKey());
        }
        fields.put("rank", Integer.toString(attempt.priority()));
        return Resp.array(utf8("do"), utf8(request.id()), utf8(Resp.fields(fields)), statement);
    }

    /** Cancels the attempt, at the engine too if it was sent; an answer that still arrives is ignored. */
    @Override
    public void cancel(Attempt attempt) {
        String id = attempt.request().id();
        Exchange cancelled;
        boolean written;
        synchronized (this) {
            if (!isInFlight(attempt)) {
                return;
            }
            cancelled = removeExchange(id);
            written = cancelled.written;
            abandonedIds.add(id);
        }
        if (written) {
            connection.send(Resp.stringArray("undo", id));
        } else {
            connection.withdraw(cancelled.message);
        }
    }

    void setPriority(Attempt attempt, int priority) {
        if (isInFlight(attempt)) {
            connection.send(Resp.stringArray("bump", attempt.request().id(), Integer.toString(priority)));
        }
    }

    /** Removes an exchange with its pages; with the lock held. */
    private Exchange removeExchange(String id) {
        Exchange removed = exchanges.remove(id);
        pageMemory.add(-removed.result.size());
        return removed;
    }

    private synchronized boolean isInFlight(Attempt attempt) {
        Exchange exchange = exchanges.get(attempt.request().id());
        return exchange != null && exchange.attempt == attempt;
    }

    /** Enqueues a probe; false if the connection is closed or its mailbox is full. {@code answer} gets null if there is none. */
    boolean sendProbe(Consumer<Map<String, Double>> answer) {
        String probeId;
        Probe probe = new Probe(answer);
        synchronized (this) {
            if (closed) {
                return false;
            }
            probeId = PROBE_ID_PREFIX + nextProbeNumber++;
            probes.put(probeId, probe);
        }
        boolean enqueued = connection.enqueueIfRoom(now -> {
            markWritten(probe, now);
            return Resp.stringArray("top", probeId);
        });
        if (enqueued) {
            return true;
        }
        synchronized (this) {
            // If the connection was closed in between, onClosed has already answered this probe.
            return probes.remove(probeId) == null;
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            closedLocally = true;
            closed = true;
        }
        connection.close();
    }

    @Override
    public synchronized void onUnreachable(IOException cause) {
        if (!closedLocally) {
            closeEvidence = UnreachableCause.of(cause).evidence();
        }
    }

    @Override
    public void onRead(byte[] bytes, int count, long receivedAt) {
        synchronized (this) {
            if (closed) {
                return;
            }
            lastReceivedAt = receivedAt;
        }
        decoder.feed(bytes, count);
        try {
            for (List<byte[]> parts = decoder.next(); parts != null; parts = decoder.next()) {
                handleMessage(EngineMessage.parse(parts));
            }
            decoderMemory.set(decoder.heldBytes());
        } catch (ProtocolException e) {
            // Message boundaries are lost from here on; closing the connection ends the attempts in flight on it.
            synchronized (this) {
                closed = true;
                closeEvidence = Evidence.MALFORMED;
            }
            close();
        }
    }

    private void handleMessage(EngineMessage message) {
        Probe probe;
        synchronized (this) {
            probe = message.kind() == EngineMessage.Kind.PROBE ? probes.remove(message.id()) : null;
        }
        if (probe != null) {
            probe.answer.accept(message.loadReport());
            return;
        }
        Exchange exchange;
        synchronized (this) {
            exchange = exchanges.get(message.id());
            if (exchange == null || !exchange.written) {
                // An answer under an id that is not, or not yet, known to the engine answers nothing that was asked.
                return;
            }
        }
        switch (message.kind()) {
            case OK -> handleFirstPage(exchange, message);
            case PAGE -> handlePage(exchange, message);
            case FULL -> endAttempt(exchange, Attempt.Result.of(AttemptStatus.FULL));
            case ERROR -> endAttempt(exchange, Attempt.Result.of(AttemptStatus.ERROR));
            case STALE -> endAttempt(exchange, Attempt.Result.of(AttemptStatus.NOT_SENT));
            case STATUS -> reportStatus(exchange.attempt, message);
            case PROBE -> throw new ProtocolException("probe answer received for a request");
        }
    }

    /** Handles page 0, and requests all other pages at once, so that they cost a single round trip. */
    private void handleFirstPage(Exchange exchange, EngineMessage message) {
        if (!exchange.result.start(message)) {
            return;
        }
        boolean isPaged = exchange.result.count() > 1;
        if (isPaged && !exchange.attempt.isWanted()) {
            endEarly(exchange, Attempt.Result.of(AttemptStatus.OK));
            return;
        }
        if (isPaged) {
            connection.send(exchange.result.pageRequests(exchange.attempt.request().id()));
        }
        storePage(exchange, 0, message.body());
    }

    /** Handles a further page; a duplicate of a page is ignored. */
    private void handlePage(Exchange exchange, EngineMessage message) {
        if (!exchange.result.isMissing(message.pageNumber())) {
            return;
        }
        if (exchange.attempt.isWanted()) {
            storePage(exchange, message.pageNumber(), message.body());
        } else {
            endEarly(exchange, Attempt.Result.of(AttemptStatus.OK));
        }
    }

    private void storePage(Exchange exchange, int page, byte[] rows) {
        PagedResult result = exchange.result;
        boolean fits;
        synchronized (this) {
            if (!isInFlight(exchange.attempt)) {
                return;
            }
            result.put(page, rows);
            fits = pageMemory.add(rows.length) || result.isComplete();
        }
        if (!fits || result.size() > limits.engines().resultBytes()) {
            endEarly(exchange, Attempt.Result.of(AttemptStatus.ERROR));
        } else if (result.isComplete()) {
            endAttempt(exchange, new Attempt.Result(AttemptStatus.OK, result.join(), result.work(), result.memory()));
        }
    }

    /** Ends an attempt whose remaining pages are not wanted; pages that still arrive are ignored. */
    private void endEarly(Exchange exchange, Attempt.Result result) {
        endAttempt(exchange, result);
        connection.send(Resp.stringArray("forget", exchange.attempt.request().id()));
    }

    private void reportStatus(Attempt attempt, EngineMessage message) {
        switch (message.statusName()) {
            case "advance" -> dispatcher.statusReceived(attempt, StatusKind.PROGRESS, message.statusValue());
            case "disk" -> dispatcher.statusReceived(attempt, StatusKind.SPILL, message.statusValue());
            case "stall" -> dispatcher.statusReceived(attempt,
                    message.statusValue() >= 2 ? StatusKind.WAITS_LOAD : StatusKind.WAITS_MEMORY, message.statusValue());
            default -> { }
        }
    }

    private void endAttempt(Exchange exchange, Attempt.Result result) {
        synchronized (this) {
            String id = exchange.attempt.request().id();
            if (exchanges.get(id) != exchange) {
                return;
            }
            removeExchange(id);
            if (result.status() != AttemptStatus.OK || !exchange.result.isComplete()) {
                // The next attempt of the request has the same id, and must not receive an answer to this one that still arrives.
                abandonedIds.add(id);
            }
        }
        resultMemory.add(result.rows().length);
        dispatcher.attemptEnded(exchange.attempt, result, () -> resultMemory.add(-result.rows().length));
    }

    @Override
    public long timeoutAt(long lastReadAt) {
        long idleOrSilence = Math.min(limits.engines().idleTimeout(), limits.engines().silenceTimeout());
        return lastReadAt + (decoder.hasPartialInput() ? limits.engines().partialAnswerTimeout() : idleOrSilence);
    }

    /**
     * Decides and marks the connection closed atomically, so that no attempt starts on a connection about to close. Closes it
     * if it is idle, if an answer stays incomplete, or if the engine sends nothing although it should report on its requests.
     */
    @Override
    public synchronized boolean onTimeout(long now) {
        long quietTime = now - Math.max(awaitingSince, lastReceivedAt);
        boolean idle = exchanges.isEmpty() && probes.isEmpty();
        if (decoder.hasPartialInput() || !idle && quietTime >= limits.engines().silenceTimeout()) {
            closeEvidence = Evidence.NO_ANSWER;
        }
        closed |= decoder.hasPartialInput()
                || quietTime >= (idle ? limits.engines().idleTimeout() : limits.engines().silenceTimeout());
        return !closed;
    }

    @Override
    public void onClosed(boolean wasConnected) {
        List<Exchange> inFlight;
        List<Probe> openProbes;
        Evidence evidence;
        synchronized (this) {
            closed = true;
            boolean interrupted = wasConnected && !closedLocally && !(exchanges.isEmpty() && probes.isEmpty());
            evidence = closeEvidence == null && interrupted ? Evidence.CONNECTION_RESET : closeEvidence;
            inFlight = new ArrayList<>(exchanges.values());
            openProbes = new ArrayList<>(probes.values());
            exchanges.clear();
            probes.clear();
            abandonedIds.close();
        }
        decoder.discardInput();
        decoderMemory.close();
        pageMemory.close();
        if (!inFlight.isEmpty()) {
            link.log().info("engine.left", "connection closed with attempts in flight", "engine", link.engine(), "cause",
                    connection.closeCause(), "out", inFlight.stream().map(exchange -> exchange.attempt.request().id())
                            .collect(Collectors.joining(" ")));
        }
        if (evidence != null) {
            dispatcher.evidenceObserved(link.engine(), evidence);
        }
        for (Exchange exchange : inFlight) {
            AttemptStatus status = exchange.written ? AttemptStatus.RESET
                    : wasConnected ? AttemptStatus.NOT_SENT : AttemptStatus.CONNECT_FAILED;
            dispatcher.attemptEnded(exchange.attempt, Attempt.Result.of(status));
        }
        openProbes.forEach(probe -> probe.answer.accept(null));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
