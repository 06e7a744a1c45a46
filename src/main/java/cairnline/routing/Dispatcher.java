package cairnline.routing;

import cairnline.control.Control;
import cairnline.control.ControlApi;
import cairnline.control.ControlApi.Actions;
import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.StatusUpdate;
import cairnline.control.ControlApi.StatusKind;
import cairnline.control.ControlApi.Outcome;
import cairnline.control.ControlApi.RetrySafety;
import cairnline.control.ControlApi.Settings;
import cairnline.membership.EngineListStore;
import cairnline.membership.Evidence;
import cairnline.membership.ListedEngine;
import cairnline.membership.Membership;
import cairnline.membership.StoredEngine;
import cairnline.membership.TrustSettings;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * Runs the decision module on the thread of an actor. It owns the open requests, their attempts and all timers, passes
 * events to the module and carries out the actions that the module requests. It is independent of any protocol.
 *
 * <p>The methods for other threads only submit a task to the actor's mailbox; all state is confined to the actor's thread.
 */
public final class Dispatcher implements Actor.Handler, Actions {
    /** Far longer than the 50 ms within which a request that crosses the close of its connection is sent once more. */
    private static final long UNSAFE_ID_RETENTION_MICROS = 1_000_000;
    private static final String STOPPING_REASON = "this workload manager stops";
    private static final String NO_ENGINE_REASON = "no engine that is remembered can be reached";

    private final Limits limits;
    private final Settings settings;
    private final long seed;
    private final Consumer<String> log;
    private final Actor actor;
    private final Timers timers = new Timers();
    /** Calls to the decision module. They run one after another, since it must not be called from within its own actions. */
    private final ArrayDeque<Runnable> moduleCalls = new ArrayDeque<>();
    /** Requests by the id under which the decision module knows them, until their last attempt has ended. */
    private final Map<String, OpenRequest> requestsById = new HashMap<>();
    /** Requests that are not answered yet. */
    private final Map<Request, OpenRequest> unanswered = new IdentityHashMap<>();
    private final ClientRequestIds clientIds = new ClientRequestIds();
    private final Set<String> unsafeClasses = new HashSet<>();
    private final Map<Attempt, InFlight> attemptsInFlight = new IdentityHashMap<>();
    private final KeyPlaces keyPlaces = new KeyPlaces();
    private final EngineRegistry engines;
    private final Membership membership;
    private final EngineListStore listStore;
    private final RequestTrace trace;
    /** When the timer for the next event of {@link #membership} is due. */
    private long membershipTimerAt = Long.MAX_VALUE;
    private ControlApi control;
    private long now;
    private long requestCount;
    private boolean stopping;
    /** Whether new requests are refused, since the accept period of the shutdown is over. */
    private boolean closed;
    private Runnable whenAllAnswered;
    private boolean hasEngineList;
    /** Whether the first read of the control feed is complete, or none is required. */
    private boolean firstFeedReadDone = true;
    private volatile boolean ready;

    /** Creates a dispatcher that does not store the engine list. */
    public Dispatcher(Settings settings, long seed, Limits limits, Clock clock, Consumer<String> log,
                      BiFunction<ListedEngine, Dispatcher, EngineLink> linkFactory) {
        this(settings, seed, limits, clock, log, linkFactory,
                TrustSettings.defaults(Clock.fromModuleNanos(settings.safetyRules().warmUpTime())), EngineListStore.NONE,
                RequestTrace.OFF);
    }

    /**
     * Creates a dispatcher that is not started yet.
     *
     * @param seed seed of the decision module's random numbers
     * @param log receives the decision module's log lines
     * @param linkFactory creates the link to an engine
     * @param listStore stores the engine list for the next start
     */
    public Dispatcher(Settings settings, long seed, Limits limits, Clock clock, Consumer<String> log,
                      BiFunction<ListedEngine, Dispatcher, EngineLink> linkFactory, TrustSettings trust,
                      EngineListStore listStore, RequestTrace trace) {
        this.trace = trace;
        this.membership = new Membership(trust);
        this.listStore = listStore;
        this.settings = settings;
        this.seed = seed;
        this.limits = limits;
        this.log = log;
        this.engines = new EngineRegistry(engine -> linkFactory.apply(engine, this), limits.routing().drainGrace());
        int mailbox = limits.routing().mailbox();
        settings.requestClasses().stream().filter(each -> each.retrySafety() == RetrySafety.UNSAFE)
                .forEach(each -> unsafeClasses.add(each.name()));
        this.actor = new Actor("core", mailbox, mailbox, limits.routing().stackBytes(), clock, this);
    }

    /** An attempt in flight. */
    private static final class InFlight {
        final OpenRequest request;
        /** Null if the engine is not listed. */
        final EngineRegistry.Entry engine;
        /** Gives the attempt up at its deadline; null if it is not under way. */
        Timers.Timer timeout;

        InFlight(OpenRequest request, EngineRegistry.Entry engine) {
            this.request = request;
            this.engine = engine;
        }
    }

    // ---- For other threads ----

    /** Starts the actor's thread and the decision module. */
    public void start() {
        actor.start();
    }

    /**
     * Whether requests can be served: the decision module has received an engine list, the first read of the control feed
     * is complete if one is required, and no shutdown has begun.
     */
    public boolean isReady() {
        return ready;
    }

    /** Requires {@link #firstFeedReadDone} before {@link #isReady} can be true; to be called before {@link #start}. */
    public void requireFeed() {
        firstFeedReadDone = false;
    }

    /** Reports that the first read of the control feed is complete, or that the feed cannot be reached at present. */
    public void firstFeedReadDone() {
        actor.put(() -> {
            firstFeedReadDone = true;
            ready = hasEngineList && !stopping;
        });
    }

    /** Submits a request. Its front receives exactly one answer, unless it abandons the request before. */
    public void submit(Request request) {
        submit(request, null, () -> { });
    }

    /**
     * Reserves the next place among the requests with this ordering key, for a request that is submitted later. The place is
     * released when the request has not been submitted by {@code expiresAt}, in microseconds.
     */
    public KeyPlace reservePlace(long orderingKey, long expiresAt) {
        KeyPlace place = new KeyPlace(orderingKey);
        actor.put(() -> {
            keyPlaces.add(place);
            place.expiry = timers.schedule(expiresAt, () -> release(place));
        });
        return place;
    }

    /** Releases a place whose request will not be submitted. */
    public void releasePlace(KeyPlace place) {
        actor.put(() -> release(place));
    }

    /**
     * Submits a request.
     *
     * @param place its place among the requests of its ordering key; null if it was received just now, or has no key
     * @param taken runs on the dispatcher's thread once the request has left the mailbox
     */
    public void submit(Request request, KeyPlace place, Runnable taken) {
        actor.put(() -> {
            taken.run();
            handleRequest(request, place);
        });
    }

    /** Abandons a request: nobody waits for its answer any more. */
    public void abandon(Request request) {
        request.interest().markLost();
        actor.put(() -> handleAbandon(request));
    }

    /**
     * Detaches a request whose client sends nothing more but may still read: no further attempt starts, while attempts in
     * flight may still end and be answered.
     */
    public void detach(Request request) {
        request.interest().markDetached();
        actor.put(() -> handleDetach(request));
    }

    /** Reports the end of an attempt. */
    public void attemptEnded(Attempt attempt, Attempt.Result result) {
        attemptEnded(attempt, result, () -> { });
    }

    /** Reports the end of an attempt; {@code taken} runs once the result has been passed on, and is not held here any more. */
    public void attemptEnded(Attempt attempt, Attempt.Result result, Runnable taken) {
        actor.put(() -> {
            finishAttempt(attempt, result);
            taken.run();
        });
    }

    /** Reports a status update of an attempt in flight. */
    public void statusReceived(Attempt attempt, StatusKind kind, double amount) {
        actor.put(() -> {
            InFlight inFlight = attemptsInFlight.get(attempt);
            if (inFlight != null) {
                callModule(() -> control.onStatusUpdate(moduleNow(),
                        new StatusUpdate(inFlight.request.id, attempt.number(), attempt.engine(), kind, amount)));
            }
        });
    }

    /** Reports an update of the engine list; {@code complete} if it holds all engines. */
    public void listUpdated(boolean complete, List<ListedEngine> entries) {
        actor.put(() -> applyListUpdate(complete, entries));
    }

    /** Restores the stored engine list of an earlier run; it is valid until the control feed reports. */
    public void restoreList(List<StoredEngine> storedEngines) {
        actor.put(() -> applyStoredList(storedEngines));
    }

    /** Reports evidence about an engine other than the end of an attempt, such as the loss of a connection. */
    public void evidenceObserved(String engineId, Evidence evidence) {
        actor.put(() -> applyEvidence(engineId, evidence));
    }

    /** Starts the shutdown. {@code done} runs when no more requests are accepted and all accepted ones are answered. */
    public void shutDown(Runnable done) {
        actor.put(() -> {
            stopping = true;
            ready = false;
            listStore.save(membership.view(now), true);
            timers.schedule(now + limits.shutdown().acceptPeriod(), () -> {
                closed = true;
                whenAllAnswered = done;
            });
            timers.schedule(now + limits.shutdown().answerPeriod(), this::answerAll);
        });
    }

    // ---- Turns of the actor ----

    @Override
    public void beginTurn(long time) {
        now = time;
        if (control == null) {
            control = new Control(settings, seed, moduleNow(), this);
            if (listStore.saveInterval() < Long.MAX_VALUE) {
                timers.schedule(now + listStore.saveInterval(), this::saveListPeriodically);
            }
        }
    }

    @Override
    public long endTurn(long time) {
        Runnable task = timers.pollDue(now);
        while (task != null) {
            task.run();
            task = timers.pollDue(now);
        }
        updateMembership();
        if (whenAllAnswered != null && unanswered.isEmpty()) {
            whenAllAnswered.run();
            whenAllAnswered = null;
        }
        return timers.nextDueAt();
    }

    private long moduleNow() {
        return Clock.toModuleNanos(now);
    }

    /**
     * Calls the decision module, then makes the calls that result from its actions. An exception in the module is logged
     * and must not terminate the program.
     */
    private void callModule(Runnable call) {
        moduleCalls.addLast(call);
        if (moduleCalls.size() > 1) {
            return;
        }
        while (!moduleCalls.isEmpty()) {
            try {
                moduleCalls.peekFirst().run();
            } catch (RuntimeException e) {
                log.accept("the decision module failed: " + e + " at " + Arrays.toString(e.getStackTrace()));
            }
            moduleCalls.removeFirst();
        }
    }

    // ---- Requests ----

    private void handleRequest(Request request, KeyPlace place) {
        OpenRequest open = open(request);
        if (open == null) {
            release(place);
        } else if (request.orderingKey() == null) {
            passToModule(open);
        } else {
            open.place = place != null ? place : new KeyPlace(request.orderingKey());
            timers.cancel(open.place.expiry);
            keyPlaces.submit(open.place, open).forEach(this::passToModule);
        }
    }

    private void release(KeyPlace place) {
        if (place != null) {
            timers.cancel(place.expiry);
            keyPlaces.release(place).forEach(this::passToModule);
        }
    }

    /** Opens a request; answers it and returns null if that is not possible. */
    private OpenRequest open(Request request) {
        long deadline = request.receivedAt() + request.timeout() - limits.routing().answerMargin();
        // Once the accept period of a shutdown is over, new requests must not delay its end.
        String refusal = closed ? STOPPING_REASON
                : requestsById.size() >= limits.routing().openRequests() ? "too many open requests" : null;
        long retryAfter = membership.retryAfter(now);
        if (refusal != null || retryAfter > 0) {
            Answer answer = refusal != null ? Answer.refused(refusal, limits.routing().retryAfter())
                    : Answer.refused(NO_ENGINE_REASON, retryAfter);
            trace.step("answered", request, "", now, answer.kind() + " " + answer.reason());
            answerUnopened(request, answer);
            return null;
        }
        String conflict = clientIds.conflictOf(request);
        if (conflict != null) {
            answerUnopened(request, Answer.failed(conflict, false));
            return null;
        }
        OpenRequest open = new OpenRequest("q" + requestCount++, request, deadline, unsafeClasses.contains(request.type()));
        requestsById.put(open.id, open);
        unanswered.put(request, open);
        clientIds.add(open);
        trace.step("taken", request, "", now, request.type());
        open.overdueTimer = timers.schedule(deadline + limits.routing().answerMargin() / 2, () -> answerOverdue(open));
        return open;
    }

    private void passToModule(OpenRequest open) {
        if (open.answered) {
            return;
        }
        Request request = open.request;
        boolean isOrdered = request.orderingKey() != null;
        callModule(() -> control.onRequest(moduleNow(), new ControlApi.Request(open.id, request.type(), "", isOrdered,
                isOrdered ? request.orderingKey() : 0, Clock.toModuleNanos(Math.max(1, open.deadline - now)),
                Clock.toModuleNanos(request.work()), request.memory(), request.tableGroup(), false)));
    }

    private static void answerUnopened(Request request, Answer answer) {
        request.statement().release();
        request.front().answer(request, answer);
    }

    private void handleAbandon(Request request) {
        OpenRequest open = unanswered.get(request);
        if (open == null) {
            return;
        }
        close(open);
        callModule(() -> control.onAbandoned(moduleNow(), open.id));
        if (open.detached && settings.permissions().cancel()) {
            // The detach was already reported to the module as abandoned, when attempts in flight might still have been
            // answered; so the module does not cancel them now.
            List.copyOf(open.inFlight).forEach(attempt -> timers.schedule(now, () -> giveUp(attempt, AttemptStatus.CANCELLED)));
        }
    }

    private void handleDetach(Request request) {
        OpenRequest open = unanswered.get(request);
        if (open == null) {
            return;
        }
        open.detached = true;
        if (open.inFlight.isEmpty()) {
            answer(open, open.unserved("its client sends no more", limits.routing().retryAfter()));
        }
        callModule(() -> control.onAbandoned(moduleNow(), open.id));
    }

    /** Answers all open requests at the end of a shutdown, since the process may be killed soon. */
    private void answerAll() {
        for (OpenRequest open : List.copyOf(unanswered.values())) {
            answer(open, open.unserved(STOPPING_REASON, limits.routing().retryAfter()));
            callModule(() -> control.onAbandoned(moduleNow(), open.id));
        }
    }

    /** Ensures an answer within the client's timeout, should the request wait for its key, or the decision module have failed. */
    private void answerOverdue(OpenRequest open) {
        if (!open.answered) {
            answer(open, open.attempts.isEmpty()
                    ? Answer.refused("refused: it would not be served in time", limits.routing().retryAfter())
                    : Answer.failed("no answer in time", true));
            callModule(() -> control.onAbandoned(moduleNow(), open.id));
        }
    }

    private void answer(OpenRequest open, Answer answer) {
        if (!open.answered) {
            close(open);
            trace.step("answered", open.request, "", now, answer.kind() + " " + answer.reason());
            open.request.front().answer(open.request, answer);
        }
    }

    private void close(OpenRequest open) {
        open.answered = true;
        timers.cancel(open.overdueTimer);
        unanswered.remove(open.request);
        open.inFlight.forEach(Attempt::markUnwanted);
        open.request.statement().release();
        removeIfComplete(open);
        release(open.place);
    }

    private void removeIfComplete(OpenRequest open) {
        if (open.answered && open.inFlight.isEmpty()) {
            requestsById.remove(open.id);
            forgetClientId(open);
        }
    }

    /** Forgets the id of a request that has ended; one that must not run twice is remembered for a while. */
    private void forgetClientId(OpenRequest open) {
        if (open.isUnsafe && open.mayHaveRun()) {
            timers.schedule(now + UNSAFE_ID_RETENTION_MICROS, () -> clientIds.remove(open));
        } else {
            clientIds.remove(open);
        }
    }

    // ---- Attempts ----

    /** Handles the first reported end of an attempt; a later one, from its engine or its timer, is ignored. */
    private void finishAttempt(Attempt attempt, Attempt.Result result) {
        InFlight finished = attemptsInFlight.remove(attempt);
        if (finished == null) {
            return;
        }
        timers.cancel(finished.timeout);
        OpenRequest open = finished.request;
        open.attemptEnded(attempt, result.status());
        attempt.markUnwanted();
        trace.step("ended", open.request, attempt.engine(), now, attempt.number() + " " + result.status());
        if (finished.engine != null) {
            engines.attemptEnded(finished.engine);
        }
        if (result.status() == AttemptStatus.OK || result.status() == AttemptStatus.FULL
                || result.status() == AttemptStatus.ERROR) {
            applyEvidence(attempt.engine(), Evidence.REQUEST_SERVED);
        }
        if (result.status() == AttemptStatus.OK) {
            answer(open, Answer.served(result.rows()));
        }
        if (open.detached && open.inFlight.isEmpty()) {
            answer(open, open.unserved("the engines failed it, and its client sends no more",
                    limits.routing().retryAfter()));
        }
        boolean isLast = open.answered;
        removeIfComplete(open);
        callModule(() -> control.onOutcome(moduleNow(), new Outcome(open.id, attempt.number(), attempt.engine(), result.status(),
                Clock.toModuleNanos(now - attempt.sentAt()), isLast, Clock.toModuleNanos(result.work()), result.memory(),
                Load.NONE)));
    }

    /**
     * Ends an attempt from this side. The engine has to be asked to cancel it: until then the attempt may still run, and a
     * load that follows with the same ordering key would break the order.
     */
    private void giveUp(Attempt attempt, AttemptStatus status) {
        InFlight inFlight = attemptsInFlight.get(attempt);
        if (inFlight != null) {
            inFlight.engine.link().giveUp(attempt);
            finishAttempt(attempt, Attempt.Result.of(status));
        }
    }

    @Override
    public void send(String id, String engineId, long timeout) {
        OpenRequest open = requestsById.get(id);
        EngineRegistry.Entry engine = engines.get(engineId);
        if (open == null) {
            return;
        }
        long attemptDeadline = timeout > 0 ? Math.min(open.deadline, now + Clock.fromModuleNanos(timeout)) : open.deadline;
        Attempt attempt = new Attempt(open.request, engineId, open.attempts.size(), now, attemptDeadline, open.priority);
        open.attempts.add(attempt);
        open.inFlight.add(attempt);
        if (engine != null) {
            engine.attemptStarted();
        }
        InFlight inFlight = new InFlight(open, engine);
        attemptsInFlight.put(attempt, inFlight);
        trace.step("sent", open.request, engineId, now, Integer.toString(attempt.number()));
        if (open.answered || open.detached || engine == null || attemptDeadline <= now) {
            timers.schedule(now, () -> finishAttempt(attempt, Attempt.Result.of(AttemptStatus.NOT_SENT)));
        } else if (engine.link().send(attempt)) {
            inFlight.timeout = timers.schedule(attemptDeadline, () -> giveUp(attempt, AttemptStatus.TIMEOUT));
        } else {
            timers.schedule(now, () -> finishAttempt(attempt, Attempt.Result.of(AttemptStatus.FULL)));
        }
    }

    @Override
    public void cancel(String id, int number) {
        OpenRequest open = requestsById.get(id);
        boolean isInFlight = open != null && number < open.attempts.size()
                && open.inFlight.contains(open.attempts.get(number));
        if (!isInFlight || open.detached && !open.answered) {
            return;
        }
        Attempt attempt = open.attempts.get(number);
        timers.schedule(now, () -> giveUp(attempt, AttemptStatus.CANCELLED));
    }

    @Override
    public void setAttemptOptions(String id, double memory, int priority) {
        OpenRequest open = requestsById.get(id);
        if (open == null || open.priority == priority) {
            return;
        }
        open.priority = priority;
        for (Attempt attempt : open.inFlight) {
            if (attemptsInFlight.get(attempt).engine != null) {
                attemptsInFlight.get(attempt).engine.link().setPriority(attempt, priority);
            }
        }
    }

    @Override
    public void refuse(String id, long retryAfter) {
        OpenRequest open = requestsById.get(id);
        if (open != null) {
            long advice = retryAfter > 0 ? Clock.fromModuleNanos(retryAfter) : limits.routing().retryAfter();
            answer(open, Answer.refused("refused: it would not be served in time", advice));
        }
    }

    @Override
    public void fail(String id) {
        OpenRequest open = requestsById.get(id);
        if (open != null) {
            answer(open,
                    Answer.failed(open.hasTimedOut() ? "no answer in time" : "the engines failed it", open.hasTimedOut()));
        }
    }

    @Override
    public void setTimer(long delay, long handle) {
        timers.schedule(now + Clock.fromModuleNanos(delay), () -> callModule(() -> control.onTimer(moduleNow(), handle)));
    }

    @Override
    public void probe(String engineId) {
        EngineRegistry.Entry engine = engines.get(engineId);
        if (engine == null) {
            return;
        }
        long sentAt = now;
        boolean accepted = engine.link().probe(report -> actor.put(() -> handleProbeResult(engineId, sentAt, report)));
        if (!accepted) {
            timers.schedule(now, () -> handleProbeResult(engineId, sentAt, null));
        }
    }

    private void handleProbeResult(String engineId, long sentAt, Map<String, Double> report) {
        if (report != null) {
            applyEvidence(engineId, Evidence.PROBE_ANSWERED);
        } else {
            membership.probeFailed(now, engineId);
        }
        callModule(() -> control.onProbeResult(moduleNow(), engineId, report != null, Clock.toModuleNanos(now - sentAt),
                LoadReport.of(report)));
    }

    @Override
    public void broadcast(byte[] message) {
        // The platform's protocol has no messages between workload managers, and the settings forbid them to the module.
    }

    @Override
    public void subscribe() {
        // The control feed is subscribed to from the start.
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    // ---- Engines ----

    private void applyListUpdate(boolean complete, List<ListedEngine> reported) {
        List<ListedEngine> entries = membership.applyUpdate(now, complete, reported);
        engines.update(now, complete, entries);
        offer(complete, entries);
        if (membership.takeUrgentChange()) {
            listStore.save(membership.view(now), true);
        }
    }

    private void applyStoredList(List<StoredEngine> storedEngines) {
        List<ListedEngine> offers = membership.restore(now, storedEngines);
        if (!offers.isEmpty()) {
            // Links are created from the list itself; only the decision module receives the offers.
            engines.update(now, false, storedEngines.stream().map(StoredEngine::engine).toList());
            offer(false, offers);
        }
    }

    /** Passes the offers for these engines to the decision module. */
    private void offer(boolean complete, List<ListedEngine> entries) {
        callModule(() -> control.onEngineList(moduleNow(), complete,
                entries.stream().map(membership::offerFor).map(Clock::toModuleEngine).toList()));
        hasEngineList = true;
        ready = firstFeedReadDone && !stopping;
    }

    private void applyEvidence(String engineId, Evidence evidence) {
        ListedEngine offer = membership.observe(now, engineId, evidence);
        if (offer != null) {
            offer(false, List.of(offer));
        }
    }

    /**
     * Applies what membership does without input: it passes changed offers to the decision module, sends due probes,
     * refuses requests that no engine can serve, and sets the timer for membership's next event.
     */
    private void updateMembership() {
        List<ListedEngine> offers = membership.advanceTime(now);
        if (!offers.isEmpty()) {
            offer(false, offers);
        }
        for (String id = membership.nextProbe(now); id != null; id = membership.nextProbe(now)) {
            probe(id);
        }
        long retryAfter = membership.retryAfter(now);
        if (retryAfter > 0) {
            refuseUnsent(retryAfter);
        }
        long nextEventAt = membership.nextEventAt(now);
        if (nextEventAt < membershipTimerAt || membershipTimerAt <= now) {
            membershipTimerAt = nextEventAt;
            if (nextEventAt < Long.MAX_VALUE) {
                timers.schedule(nextEventAt, () -> { });
            }
        }
    }

    /** Refuses the requests that still wait for an engine when none can be expected to become available. */
    private void refuseUnsent(long retryAfter) {
        for (OpenRequest open : List.copyOf(unanswered.values())) {
            if (open.attempts.isEmpty()) {
                answer(open, Answer.refused(NO_ENGINE_REASON, retryAfter));
                callModule(() -> control.onAbandoned(moduleNow(), open.id));
            }
        }
    }

    private void saveListPeriodically() {
        listStore.save(membership.view(now), false);
        timers.schedule(now + listStore.saveInterval(), this::saveListPeriodically);
    }
}
