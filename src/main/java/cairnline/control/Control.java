package cairnline.control;

import cairnline.control.Query.Attempt;
import cairnline.control.Query.KeyQueue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The decisions of one front. The types, events and actions are in {@link ControlApi} (ControlApi.java).
 *
 * <p>Reading order: the constants; the rules ({@link #maySend} and {@link #close}); the ordinary path
 * ({@link #decide}, {@link #choose}, {@link #predict}, {@link #payoff}, {@link #starts}); held queries
 * ({@link #release}); what is learnt ({@link #outcome}, {@link #learn}, {@link #judge}); lists and state.
 */
public final class Control implements ControlApi {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** Longest time between looks at held queries while nothing is heard; short against any aim. */
    private static final long SWEEP = 50 * MS;
    /** Answer this long before the client's time is up, so that the answer is not overdue. */
    private static final long ANSWER_MARGIN = 30 * MS;
    /** Keyed repeats stop this long before the window ends: the request still travels. */
    private static final long WINDOW_MARGIN = 250 * MS;
    /** Events this near the edge of the ration's window count as inside or out, whichever is stricter. */
    private static final long EDGE = 20 * MS;
    /** Weight of the newest delay in t, by ratio: one query's size must not speak for an engine. */
    private static final double DELAY_GAIN = 0.1;
    /** The mark's floor and step a second; it falls while light classes' load ratio is above the last. */
    private static final double MARK_LEAST = 1.2, MARK_STEP = 0.3, MARK_RHO = 2.5;
    /** The start chance falls from 1 at the mark to 0 at the mark plus this share of it. */
    private static final double MARK_FALL = 0.5;
    /** Engines that all fronts together look at while one chooses, and the least that each does. */
    private static final int SAMPLE_ALL = 40, SAMPLE_LEAST = 2;
    /** Samples that a query looks through while there is no room at the engines of its group of tables. */
    private static final int SPILL_SAMPLES = 3;
    /** Periods of notes after which an attempt counts as silent; one and a half pass where all is well. */
    private static final double SILENT_NOTES = 1.6;
    /** Engines at which a request fails before it is taken to be at fault itself. */
    private static final int ERRORS_MOST = 3;
    /** Time between looks at which engines are to be probed. */
    private static final long PROBE_TICK = 50 * MS;
    /** Odds from which an engine may not be there any more. */
    private static final double LOST_ODDS = 0.5;
    /** Part of the rule's multiple that all fronts send a cold engine; two draws at once leave a fifth. */
    private static final double COLD_FILL = 0.4;
    /** A query above this part of what a cold engine can do in a window waits until the engine is warmer. */
    private static final double COLD_LARGEST = 0.3;
    /** Unless with it all that all fronts send in a window is within this part of the rule's multiple. */
    private static final double COLD_TOGETHER = 0.5;
    private static final int PRIORITY_LIGHT = 3, PRIORITY_HOLDER = 2, PRIORITY_USUAL = 1;
    /** What a note foretells of an attempt's delay, in answers: shares done are rough. */
    private static final double NOTE_WORTH = 0.5;
    /** A query that spills by then is sent again. */
    private static final long SPILL_EARLY = 100 * MS;
    /** Prediction on an engine where a load holds the group of tables. */
    private static final double HELD_FACTOR = 3;
    /** An attempt this many times slower than predicted has a bad plan or a bad engine. */
    private static final double RUNAWAY = 3;
    /** Shares done are rough: below the first they are taken as it, past the second nothing is called off. */
    private static final double PROGRESS_LEAST = 0.01;
    private static final double DONE_ENOUGH = 0.6;
    /** The paper's marginal cost: worth of a full engine's time to others, as a share of the class's. */
    private static final double PRICE = 1;
    /** A query over this many times its class's usual work pays for a full engine's time, by the excess. */
    private static final double DEAR_SIZE = 1;
    /** A tenant is over its share past this multiple of it in the window; counts there are small. */
    private static final double OVER_SHARE = 1.6;
    private static final long SHARE_WINDOW = 3 * SECOND;
    /** Time between looks at how warm engines are; they take a hundred times as long to become so. */
    private static final long COUNT_EVERY = 100 * MS;
    private static final long TIMER_SWEEP = 1, TIMER_PROBE = 2;

    private final Settings settings;
    private final Actions out;
    private final SplittableRandom random;
    private final Map<String, FleetLoad> fleets = new HashMap<>();
    private final long bornAt;
    private final ProbeBudget probes;
    /** Engines looked at for a query: fronts that all take the best of all take the same, and so jam it. */
    private final int sample;
    private final Map<String, RequestClass> kinds = new LinkedHashMap<>();
    private final Map<String, EngineEstimate> hosts = new LinkedHashMap<>();
    /** The same engines; each choice moves those that it looks at to the front. */
    private final List<EngineEstimate> ranked = new ArrayList<>();
    private final Map<String, Query> queries = new HashMap<>();
    private final Map<Long, KeyQueue> lines = new LinkedHashMap<>();
    private final TreeSet<Query> unsent = new TreeSet<>(Query.BY_EXPIRY);
    private final SlidingWindow taken = new SlidingWindow(), extra = new SlidingWindow();
    private final Map<String, Double> shares = new HashMap<>();
    private final SlidingWindow allAsked = new SlidingWindow();
    private final Map<String, SlidingWindow> asked = new HashMap<>();
    private final Set<Attempt> sent = new LinkedHashSet<>();
    private long now, sequence, markedAt, awakeAt, countedAt;
    private long wakeAt = Long.MAX_VALUE;
    private double mark = EngineEstimate.MARK;
    private final EngineHealth.Usual usual = new EngineHealth.Usual();

    /** Starts a front's decisions; {@code seed} feeds all random draws. */
    public Control(Settings settings, long seed, long now, Actions out) {
        this.settings = settings;
        this.out = out;
        this.random = new SplittableRandom(seed);
        this.bornAt = now;
        this.sample = Math.max(SAMPLE_LEAST, (int) Math.round((double) SAMPLE_ALL / settings.frontCount()));
        this.probes = new ProbeBudget(settings.probeCost(), now, random.split());
        this.now = now;
        for (RequestClassSettings type : settings.requestClasses()) {
            kinds.put(type.name(), new RequestClass(type, kinds.size()));
        }
        settings.tenants().forEach(tenant -> shares.put(tenant.name(), tenant.share()));
        if (settings.subscriptionRequired()) {
            out.subscribe();
        }
        if (settings.permissions().probes()) {
            out.setTimer(PROBE_TICK, TIMER_PROBE);
        }
    }

    // ---- The rules: every send passes here, every request is closed here ----

    /** The one guard of every send. */
    private boolean maySend(Query q, EngineEstimate h) {
        return !q.closed && h.listed == EngineStatus.READY && placed(q.kin.type, h) && attemptAllowed(q)
                && keyTurn(q) && repeatAllowed(q, h) && coldRoom(h, coldWeight(q));
    }

    private static boolean placed(RequestClassSettings type, EngineEstimate h) {
        return (type.zones().isEmpty() || type.zones().contains(h.zone))
                && (type.machineTypes().isEmpty() || type.machineTypes().contains(h.kind));
    }

    private boolean attemptAllowed(Query q) {
        return q.attempts.size() < settings.permissions().maxAttempts()
                && (q.attemptsOut == 0 || settings.permissions().concurrentAttempts())
                && (q.attempts.isEmpty() || rationLeft());
    }

    /** Both edges of the window are taken against this front, wherever they are counted. */
    private boolean rationLeft() {
        SafetyRules rules = settings.safetyRules();
        long since = now - rules.retryWindow();
        return rules.retryAllowance() < 0 || extra.since(since - EDGE) + 1
                <= rules.retryAllowance() + rules.retriesPerRequest() * taken.since(since + EDGE);
    }

    private boolean keyTurn(Query q) {
        return q.line == null || !q.attempts.isEmpty()
                || q.line.waiting.peekFirst() == q && q.line.attemptsOut == 0 && now >= q.line.restUntil;
    }

    /** A request that may have run is repeated only as its class permits. */
    private boolean repeatAllowed(Query q, EngineEstimate h) {
        if (q.firstDoubt == null || q.kin.type.retrySafety() == RetrySafety.SAFE) {
            return true;
        }
        return q.kin.type.retrySafety() == RetrySafety.KEYED && q.firstDoubt.sharesKeys(h, q.kin.type.deduplicationScope())
                && now < q.firstDoubtAt + q.kin.type.deduplicationWindow() - WINDOW_MARGIN;
    }

    /**
     * Keeps a just-started engine from falling over: this front's part of what the engine can do, in every
     * window, in whole queries: the last one fits by a chance drawn anew for each window, so that many fronts
     * send their part in the mean, and stay under the rule's multiple even if all use two draws at once.
     * A front that has just started does not know what it sent before, and waits one window.
     */
    private boolean coldRoom(EngineEstimate h, double weight) {
        SafetyRules rules = settings.safetyRules();
        long age = now - h.coldSince;
        if (h.coldSince == 0 || age >= rules.warmUpTime()) {
            return true;
        }
        if (h.coldSince < bornAt && now < bornAt + rules.overloadWindow()) {
            return false;
        }
        if (now >= h.drawnUntil) {
            h.drawnUntil = now + (long) (rules.overloadWindow() * (h.drawnUntil == 0 ? random.nextDouble() : 1));
            h.draw = random.nextDouble();
        }
        double whole = Math.min(1, COLD_FILL * rules.overloadMultiple()) * h.warmth(rules, now) * h.cores
                * rules.overloadWindow();
        double part = whole / settings.frontCount();
        double spent = h.coldSends.since(now - rules.overloadWindow());
        return weight <= COLD_LARGEST * whole ? spent + h.draw * weight <= part
                : h.draw * weight <= part && spent + weight <= COLD_TOGETHER * rules.overloadMultiple() * part;
    }

    /** An estimate counts only upwards: too low a one would send too much. */
    private static double coldWeight(Query q) {
        return Math.max(q.kin.usualWork(), q.size * q.kin.meanWork);
    }

    /** Gives the one final answer; after it nothing is sent for the request. */
    private void close(Query q, boolean refuse) {
        if (q.closed) {
            return;
        }
        boolean harmless = q.firstDoubt == null || q.kin.type.retrySafety() == RetrySafety.SAFE
                || q.kin.type.retrySafety() == RetrySafety.KEYED && q.kin.type.deduplicationScope() == DeduplicationScope.ALL;
        if (refuse && harmless) {
            Permissions may = settings.permissions();
            out.refuse(q.id, may.retryAfter() ? Math.min(may.maxRetryAfter(), (long) q.kin.usualDelay()) : 0);
        } else {
            out.fail(q.id);
        }
        finish(q);
    }

    /** Ends a request whose client has its answer or has left. */
    private void finish(Query q) {
        q.closed = true;
        unsent.remove(q);
        q.kin.held.remove(q);
        for (Attempt a : q.attempts) {
            if (a.live && settings.permissions().cancel()) {
                out.cancel(q.id, a.number);
            }
        }
        if (q.attemptsOut == 0) {
            queries.remove(q.id);
        }
        if (q.line != null) {
            q.line.waiting.remove(q);
            advance(q.line);
        }
    }

    // ---- The ordinary path ----

    @Override
    public void onRequest(long time, Request r) {
        tick(time);
        if (queries.containsKey(r.id())) {
            throw new IllegalArgumentException("request " + r.id() + " is already open");
        }
        RequestClass kin = kinds.get(r.requestClass());
        if (kin == null) {
            throw new IllegalArgumentException("request " + r.id() + " is of unknown class " + r.requestClass());
        }
        double work = kin.workOf(r);
        Query q = new Query(r, kin, now, sequence++, work, kin.sizeOf(work), waited(r, kin));
        kin.asked++;
        probes.asked(now);
        kin.patience = Math.max(kin.patience, r.timeout());
        q.overShare = overShare(r.tenant());
        queries.put(q.id, q);
        if (settings.safetyRules().retryAllowance() >= 0) {
            taken.add(now, 1);
        }
        unsent.add(q);
        if (kin.type.serialByKey() && r.hasKey()) {
            q.line = lines.computeIfAbsent(r.key(), KeyQueue::new);
            q.line.waiting.addLast(q);
        }
        if (keyTurn(q)) {
            decide(q, true);
        }
        if (q.attempts.isEmpty() && now > q.deadline - ANSWER_MARGIN) {
            close(q, true);
        }
        arm();
    }

    /** How long the client of a repeat has waited at least: it gives less time once little is left. */
    private static long waited(Request r, RequestClass kin) {
        return r.retry() && r.timeout() < kin.patience - ANSWER_MARGIN
                ? Math.max(0, kin.type.deadline() - r.timeout()) : 0;
    }

    /** Classes that are cheaper than the mean query go first on short cores: they delay others least. */
    private boolean light(RequestClass kin) {
        double work = 0, asked = 0;
        for (RequestClass each : kinds.values()) {
            work += each.asked * each.meanWork;
            asked += each.asked;
        }
        return !kin.type.locksTables() && kin.meanWork * asked < work;
    }

    /** Loads go before others only where these wait for them: else they take the time of what earns more. */
    private int priority(RequestClass kin) {
        boolean awaited = kin.type.locksTables() && settings.requestClasses().stream().anyMatch(RequestClassSettings::waitsForTableLock);
        return awaited ? PRIORITY_HOLDER : light(kin) ? PRIORITY_LIGHT : PRIORITY_USUAL;
    }

    /** Counts a tenant's request; tells whether its part of this front's traffic is well past its share. */
    private boolean overShare(String tenant) {
        allAsked.add(now, 1);
        SlidingWindow its = asked.computeIfAbsent(tenant, name -> new SlidingWindow());
        its.add(now, 1);
        long since = now - SHARE_WINDOW;
        return its.since(since) > OVER_SHARE * shares.getOrDefault(tenant, 1.0) * allAsked.since(since);
    }

    /** Sends a request, refuses it or holds it behind those of its class; false if it waits. */
    private boolean decide(Query q, boolean mayWait) {
        boolean behind = mayWait && !q.kin.held.isEmpty() && !q.kin.held.contains(q);
        Choice choice = choose(q);
        double prediction = choice == null ? q.kin.meanMin * RequestClass.SIZE_LEAST
                : choice.prediction + (behind ? q.kin.wait : 0);
        if (choice == null && !mayWait || payoff(q, prediction, choice != null && choice.full) < 0) {
            close(q, true);
        } else if (choice == null || behind || mayWait && !starts(q, choice.host)) {
            unsent.add(q);
            q.kin.held.add(q);
            arm();
            return false;
        } else {
            send(q, choice);
        }
        return true;
    }

    /** An engine and the delay predicted there. */
    private record Choice(EngineEstimate host, double prediction, boolean full) { }

    /** The eligible engine with the lowest prediction, under the mark before others; null if none. */
    private Choice choose(Query q) {
        Choice best = best(q, false);
        return best != null ? best : best(q, true);
    }

    private Choice best(Query q, boolean evenSick) {
        q.kin.survey(hosts.values(), now);
        Choice best = null;
        double least = 0;
        boolean roomy = false;
        int most = q.tables < 0 || q.kin.type.locksTables() ? sample : sample * SPILL_SAMPLES;
        for (int i = 0, seen = 0; i < ranked.size() && (seen < sample || !roomy && seen < most); i++) {
            Collections.swap(ranked, i, next(q, i));
            EngineEstimate h = ranked.get(i);
            if (!evenSick && (h == q.avoid || h.health.odds(now) > 1) || !maySend(q, h)) {
                continue;
            }
            seen++;
            double prediction = predict(q, h);
            double rank = prediction * (1 + h.health.odds(now));
            boolean room = h.fill(q.kin.type.threads(), now, mark) <= 1;
            if (best == null || (room == roomy ? rank < least : room)) {
                least = rank;
                best = new Choice(h, prediction, !room);
                roomy = room;
            }
        }
        return best;
    }

    /** The engine to look at next, among those from there on: by its group of tables where that is known. */
    private int next(Query q, int from) {
        int drawn = from + random.nextInt(ranked.size() - from);
        if (q.tables < 0) {
            return drawn;
        } else if (q.kin.type.locksTables()) {
            // Loads of a group stand behind each other too: they are spread, only not where its queries meet.
            int other = from + random.nextInt(ranked.size() - from);
            return Placement.before(ranked.get(drawn).seed, ranked.get(other).seed, q.tables) ? other : drawn;
        }
        return sample > SAMPLE_LEAST ? Placement.first(ranked, from, q.tables)
                : Placement.drawn(ranked, from, drawn, q.tables, random);
    }

    /** The paper's prediction, for this query's size, at this engine's crowd. */
    private double predict(Query q, EngineEstimate h) {
        Predictor p = h.predictors.get(q.kin.index);
        double crowd = h.crowd(q.kin.type.threads(), now);
        double others = q.kin.usualDelay() * h.pace.factor(now) * crowd / q.kin.meanCrowd;
        double own = p.t > 0 ? p.predict(now, q.kin.rho, crowd, q.kin.meanCrowd) : others;
        double base = others * StrictMath.pow(own / others, p.trust(now));
        boolean waits = q.kin.type.locksTables() || q.kin.type.waitsForTableLock();
        return base * q.size * (waits && h.holding.containsKey(q.tables) ? HELD_FACTOR : 1);
    }

    /** Expected payoff of sending over refusing: Phi((T - prediction) / sigma), less the price when full. */
    private double payoff(Query q, double prediction, boolean full) {
        double left = Math.min(q.aimAt, q.deadline) - now - prediction;
        double onTime = Gaussian.phi(left / Math.max(1, StrictMath.sqrt(q.kin.errorSquare)));
        RequestClassSettings type = q.kin.type;
        double earned = onTime + (1 - onTime) * (type.lateWorth() - 1);
        double price = full ? PRICE * (q.overShare ? 1 : Math.max(0, q.size / DEAR_SIZE - 1)) : 0;
        return type.worth() * ((q.overShare ? settings.overShareWorth() : 1) * earned - price);
    }

    /** Under the mark: start; above it by a chance that falls with the excess. */
    private boolean starts(Query q, EngineEstimate h) {
        double over = h.fill(q.kin.type.threads(), now, mark) - 1;
        return over <= 0 || random.nextDouble() >= over / MARK_FALL;
    }

    private void send(Query q, Choice choice) {
        EngineEstimate h = choice.host;
        unsent.remove(q);
        q.kin.held.remove(q);
        if (!q.attempts.isEmpty()) {
            if (settings.safetyRules().retryAllowance() >= 0) {
                extra.add(now, 1);
            }
        } else {
            q.kin.wait += RequestClass.CLASS_GAIN * (now - q.arrivedAt - q.kin.wait);
        }
        Attempt a = new Attempt(q, h, q.attempts.size(), now, choice.prediction);
        q.attempts.add(a);
        sent.add(a);
        q.attemptsOut++;
        if (q.line != null) {
            q.line.attemptsOut++;
        }
        h.book(a, 1);
        if (h.coldSince > 0 && now < h.coldSince + settings.safetyRules().warmUpTime()) {
            h.coldSends.add(now, coldWeight(q));
        }
        Permissions may = settings.permissions();
        a.granted = !may.memoryGrants() ? 0 : q.memory * q.kin.memoryRatio;
        int priority = priority(q.kin);
        if (may.priority() && priority != PRIORITY_USUAL || a.granted > 0) {
            out.setAttemptOptions(q.id, a.granted, priority);
        }
        out.send(q.id, h.id, timeOut(q));
        arm();
    }

    /**
     * Where a late answer earns nothing, work ends when it is late even if the query needs twice what was
     * told. Could harm where queries cost far more, or where repeats can't be told from first tries.
     */
    private long timeOut(Query q) {
        RequestClassSettings type = q.kin.type;
        boolean worthless = type.retrySafety() == RetrySafety.SAFE && type.lateWorth() <= 0;
        long left = 2 * q.aimAt - q.askedAt - type.latencyTarget() - now;
        return settings.permissions().cancel() && settings.clientsMarkRetries() && worthless
                && now + left < q.deadline - ANSWER_MARGIN ? Math.max(MS, left) : 0;
    }

    /** Whether an attempt may be given up for another one. */
    private boolean mayGiveUp(Query q) {
        return !q.closed && q.kin.type.retrySafety() != RetrySafety.UNSAFE && settings.permissions().cancel()
                && q.attempts.size() < settings.permissions().maxAttempts() && rationLeft();
    }

    // ---- Held queries ----

    /** Sends held queries, earliest deadline first, while there is room; refuses those too late. */
    private void release() {
        while (!unsent.isEmpty() && now >= unsent.first().deadline - ANSWER_MARGIN) {
            close(unsent.first(), true);
        }
        TreeSet<Query> heads = new TreeSet<>(Query.BY_DEADLINE);
        for (RequestClass kin : kinds.values()) {
            kin.held.stream().limit(1).forEach(heads::add);
        }
        while (!heads.isEmpty()) {
            Query q = heads.pollFirst();
            if (decide(q, true) && !q.kin.held.isEmpty()) {
                heads.add(q.kin.held.first());
            }
        }
    }

    private void arm() {
        if (unsent.isEmpty() && (sent.isEmpty() || settings.statusUpdateInterval() == 0)) {
            return;
        }
        long due = unsent.isEmpty() ? now + settings.statusUpdateInterval() / 2
                : Math.max(now + 1, Math.min(now + SWEEP, unsent.first().deadline - ANSWER_MARGIN));
        if (due < wakeAt) {
            wakeAt = due;
            out.setTimer(due - now, TIMER_SWEEP);
        }
    }

    @Override
    public void onTimer(long time, long handle) {
        tick(time);
        if (handle == TIMER_PROBE) {
            probe();
        } else if (handle == TIMER_SWEEP && now >= wakeAt) {
            awakeAt = now > wakeAt + SWEEP ? now : awakeAt;
            wakeAt = Long.MAX_VALUE;
            new ArrayList<>(sent).forEach(this::watch);
            double least = RequestClass.SIZE_LEAST;
            new ArrayList<>(unsent).stream().filter(q -> payoff(q, q.kin.meanMin * least, false) < 0)
                    .forEach(q -> close(q, true));
            new ArrayList<>(lines.values()).forEach(this::advance);
            release();
            arm();
        }
    }

    /**
     * An attempt whose notes stay away, while this front did not stand still, has a sick engine or a lost
     * answer, and is tried elsewhere where its class allows. Could harm where notes get lost, answers not.
     */
    private void watch(Attempt a) {
        double silence = now - Math.max(a.heardAt, awakeAt);
        if (settings.statusUpdateInterval() > 0 && silence > SILENT_NOTES * settings.statusUpdateInterval()) {
            a.heardAt = now;
            a.host.health.lost(now);
            if (mayGiveUp(a.query)) {
                out.cancel(a.query.id, a.number);
            }
        }
    }

    /** Lets the first request of a key go when its turn has come. */
    private void advance(KeyQueue line) {
        if (line.waiting.isEmpty()) {
            if (line.attemptsOut == 0 && now >= line.restUntil) {
                lines.remove(line.key);
            }
            return;
        }
        Query q = line.waiting.peekFirst();
        if (q.attempts.isEmpty() && keyTurn(q) && !q.kin.held.contains(q)) {
            decide(q, true);
        }
        arm();
    }

    // ---- What comes back ----

    @Override
    public void onOutcome(long time, Outcome o) {
        tick(time);
        Attempt a = attempt(o.id(), o.attempt());
        if (a == null) {
            return;
        }
        Query q = a.query;
        settle(a, o);
        learn(a, o);
        if (o.last() && !q.closed) {
            finish(q);
        } else if (!q.closed && q.attemptsOut == 0) {
            tryAgain(q, a);
        }
        if (q.closed && q.attemptsOut == 0) {
            queries.remove(q.id);
        }
        if (q.line != null) {
            advance(q.line);
        }
        release();
    }

    /** Books an attempt off. */
    private void settle(Attempt a, Outcome o) {
        Query q = a.query;
        a.live = false;
        sent.remove(a);
        q.attemptsOut--;
        a.host.book(a, -1);
        if (!o.status().neverRan && q.firstDoubt == null) {
            q.firstDoubt = a.host;
            q.firstDoubtAt = a.sentAt;
        }
        if (q.line != null) {
            q.line.attemptsOut--;
            if (o.status() == AttemptStatus.TIMEOUT || o.status() == AttemptStatus.RESET || o.status() == AttemptStatus.CANCELLED) {
                q.line.restUntil = now + settings.safetyRules().keyCooldown();
            }
        }
    }

    /** A further attempt where it is allowed and pays, now or when there is room; else the final answer. */
    private void tryAgain(Query q, Attempt failed) {
        q.avoid = failed.spilt ? null : failed.host;
        if (now >= q.deadline - ANSWER_MARGIN || q.errors >= ERRORS_MOST) {
            close(q, false);
            return;
        }
        decide(q, attemptAllowed(q) && (q.firstDoubt == null || q.kin.type.retrySafety() == RetrySafety.SAFE));
    }

    /** Only successes teach delays; every outcome speaks of health. */
    private void learn(Attempt a, Outcome o) {
        EngineEstimate h = a.host;
        h.report(o.load(), o.status() == AttemptStatus.FULL || o.status() == AttemptStatus.TIMEOUT && a.endsAt > now, now);
        judge(a, o.status());
        if (o.status() != AttemptStatus.OK) {
            return;
        }
        RequestClass kin = a.query.kin;
        if (a.granted > 0 && !a.spilt) {
            kin.learnMemory(false);
        }
        double size = a.query.size;
        if (o.work() > 0) {
            size = kin.sizeOf(o.work());
            kin.learnWork(o.work(), a.query.toldWork);
        } else {
            double told = a.query.toldWork;
            kin.learnWork(told > 0 ? told : o.rtt() * (double) kin.type.threads() / kin.rho, 0);
        }
        double error = o.rtt() - a.prediction;
        kin.errorSquare += RequestClass.CLASS_GAIN * (error * error - kin.errorSquare);
        moveMark(kin);
        double crowd = h.crowd(kin.type.threads(), now);
        Predictor p = h.predictors.get(kin.index);
        kin.usual = smooth(kin.usual, Math.max(1, o.rtt() / size));
        h.pace.hear(o.rtt() / size / kin.usual * kin.meanCrowd / crowd, 1, now);
        p.learn(o.rtt() / size, now, crowd, kin);
        kin.ratio = smooth(kin.ratio, Math.min(RequestClass.RHO_MAX, Math.max(1, o.rtt() / size / p.tMin)));
    }

    /** Moves a mean toward a new value by ratio; the first value stands as it is. */
    static double smooth(double mean, double value) {
        return mean == 0 ? value : mean * StrictMath.pow(value / mean, DELAY_GAIN);
    }

    /**
     * The mark falls while light queries stay slow though they go first on short cores: engines are then past
     * the level up to which they do more. Could harm where another cause slows them; hence the floor.
     */
    private void moveMark(RequestClass kin) {
        if (light(kin)) {
            double step = MARK_STEP * Math.min(1, (double) (now - markedAt) / SECOND);
            markedAt = now;
            double moved = mark * (kin.rho > MARK_RHO ? 1 - step : 1 + step);
            mark = Math.max(MARK_LEAST, Math.min(EngineEstimate.MARK, moved));
        }
    }

    /**
     * An error counts against its engine once another one has served the request: what no engine can use says
     * nothing of them. Could harm where all engines fail: then none is told apart.
     */
    private void judge(Attempt a, AttemptStatus end) {
        EngineEstimate h = a.host;
        Query q = a.query;
        if (end == AttemptStatus.ERROR) {
            h.health.answered();
            q.errors++;
            q.failedBy = q.failedBy == null ? h : q.failedBy;
        } else if (end == AttemptStatus.OK) {
            h.health.served(usual, now);
            if (q.failedBy != null && q.failedBy != h) {
                q.failedBy.health.failed(usual, now);
            }
        } else if (end == AttemptStatus.CONNECT_FAILED || end == AttemptStatus.RESET
                || end == AttemptStatus.TIMEOUT && settings.statusUpdateInterval() == 0) {
            h.health.lost(now);
        }
    }

    /** Asks engines for their load as often as that pays, and whether one that may be lost is there. */
    private void probe() {
        for (EngineEstimate h : hosts.values()) {
            boolean lost = h.health.odds(now) > LOST_ODDS;
            if (lost && h.lostProbes == 0) {
                h.lostProbes = 1;
                h.probeAt = Math.min(h.probeAt, probes.next(now, hosts.size(), 1));
            }
            if (h.listed == EngineStatus.READY && now >= h.probeAt) {
                h.lostProbes = lost ? h.lostProbes + 1 : 0;
                h.probeAt = probes.next(now, hosts.size(), h.lostProbes);
                out.probe(h.id);
            }
        }
        out.setTimer(PROBE_TICK, TIMER_PROBE);
    }

    @Override
    public void onProbeResult(long time, String engine, boolean ok, long rtt, Load load) {
        tick(time);
        EngineEstimate h = hosts.get(engine);
        if (h != null && ok) {
            h.health.answered();
            h.report(load, false, now);
        }
    }

    @Override
    public void onStatusUpdate(long time, StatusUpdate n) {
        tick(time);
        Attempt a = attempt(n.id(), n.attempt());
        if (a == null) {
            return;
        }
        long since = now - a.heardAt;
        a.heardAt = now;
        if (n.kind() == StatusKind.SPILL) {
            spill(a, n.amount());
        } else if (n.kind() != StatusKind.PROGRESS) {
            stand(a, n.kind(), since);
        } else {
            a.stands &= n.amount() <= a.done;
            a.stood += a.stands ? since : 0;
            a.done = n.amount();
            RequestClass kin = a.query.kin;
            double whole = a.stood + (now - a.sentAt - a.stood) / Math.max(n.amount(), PROGRESS_LEAST);
            a.endsAt = a.sentAt + (long) whole;
            if (kin.usual > 0) {
                a.host.pace.hear(whole / a.query.size / kin.usual, NOTE_WORTH, now);
            }
            if (light(kin) && whole > RUNAWAY * kin.usualDelay() * a.query.size) {
                a.host.report(Load.NONE, true, now);
            }
            stopLost(a.query, a, n.amount(), whole);
        }
    }

    /**
     * The first spill of a query soon after its start sends it again with what it lacked: little is lost, and
     * it would do its work several times over. Could harm where memory is short.
     */
    private void spill(Attempt a, double missing) {
        Query q = a.query;
        if (a.granted > 0 && !a.spilt) {
            a.spilt = true;
            q.kin.learnMemory(true);
            if (a.number == 0 && now - a.sentAt < SPILL_EARLY && mayGiveUp(q)) {
                q.memory = (a.granted + missing) / q.kin.memoryRatio;
                out.cancel(q.id, a.number);
            }
        }
    }

    /**
     * A query that stands behind a load is sent elsewhere, once: only there are its tables held. What may not
     * be repeated stays; the time it stood is no slowness. Could harm where all engines load the same tables.
     */
    private void stand(Attempt a, StatusKind kind, long since) {
        Query q = a.query;
        if (q.kin.type.retrySafety() != RetrySafety.SAFE) {
            a.stands = true;
            a.stood += since;
        } else if (kind == StatusKind.WAITS_LOAD && !q.moved && mayGiveUp(q)) {
            q.moved = true;
            out.cancel(q.id, a.number);
        }
    }

    /** The attempt if it is out; null for what is unknown or over. */
    private Attempt attempt(String id, int number) {
        Query q = queries.get(id);
        Attempt a = q == null || number < 0 || number >= q.attempts.size() ? null : q.attempts.get(number);
        return a == null || !a.live ? null : a;
    }

    /**
     * Calls off an attempt that by its own progress ends after the client has left, or takes many times the
     * predicted delay. Answers bad plans and engines that slow down under a query. Could harm a query that is
     * long by itself, so only the first attempt is judged against the prediction.
     */
    private void stopLost(Query q, Attempt a, double done, double whole) {
        boolean tooLate = a.sentAt + whole > q.deadline;
        boolean runaway = a.number == 0 && q.kin.type.retrySafety() == RetrySafety.SAFE
                && whole > RUNAWAY * Math.max(a.prediction, q.kin.usualDelay() * q.size);
        if (!q.closed && settings.permissions().cancel() && done < DONE_ENOUGH && (tooLate || runaway)) {
            out.cancel(q.id, a.number);
        }
    }

    @Override
    public void onAbandoned(long time, String id) {
        tick(time);
        Query q = queries.get(id);
        if (q != null && !q.closed) {
            finish(q);
        }
    }

    // ---- The list of engines ----

    @Override
    public void onEngineList(long time, boolean complete, List<Engine> entries) {
        tick(time);
        if (complete) {
            hosts.values().forEach(h -> h.listed = EngineStatus.REMOVED);
        }
        for (Engine e : entries) {
            EngineEstimate h = hosts.get(e.id());
            if (h == null) {
                if (e.status() == EngineStatus.REMOVED) {
                    continue;
                }
                h = new EngineEstimate(e, settings, fleets.computeIfAbsent(e.machineType(),
                        kind -> new FleetLoad(settings.frontCount())));
                hosts.put(e.id(), h);
                h.probeAt = probes.first(now, hosts.size());
                ranked.add(h);
            }
            h.listed = e.status();
            h.sure = e.startTimeKnown();
            if (e.startedAt() > h.startedAt) {
                h.restarted(e.startedAt());
            }
            // An earlier start than thought: what was taken for cold may be warm.
            h.startedAt = h.coldSince = Math.min(h.coldSince, e.startedAt());
        }
        hosts.values().removeIf(h -> h.listed == EngineStatus.REMOVED && h.attempts == 0);
        ranked.removeIf(h -> hosts.get(h.id) != h);
        count();
        release();
    }

    @Override
    public void onDiscoveryUnreachable(long time) {
        tick(time);
        if (settings.subscriptionRequired()) {
            out.subscribe();
        }
    }

    /** Takes stock of the cores that are ready, as warm as they are. */
    private void count() {
        countedAt = now;
        fleets.values().forEach(FleetLoad::clear);
        for (EngineEstimate h : hosts.values()) {
            h.warmth = h.warmth(settings.safetyRules(), now);
            if (h.listed == EngineStatus.READY) {
                h.fleet.count(h.cores * h.warmth, h.attempts, h.threads);
            }
        }
    }

    private void tick(long time) {
        if (time < now) {
            throw new IllegalArgumentException("time runs backwards: " + time + " after " + now);
        }
        now = time;
        if (now >= countedAt + COUNT_EVERY) {
            count();
        }
    }
}
