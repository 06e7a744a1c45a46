package cairnline.routing;

import cairnline.control.Control;
import cairnline.control.ControlApi;
import cairnline.control.ControlApi.Actions;
import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.StatusUpdate;
import cairnline.control.ControlApi.StatusKind;
import cairnline.control.ControlApi.Outcome;
import cairnline.control.ControlApi.Settings;
import cairnline.membership.Evidence;
import cairnline.membership.Keeper;
import cairnline.membership.ListedEngine;
import cairnline.membership.Membership;
import cairnline.membership.Remembered;
import cairnline.membership.TrustSettings;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.BiFunction;

/**
 * The module's actor: owns the open requests, their attempts and all timers, tells the module what happens and
 * carries out what it asks. It knows no wire. What other threads call only leaves a letter.
 */
public final class Core implements Actor.Turns, Actions {
    private static final String STOPS = "this workload manager stops";
    private static final String NO_ENGINE = "no engine that is remembered can be reached";

    private final Limits limits;
    private final Settings settings;
    private final long seed;
    private final Consumer<String> log;
    private final Actor actor;
    private final Timers timers = new Timers();
    /** What the module is told once it has returned: it may not be called from within its own actions. */
    private final ArrayDeque<Runnable> afterwards = new ArrayDeque<>();
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final Map<Request, OpenRequest> byRequest = new IdentityHashMap<>();
    /** The same by the ids that clients gave. */
    private final Map<String, OpenRequest> byClientId = new HashMap<>();
    private final Map<Attempt, Out> out = new IdentityHashMap<>();
    private final EngineRegistry engines;
    private final Membership membership;
    private final Keeper keeper;
    private final RequestTrace trace;
    private long lookAt = Long.MAX_VALUE;
    private ControlApi control;
    private long now;
    private long taken;
    private boolean stopping;
    private boolean closed;
    private Runnable whenDone;
    /** Whether there is a list, and whether all was done to have the latest. */
    private boolean offered;
    private boolean asked = true;
    private volatile boolean ready;

    /** A core that keeps no list for its next start. */
    public Core(Settings settings, long seed, Limits limits, Clock clock, Consumer<String> log,
                BiFunction<ListedEngine, Core, EngineLink> links) {
        this(settings, seed, limits, clock, log, links,
                TrustSettings.usual(Clock.fromModule(settings.safetyRules().warmUpTime())), Keeper.NONE, RequestTrace.OFF);
    }

    /** A core that does not run yet; {@code links} opens the way to an engine, {@code keeper} is shown the list. */
    public Core(Settings settings, long seed, Limits limits, Clock clock, Consumer<String> log,
                BiFunction<ListedEngine, Core, EngineLink> links, TrustSettings trust, Keeper keeper,
                RequestTrace trace) {
        this.trace = trace;
        this.membership = new Membership(trust);
        this.keeper = keeper;
        this.settings = settings;
        this.seed = seed;
        this.limits = limits;
        this.log = log;
        this.engines = new EngineRegistry(engine -> links.apply(engine, this), limits.routing().drainGrace());
        int mailbox = limits.routing().mailbox();
        this.actor = new Actor("core", mailbox, mailbox, limits.routing().stackBytes(), clock, this);
    }

    /** An attempt that is out: whose it is, and where; null if its engine is not listed. */
    private record Out(OpenRequest owner, EngineRegistry.Entry engine) { }

    // ---- For other threads ----

    /** Starts the module and its thread. */
    public void start() {
        actor.start();
    }

    /** Whether the module is up and has had a list. */
    public boolean ready() {
        return ready;
    }

    /** Before the start: not ready until {@link #feedAsked}, even with a list. */
    public void awaitFeed() {
        asked = false;
    }

    /** What the control feed had to tell has been told, or it can't be asked now. */
    public void feedAsked() {
        actor.put(() -> {
            asked = true;
            ready = offered && !stopping;
        });
    }

    /** Takes a request; its front gets one answer unless it abandons it. */
    public void take(Request request) {
        actor.put(() -> taken(request));
    }

    /** Nobody waits for this request any more. */
    public void abandon(Request request) {
        request.interest().lose();
        actor.put(() -> abandoned(request));
    }

    /**
     * The client of this request sends nothing more but may still read: no further attempt begins, and what is out may
     * still end and be answered.
     */
    public void detach(Request request) {
        request.interest().detach();
        actor.put(() -> detached(request));
    }

    /** An attempt is over. */
    public void ended(Attempt attempt, Attempt.Result result) {
        actor.put(() -> end(attempt, result));
    }

    /** An attempt that is not over, with word of it. */
    public void noted(Attempt attempt, StatusKind kind, double amount) {
        actor.put(() -> {
            Out it = out.get(attempt);
            if (it != null) {
                tell(() -> control.onStatusUpdate(moduleNow(),
                        new StatusUpdate(it.owner.id, attempt.number(), attempt.engine(), kind, amount)));
            }
        });
    }

    /** The list has changed. */
    public void listed(boolean whole, List<ListedEngine> entries) {
        actor.put(() -> list(whole, entries));
    }

    /** The list of an earlier run, from disk; it counts until the feed tells. */
    public void remembered(List<Remembered> kept) {
        actor.put(() -> restore(kept));
    }

    /** Something was seen of an engine beside the ends of its attempts: on its connections, say. */
    public void witnessed(String engineId, Evidence evidence) {
        actor.put(() -> seen(engineId, evidence));
    }

    /** From now on not ready; {@code done} runs when nothing more is taken and all that was is answered. */
    public void stopping(Runnable done) {
        actor.put(() -> {
            stopping = true;
            ready = false;
            keeper.keep(membership.view(now), true);
            timers.at(now + limits.shutdown().taking(), () -> {
                closed = true;
                whenDone = done;
            });
            timers.at(now + limits.shutdown().answering(), this::answerAll);
        });
    }

    // ---- The loop ----

    @Override
    public void begin(long time) {
        now = time;
        if (control == null) {
            control = new Control(settings, seed, moduleNow(), this);
            if (keeper.every() < Long.MAX_VALUE) {
                timers.at(now + keeper.every(), this::keepAgain);
            }
        }
    }

    @Override
    public long end(long time) {
        Runnable task = timers.due(now);
        while (task != null) {
            task.run();
            task = timers.due(now);
        }
        lookAfterMembers();
        if (whenDone != null && byRequest.isEmpty()) {
            whenDone.run();
            whenDone = null;
        }
        return timers.next();
    }

    private long moduleNow() {
        return Clock.toModule(now);
    }

    /** One call to the module, and then what its actions led to. A fault in it must not end the program. */
    private void tell(Runnable call) {
        afterwards.addLast(call);
        if (afterwards.size() > 1) {
            return;
        }
        while (!afterwards.isEmpty()) {
            try {
                afterwards.peekFirst().run();
            } catch (RuntimeException e) {
                log.accept("the module failed: " + e + " at " + Arrays.toString(e.getStackTrace()));
            }
            afterwards.removeFirst();
        }
    }

    // ---- Requests ----

    private void taken(Request r) {
        long deadline = r.takenAt() + r.patience() - limits.routing().answerMargin();
        // While stopping, what comes once no more is taken must not keep the program from its end.
        String refusal = closed ? STOPS
                : open.size() >= limits.routing().openRequests() ? "too many open requests" : null;
        long comeBack = membership.comeBack(now);
        if (refusal != null || comeBack > 0) {
            Answer answer = refusal != null ? Answer.refused(refusal, limits.routing().retryAfter())
                    : Answer.refused(NO_ENGINE, comeBack);
            trace.step("answered", r, "", now, answer.kind() + " " + answer.reason());
            r.front().answer(r, answer);
            return;
        }
        OpenRequest namesake = byClientId.get(r.id());
        if (namesake != null && !r.asksTheSame(namesake.request)) {
            // Engines know requests by this id alone: they could answer one with the rows of the other.
            r.front().answer(r, Answer.failed("its id is that of another request that is open", false));
            return;
        }
        OpenRequest o = new OpenRequest("q" + taken++, r, deadline);
        open.put(o.id, o);
        byRequest.put(r, o);
        byClientId.put(r.id(), o);
        trace.step("taken", r, "", now, r.type());
        timers.at(deadline + limits.routing().answerMargin() / 2, () -> overdue(o));
        boolean ordered = r.order() != null;
        tell(() -> control.onRequest(moduleNow(), new ControlApi.Request(o.id, r.type(), "", ordered,
                ordered ? r.order() : 0, Clock.toModule(Math.max(1, deadline - now)), Clock.toModule(r.work()),
                r.memory(), r.tables(), false)));
    }

    private void abandoned(Request r) {
        OpenRequest o = byRequest.get(r);
        if (o == null) {
            return;
        }
        close(o);
        tell(() -> control.onAbandoned(moduleNow(), o.id));
        if (o.detached && settings.permissions().cancel()) {
            // The module has been told before, when what was out might still be answered.
            List.copyOf(o.out).forEach(attempt -> timers.at(now, () -> giveUp(attempt, AttemptStatus.CANCELLED)));
        }
    }

    private void detached(Request r) {
        OpenRequest o = byRequest.get(r);
        if (o == null) {
            return;
        }
        o.detached = true;
        if (o.out.isEmpty()) {
            answer(o, o.unserved("its client sends no more", limits.routing().retryAfter()));
        }
        tell(() -> control.onAbandoned(moduleNow(), o.id));
    }

    /** Answers all that is open: the process may be killed soon. */
    private void answerAll() {
        for (OpenRequest o : List.copyOf(byRequest.values())) {
            answer(o, o.unserved(STOPS, limits.routing().retryAfter()));
            tell(() -> control.onAbandoned(moduleNow(), o.id));
        }
    }

    /** Guards the rule of one answer in time, should the module have missed it. */
    private void overdue(OpenRequest o) {
        if (!o.answered) {
            answer(o, Answer.failed("no answer in time", true));
            tell(() -> control.onAbandoned(moduleNow(), o.id));
        }
    }

    private void answer(OpenRequest o, Answer answer) {
        if (!o.answered) {
            close(o);
            trace.step("answered", o.request, "", now, answer.kind() + " " + answer.reason());
            o.request.front().answer(o.request, answer);
        }
    }

    private void close(OpenRequest o) {
        o.answered = true;
        byRequest.remove(o.request);
        byClientId.remove(o.request.id(), o);
        o.out.forEach(Attempt::unwanted);
        forgetIfOver(o);
    }

    private void forgetIfOver(OpenRequest o) {
        if (o.answered && o.out.isEmpty()) {
            open.remove(o.id);
        }
    }

    // ---- Attempts ----

    /** The first end of an attempt counts; one that comes later, from its engine or its timer, finds nothing. */
    private void end(Attempt a, Attempt.Result result) {
        Out ended = out.remove(a);
        if (ended == null) {
            return;
        }
        OpenRequest o = ended.owner;
        o.ended(a, result.end());
        a.unwanted();
        trace.step("ended", o.request, a.engine(), now, a.number() + " " + result.end());
        if (ended.engine != null) {
            engines.attemptEnded(ended.engine);
        }
        if (result.end() == AttemptStatus.OK || result.end() == AttemptStatus.FULL || result.end() == AttemptStatus.ERROR) {
            seen(a.engine(), Evidence.WORK_SERVED);
        }
        if (result.end() == AttemptStatus.OK) {
            answer(o, Answer.served(result.rows()));
        }
        if (o.detached && o.out.isEmpty()) {
            answer(o, o.unserved("the engines failed it, and its client sends no more",
                    limits.routing().retryAfter()));
        }
        boolean last = o.answered;
        forgetIfOver(o);
        tell(() -> control.onOutcome(moduleNow(), new Outcome(o.id, a.number(), a.engine(), result.end(),
                Clock.toModule(now - a.sentAt()), last, Clock.toModule(result.work()), result.memory(), Load.NONE)));
    }

    /**
     * Ends an attempt from this side. The engine must be told: until then it counts as out, and a load that follows
     * it on its key would break the order.
     */
    private void giveUp(Attempt a, AttemptStatus how) {
        Out given = out.get(a);
        if (given != null) {
            given.engine.link().giveUp(a);
            end(a, Attempt.Result.of(how));
        }
    }

    @Override
    public void send(String id, String engineId, long timeout) {
        OpenRequest o = open.get(id);
        EngineRegistry.Entry engine = engines.get(engineId);
        if (o == null) {
            return;
        }
        long endsAt = timeout > 0 ? Math.min(o.deadline, now + Clock.fromModule(timeout)) : o.deadline;
        Attempt a = new Attempt(o.request, engineId, o.attempts.size(), now, endsAt, o.priority);
        o.attempts.add(a);
        o.out.add(a);
        if (engine != null) {
            engine.attemptBegan();
        }
        out.put(a, new Out(o, engine));
        trace.step("sent", o.request, engineId, now, Integer.toString(a.number()));
        if (o.answered || o.detached || engine == null || endsAt <= now) {
            timers.at(now, () -> end(a, Attempt.Result.of(AttemptStatus.NOT_SENT)));
        } else if (engine.link().send(a)) {
            timers.at(endsAt, () -> giveUp(a, AttemptStatus.TIMEOUT));
        } else {
            timers.at(now, () -> end(a, Attempt.Result.of(AttemptStatus.FULL)));
        }
    }

    @Override
    public void cancel(String id, int number) {
        OpenRequest o = open.get(id);
        boolean isOut = o != null && number < o.attempts.size() && o.out.contains(o.attempts.get(number));
        if (!isOut || o.detached && !o.answered) {
            return;
        }
        Attempt a = o.attempts.get(number);
        timers.at(now, () -> giveUp(a, AttemptStatus.CANCELLED));
    }

    @Override
    public void setAttemptOptions(String id, double memory, int priority) {
        OpenRequest o = open.get(id);
        if (o == null || o.priority == priority) {
            return;
        }
        o.priority = priority;
        for (Attempt a : o.out) {
            if (out.get(a).engine != null) {
                out.get(a).engine.link().prioritise(a, priority);
            }
        }
    }

    @Override
    public void refuse(String id, long retryAfter) {
        OpenRequest o = open.get(id);
        if (o != null) {
            long wait = retryAfter > 0 ? Clock.fromModule(retryAfter) : limits.routing().retryAfter();
            answer(o, Answer.refused("refused: it would not be served in time", wait));
        }
    }

    @Override
    public void fail(String id) {
        OpenRequest o = open.get(id);
        if (o != null) {
            answer(o, Answer.failed(o.hasTimedOut() ? "no answer in time" : "the engines failed it", o.hasTimedOut()));
        }
    }

    @Override
    public void setTimer(long delay, long handle) {
        timers.at(now + Clock.fromModule(delay), () -> tell(() -> control.onTimer(moduleNow(), handle)));
    }

    @Override
    public void probe(String engineId) {
        EngineRegistry.Entry engine = engines.get(engineId);
        if (engine == null) {
            return;
        }
        long askedAt = now;
        boolean left = engine.link().probe(report -> actor.put(() -> probed(engineId, askedAt, report)));
        if (!left) {
            timers.at(now, () -> probed(engineId, askedAt, null));
        }
    }

    private void probed(String engineId, long askedAt, Map<String, Double> report) {
        if (report != null) {
            seen(engineId, Evidence.PROBE_ANSWERED);
        } else {
            membership.probeEnded(now, engineId);
        }
        tell(() -> control.onProbeResult(moduleNow(), engineId, report != null, Clock.toModule(now - askedAt),
                LoadReport.of(report)));
    }

    @Override
    public void broadcast(byte[] message) {
        // Workload managers share nothing on this wire, and the settings forbid it to the module.
    }

    @Override
    public void subscribe() {
        // The control feed is followed from the start.
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    // ---- Engines ----

    private void list(boolean whole, List<ListedEngine> told) {
        List<ListedEngine> entries = membership.told(now, whole, told);
        engines.update(now, whole, entries);
        offer(whole, entries);
        if (membership.takeUrgent()) {
            keeper.keep(membership.view(now), true);
        }
    }

    private void restore(List<Remembered> kept) {
        List<ListedEngine> offers = membership.restore(now, kept);
        if (!offers.isEmpty()) {
            // The links go by the list; what may be offered on them is told to the module alone.
            engines.update(now, false, kept.stream().map(Remembered::engine).toList());
            offer(false, offers);
        }
    }

    /** Tells the module of these engines as membership lets them be offered. */
    private void offer(boolean whole, List<ListedEngine> entries) {
        tell(() -> control.onEngineList(moduleNow(), whole,
                entries.stream().map(membership::offer).map(Clock::toModule).toList()));
        offered = true;
        ready = asked && !stopping;
    }

    private void seen(String engineId, Evidence evidence) {
        ListedEngine offer = membership.seen(now, engineId, evidence);
        if (offer != null) {
            offer(false, List.of(offer));
        }
    }

    /** What membership does by itself; what it then has to say to the module is said in its own turn. */
    private void lookAfterMembers() {
        List<ListedEngine> offers = membership.turn(now);
        if (!offers.isEmpty()) {
            offer(false, offers);
        }
        for (String id = membership.probe(now); id != null; id = membership.probe(now)) {
            probe(id);
        }
        long comeBack = membership.comeBack(now);
        if (comeBack > 0) {
            refuseUnsent(comeBack);
        }
        long due = membership.due(now);
        if (due < lookAt || lookAt <= now) {
            lookAt = due;
            if (due < Long.MAX_VALUE) {
                timers.at(due, () -> { });
            }
        }
    }

    /** What waits for an engine when there is none left to hope for has its answer at once. */
    private void refuseUnsent(long comeBack) {
        for (OpenRequest o : List.copyOf(byRequest.values())) {
            if (o.attempts.isEmpty()) {
                answer(o, Answer.refused(NO_ENGINE, comeBack));
                tell(() -> control.onAbandoned(moduleNow(), o.id));
            }
        }
    }

    private void keepAgain() {
        keeper.keep(membership.view(now), false);
        timers.at(now + keeper.every(), this::keepAgain);
    }
}
