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
 * The decision module of one front. Its types, events and actions are in {@link ControlApi}.
 *
 * <p>Reading order: the constants; the safety rules ({@link #maySend} and {@link #close}); the normal path
 * ({@link #decide}, {@link #choose}, {@link #predict}, {@link #payoff}, {@link #mayStart}); held queries
 * ({@link #releaseHeld}); feedback ({@link #onOutcome}, {@link #learn}, {@link #updateHealth}); engine list.
 *
 * <p>Prediction and payoff follow Arvidsson, "Profit optimal congestion control", here called "the paper".
 */
public final class Control implements ControlApi {
    private static final long MILLI_NANOS = 1_000_000L, SECOND_NANOS = 1_000 * MILLI_NANOS;

    /** Longest time between checks of held queries without any event; short against any latency target. */
    private static final long HELD_CHECK_NANOS = 50 * MILLI_NANOS;
    /** Requests are answered this long before the client's deadline, so that the answer is not late. */
    private static final long ANSWER_MARGIN_NANOS = 30 * MILLI_NANOS;
    /** Keyed retries stop this long before the deduplication window ends: the request still has to travel. */
    private static final long KEY_MARGIN_NANOS = 250 * MILLI_NANOS;
    /** Weight of the newest delay in a geometric mean: one query's size must not sway it much. */
    private static final double DELAY_SMOOTHING = 0.1;
    /** Minimum and step of the concurrency limit, and the load ratio of light classes from which it falls. */
    private static final double MIN_LIMIT = 1.2, LIMIT_STEP_PER_SECOND = 0.3, OVERLOAD_RATIO = 2.5;
    /** The chance to start falls from 1 at the concurrency limit to 0 at the limit plus this share of it. */
    private static final double START_CHANCE_RANGE = 0.5;
    /** Engines that all fronts together examine for one choice, and the minimum for each front. */
    private static final int TOTAL_SAMPLE = 40, MIN_SAMPLE = 2;
    /** Samples that a query examines while none of the engines of its table group has room. */
    private static final int OVERFLOW_SAMPLES = 3;
    /** Status update intervals after which an attempt is silent; up to 1.5 pass in normal operation. */
    private static final double SILENT_INTERVALS = 1.6;
    /** Errors after which the request itself is taken to be the cause. */
    private static final int MAX_ERRORS = 3;
    /** Time between checks of which engines to probe. */
    private static final long PROBE_TICK_NANOS = 50 * MILLI_NANOS;
    /** Odds above which an engine counts as possibly unreachable and is probed sooner. */
    private static final double UNREACHABLE_ODDS = 0.5;
    /** Share of the overload multiple that all fronts send a cold engine; two draws each leave a fifth. */
    private static final double COLD_FILL = 0.4;
    /** A query above this share of a cold engine's capacity in a window waits until the engine is warmer. */
    private static final double MAX_COLD_QUERY = 0.3;
    /** Unless the sends of all fronts in the window, with it, are within this share of the multiple. */
    private static final double MAX_COLD_TOTAL = 0.5;
    private static final int PRIORITY_LIGHT = 3, PRIORITY_TABLE_LOCK = 2, PRIORITY_DEFAULT = 1;
    /** Weight, in answers, of a delay projected from a status update: the reported progress is imprecise. */
    private static final double PROJECTION_WEIGHT = 0.5;
    /** A query that spills within this time is sent again. */
    private static final long EARLY_SPILL_NANOS = 100 * MILLI_NANOS;
    /** Factor on the prediction for an engine where a load locks the table group. */
    private static final double LOCK_FACTOR = 3;
    /** An attempt this many times slower than predicted has a bad plan or a bad engine. */
    private static final double RUNAWAY_FACTOR = 3;
    /** Reported progress is imprecise: the first is its least value; past the second nothing is cancelled. */
    private static final double MIN_PROGRESS = 0.01, NEARLY_DONE_PROGRESS = 0.6;
    /** The paper's marginal cost: worth of a full engine's time to others, as a share of the class's. */
    private static final double FULL_ENGINE_PRICE = 1;
    /** A query over this multiple of its class's mean work pays for a full engine's time, by the excess. */
    private static final double EXPENSIVE_SIZE = 1;
    /** A tenant is over its share beyond this multiple of it in the window; the counts there are small. */
    private static final double OVER_SHARE_FACTOR = 1.6;
    private static final long SHARE_WINDOW_NANOS = 3 * SECOND_NANOS;
    /** Time between updates of the engines' warmth; warming up takes a hundred times as long. */
    private static final long CAPACITY_UPDATE_NANOS = 100 * MILLI_NANOS;
    private static final long TIMER_HELD_CHECK = 1, TIMER_PROBE = 2;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Map<String, FleetLoad> fleetLoads = new HashMap<>();
    private final long startedAt;
    private final ProbeBudget probeBudget;
    /** Engines examined for a query: if all fronts picked the best of all engines, they would overload it. */
    private final int sampleSize;
    private final Map<String, RequestClass> requestClasses = new LinkedHashMap<>();
    private final Map<String, EngineEstimate> engines = new LinkedHashMap<>();
    /** The same engines; each choice swaps the engines that it examines to the front. */
    private final List<EngineEstimate> candidates = new ArrayList<>();
    private final Map<String, Query> queries = new HashMap<>();
    private final Map<Long, KeyQueue> keyQueues = new LinkedHashMap<>();
    private final TreeSet<Query> unsent = new TreeSet<>(Query.BY_DEADLINE);
    private final RetryBudget retryBudget;
    private final Map<String, Double> tenantShares = new HashMap<>();
    private final SlidingWindow allRequests = new SlidingWindow(SHARE_WINDOW_NANOS);
    private final Map<String, SlidingWindow> tenantRequests = new HashMap<>();
    private final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();
    private long now, sequence, limitUpdatedAt, resumedAt, capacityUpdatedAt;
    private long heldCheckAt = Long.MAX_VALUE;
    private double concurrencyLimit = EngineEstimate.MAX_LIMIT;
    private final EngineHealth.FailureRate failureRate = new EngineHealth.FailureRate();

    /** Starts the decisions of a front; {@code seed} seeds all random draws. */
    public Control(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.startedAt = now;
        this.sampleSize = Math.max(MIN_SAMPLE,
                (int) Math.round((double) TOTAL_SAMPLE / settings.frontCount()));
        this.retryBudget = new RetryBudget(settings.safetyRules());
        this.probeBudget = new ProbeBudget(settings.probeCost(), now, random.split());
        this.now = now;
        for (RequestClassSettings each : settings.requestClasses()) {
            requestClasses.put(each.name(), new RequestClass(each, requestClasses.size()));
        }
        settings.tenants().forEach(tenant -> tenantShares.put(tenant.name(), tenant.share()));
        if (settings.subscriptionRequired()) {
            actions.subscribe();
        }
        if (settings.permissions().probes()) {
            actions.setTimer(PROBE_TICK_NANOS, TIMER_PROBE);
        }
    }

    // ---- The safety rules: every send is checked here, every request is closed here ----

    /** Checks every rule that a send must satisfy; nothing is sent without it. */
    private boolean maySend(Query query, EngineEstimate engine) {
        return !query.closed && engine.status == EngineStatus.READY
                && placementAllowed(query.requestClass.settings, engine) && attemptAllowed(query)
                && isKeyTurn(query) && retryAllowed(query, engine)
                && coldEngineHasRoom(engine, chargedWork(query));
    }

    private static boolean placementAllowed(RequestClassSettings requestClass, EngineEstimate engine) {
        return (requestClass.zones().isEmpty() || requestClass.zones().contains(engine.zone))
                && (requestClass.machineTypes().isEmpty()
                || requestClass.machineTypes().contains(engine.machineType));
    }

    private boolean attemptAllowed(Query query) {
        return query.attempts.size() < settings.permissions().maxAttempts()
                && (query.attemptsInFlight == 0 || settings.permissions().concurrentAttempts())
                && (query.attempts.isEmpty() || retryBudget.hasRoom(now));
    }

    private boolean isKeyTurn(Query query) {
        return query.keyQueue == null || !query.attempts.isEmpty()
                || query.keyQueue.waiting.peekFirst() == query && query.keyQueue.attemptsInFlight == 0
                && now >= query.keyQueue.cooldownUntil;
    }

    /** A request that may have run is repeated only as its class permits. */
    private boolean retryAllowed(Query query, EngineEstimate engine) {
        if (query.uncertainEngine == null || query.requestClass.settings.retrySafety() == RetrySafety.SAFE) {
            return true;
        }
        return query.requestClass.settings.retrySafety() == RetrySafety.KEYED
                && query.uncertainEngine.sharesKeys(engine, query.requestClass.settings.keyScope())
                && now < query.uncertainAt + query.requestClass.settings.keyWindow() - KEY_MARGIN_NANOS;
    }

    /** Protects a cold engine from overload: a front sends at most its share of the capacity per window. */
    private boolean coldEngineHasRoom(EngineEstimate engine, double work) {
        // Only whole queries are sent; a draw per window decides whether the last one fits. Fronts together
        // thus send their share on average, and stay below the overload multiple even at two draws each.
        SafetyRules rules = settings.safetyRules();
        long age = now - engine.coldSince;
        if (engine.coldSince == 0 || age >= rules.warmUpTime()) {
            return true;
        }
        // A front that has just started does not know what it sent before, and waits for one window.
        if (engine.coldSince < startedAt && now < startedAt + rules.overloadWindow()) {
            return false;
        }
        if (now >= engine.coldDrawUntil) {
            engine.coldDrawUntil = now
                    + (long) (rules.overloadWindow() * (engine.coldDrawUntil == 0 ? random.nextDouble() : 1));
            engine.coldDraw = random.nextDouble();
        }
        double capacity = Math.min(1, COLD_FILL * rules.overloadMultiple()) * engine.warmthAt(rules, now)
                * engine.cores * rules.overloadWindow();
        double share = capacity / settings.frontCount();
        double sent = engine.coldWork.sumSince(now - rules.overloadWindow());
        return work <= MAX_COLD_QUERY * capacity ? sent + engine.coldDraw * work <= share
                : engine.coldDraw * work <= share
                && sent + work <= MAX_COLD_TOTAL * rules.overloadMultiple() * share;
    }

    /** Work charged to a cold engine: an estimate only raises it, since too low a one would send too much. */
    private static double chargedWork(Query query) {
        return Math.max(query.requestClass.typicalWork(), query.size * query.requestClass.meanWork);
    }

    /** Gives the single final answer; nothing is sent for the request afterwards. */
    private void close(Query query, boolean refuse) {
        if (query.closed) {
            return;
        }
        boolean safeToRetry = query.uncertainEngine == null
                || query.requestClass.settings.retrySafety() == RetrySafety.SAFE
                || query.requestClass.settings.retrySafety() == RetrySafety.KEYED
                && query.requestClass.settings.keyScope() == DeduplicationScope.ALL;
        if (refuse && safeToRetry) {
            Permissions permissions = settings.permissions();
            actions.refuse(query.id, permissions.retryAfter()
                    ? Math.min(permissions.maxRetryAfter(), (long) query.requestClass.typicalDelay()) : 0);
        } else {
            actions.fail(query.id);
        }
        finish(query);
    }

    /** Removes a request whose client has its answer or has left. */
    private void finish(Query query) {
        query.closed = true;
        unsent.remove(query);
        query.requestClass.heldQueries.remove(query);
        for (Attempt attempt : query.attempts) {
            if (attempt.inFlight && settings.permissions().cancel()) {
                actions.cancel(query.id, attempt.number);
            }
        }
        if (query.attemptsInFlight == 0) {
            queries.remove(query.id);
        }
        if (query.keyQueue != null) {
            query.keyQueue.waiting.remove(query);
            sendNextOfKey(query.keyQueue);
        }
    }

    // ---- The normal path ----

    @Override
    public void onRequest(long time, Request request) {
        advanceClock(time);
        if (queries.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is already open");
        }
        RequestClass requestClass = requestClasses.get(request.requestClass());
        if (requestClass == null) {
            throw new IllegalArgumentException(
                    "request " + request.id() + " is of unknown class " + request.requestClass());
        }
        double work = requestClass.expectedWork(request);
        Query query = new Query(request, requestClass, now, sequence++, work, requestClass.relativeSize(work),
                timeAlreadyWaited(request, requestClass));
        requestClass.requestCount++;
        probeBudget.recordRequest(now);
        requestClass.longestTimeout = Math.max(requestClass.longestTimeout, request.timeout());
        query.overTenantShare = recordAndCheckTenantShare(request.tenant());
        queries.put(query.id, query);
        retryBudget.recordRequest(now);
        unsent.add(query);
        if (requestClass.settings.serialByKey() && request.hasKey()) {
            query.keyQueue = keyQueues.computeIfAbsent(request.key(), KeyQueue::new);
            query.keyQueue.waiting.addLast(query);
        }
        if (isKeyTurn(query)) {
            decide(query, true);
        }
        if (query.attempts.isEmpty() && now > query.deadline - ANSWER_MARGIN_NANOS) {
            close(query, true);
        }
        scheduleHeldCheck();
    }

    /** Returns the time that the client of a retry has waited at least: its timeout shrinks as it waits. */
    private static long timeAlreadyWaited(Request request, RequestClass requestClass) {
        return request.retry() && request.timeout() < requestClass.longestTimeout - ANSWER_MARGIN_NANOS
                ? Math.max(0, requestClass.settings.deadline() - request.timeout()) : 0;
    }

    /** Classes cheaper than the mean query get priority on busy cores, since they delay others least. */
    private boolean isLight(RequestClass requestClass) {
        double work = 0, requests = 0;
        for (RequestClass each : requestClasses.values()) {
            work += each.requestCount * each.meanWork;
            requests += each.requestCount;
        }
        return !requestClass.settings.locksTables() && requestClass.meanWork * requests < work;
    }

    /** Loads get priority only where other classes wait for them; else they displace work worth more. */
    private int priority(RequestClass requestClass) {
        boolean awaited = requestClass.settings.locksTables()
                && settings.requestClasses().stream().anyMatch(RequestClassSettings::waitsForTableLock);
        return awaited ? PRIORITY_TABLE_LOCK : isLight(requestClass) ? PRIORITY_LIGHT : PRIORITY_DEFAULT;
    }

    /** Counts a request; returns whether its tenant's part of this front's traffic is well over its share. */
    private boolean recordAndCheckTenantShare(String tenant) {
        allRequests.add(now, 1);
        SlidingWindow ownRequests =
                tenantRequests.computeIfAbsent(tenant, name -> new SlidingWindow(SHARE_WINDOW_NANOS));
        ownRequests.add(now, 1);
        long since = now - SHARE_WINDOW_NANOS;
        return ownRequests.sumSince(since)
                > OVER_SHARE_FACTOR * tenantShares.getOrDefault(tenant, 1.0) * allRequests.sumSince(since);
    }

    /** Sends a request, refuses it, or holds it behind others of its class; returns false if it is held. */
    private boolean decide(Query query, boolean mayHold) {
        boolean queued = mayHold && !query.requestClass.heldQueries.isEmpty()
                && !query.requestClass.heldQueries.contains(query);
        Choice choice = choose(query);
        double prediction = choice == null ? query.requestClass.meanMinDelay * RequestClass.MIN_SIZE
                : choice.prediction + (queued ? query.requestClass.meanWait : 0);
        if (choice == null && !mayHold || payoff(query, prediction, choice != null && choice.full) < 0) {
            close(query, true);
        } else if (choice == null || queued || mayHold && !mayStart(query, choice.engine)) {
            unsent.add(query);
            query.requestClass.heldQueries.add(query);
            scheduleHeldCheck();
            return false;
        } else {
            send(query, choice);
        }
        return true;
    }

    private record Choice(EngineEstimate engine, double prediction, boolean full) { }

    /** Returns the eligible engine with the lowest prediction, preferring those with room; null if none. */
    private Choice choose(Query query) {
        Choice best = bestEngine(query, false);
        return best != null ? best : bestEngine(query, true);
    }

    private Choice bestEngine(Query query, boolean includeUnhealthy) {
        query.requestClass.updateLoadRatio(engines.values(), now);
        Choice best = null;
        double lowestRank = 0;
        boolean hasRoom = false;
        int maxSeen = query.tableGroup < 0 || query.requestClass.settings.locksTables() ? sampleSize
                : sampleSize * OVERFLOW_SAMPLES;
        for (int i = 0, seen = 0; i < candidates.size()
                && (seen < sampleSize || !hasRoom && seen < maxSeen); i++) {
            Collections.swap(candidates, i, nextSampleIndex(query, i));
            EngineEstimate engine = candidates.get(i);
            if (!includeUnhealthy && (engine == query.engineToAvoid || engine.health.odds(now) > 1)
                    || !maySend(query, engine)) {
                continue;
            }
            seen++;
            double prediction = predict(query, engine);
            double rank = prediction * (1 + engine.health.odds(now));
            boolean room = engine.fullness(query.requestClass.settings.threads(), now, concurrencyLimit) <= 1;
            if (best == null || (room == hasRoom ? rank < lowestRank : room)) {
                lowestRank = rank;
                best = new Choice(engine, prediction, !room);
                hasRoom = room;
            }
        }
        return best;
    }

    /** Returns the index, from {@code from} on, of the engine to examine next: by table group where known. */
    private int nextSampleIndex(Query query, int from) {
        int drawn = from + random.nextInt(candidates.size() - from);
        if (query.tableGroup < 0) {
            return drawn;
        } else if (query.requestClass.settings.locksTables()) {
            // Loads of a group also wait for each other: spread them, away from the engines of its queries.
            int other = from + random.nextInt(candidates.size() - from);
            return Placement.ranksBefore(candidates.get(drawn).placementSeed,
                    candidates.get(other).placementSeed, query.tableGroup) ? other : drawn;
        }
        return sampleSize > MIN_SAMPLE ? Placement.firstRanked(candidates, from, query.tableGroup)
                : Placement.firstRankedOfSample(candidates, from, drawn, query.tableGroup, random);
    }

    /** Returns the paper's predicted delay, for this query's size and the contention at this engine. */
    private double predict(Query query, EngineEstimate engine) {
        Predictor predictor = engine.predictors.get(query.requestClass.index);
        double contention = engine.contention(query.requestClass.settings.threads(), now);
        double typical = query.requestClass.typicalDelay() * engine.slowness.factor(now) * contention
                / query.requestClass.meanContention;
        double own = predictor.recentDelay > 0 ? predictor.predict(now, query.requestClass.loadRatio,
                contention, query.requestClass.meanContention) : typical;
        double base = typical * StrictMath.pow(own / typical, predictor.ownWeight(now));
        boolean waits = query.requestClass.settings.locksTables()
                || query.requestClass.settings.waitsForTableLock();
        return base * query.size * (waits && engine.locks.containsKey(query.tableGroup) ? LOCK_FACTOR : 1);
    }

    /** Expected payoff of sending over refusing: Phi((T - prediction) / sigma), less the price when full. */
    private double payoff(Query query, double prediction, boolean full) {
        double left = Math.min(query.latencyTargetAt, query.deadline) - now - prediction;
        double onTime = Gaussian.cdf(left / Math.max(1, StrictMath.sqrt(query.requestClass.meanSquareError)));
        RequestClassSettings classSettings = query.requestClass.settings;
        double earned = onTime + (1 - onTime) * (classSettings.lateWorth() - 1);
        double price = full ? FULL_ENGINE_PRICE
                * (query.overTenantShare ? 1 : Math.max(0, query.size / EXPENSIVE_SIZE - 1)) : 0;
        return classSettings.worth()
                * ((query.overTenantShare ? settings.overShareWorth() : 1) * earned - price);
    }

    /** Returns true up to the concurrency limit; above it, with a probability that falls with the excess. */
    private boolean mayStart(Query query, EngineEstimate engine) {
        double excess = engine.fullness(query.requestClass.settings.threads(), now, concurrencyLimit) - 1;
        return excess <= 0 || random.nextDouble() >= excess / START_CHANCE_RANGE;
    }

    private void send(Query query, Choice choice) {
        EngineEstimate engine = choice.engine;
        unsent.remove(query);
        query.requestClass.heldQueries.remove(query);
        if (!query.attempts.isEmpty()) {
            retryBudget.recordRetry(now);
        } else {
            query.requestClass.meanWait += RequestClass.CLASS_SMOOTHING
                    * (now - query.arrivedAt - query.requestClass.meanWait);
        }
        Attempt attempt = new Attempt(query, engine, query.attempts.size(), now, choice.prediction);
        query.attempts.add(attempt);
        attemptsInFlight.add(attempt);
        query.attemptsInFlight++;
        if (query.keyQueue != null) {
            query.keyQueue.attemptsInFlight++;
        }
        engine.countAttempt(attempt, 1);
        if (engine.coldSince > 0 && now < engine.coldSince + settings.safetyRules().warmUpTime()) {
            engine.coldWork.add(now, chargedWork(query));
        }
        Permissions permissions = settings.permissions();
        attempt.memoryGrant = !permissions.memoryGrants() ? 0 : query.memory * query.requestClass.memoryRatio;
        int priority = priority(query.requestClass);
        if (permissions.priority() && priority != PRIORITY_DEFAULT || attempt.memoryGrant > 0) {
            actions.setAttemptOptions(query.id, attempt.memoryGrant, priority);
        }
        actions.send(query.id, engine.id, attemptTimeout(query));
        scheduleHeldCheck();
    }

    /** If a late answer earns nothing, an attempt ends when even twice the estimated work would be late. */
    private long attemptTimeout(Query query) {
        // Could harm where queries cost far more than estimated, or where retries are not marked.
        RequestClassSettings classSettings = query.requestClass.settings;
        boolean worthless = classSettings.retrySafety() == RetrySafety.SAFE && classSettings.lateWorth() <= 0;
        long left = 2 * query.latencyTargetAt - query.firstRequestedAt - classSettings.latencyTarget() - now;
        return settings.permissions().cancel() && settings.clientsMarkRetries() && worthless
                && now + left < query.deadline - ANSWER_MARGIN_NANOS ? Math.max(MILLI_NANOS, left) : 0;
    }

    private boolean mayCancelForRetry(Query query) {
        return !query.closed && query.requestClass.settings.retrySafety() != RetrySafety.UNSAFE
                && settings.permissions().cancel()
                && query.attempts.size() < settings.permissions().maxAttempts() && retryBudget.hasRoom(now);
    }

    // ---- Held queries ----

    /** Sends held queries, earliest latency target first, while there is room; refuses those too late. */
    private void releaseHeld() {
        while (!unsent.isEmpty() && now >= unsent.first().deadline - ANSWER_MARGIN_NANOS) {
            close(unsent.first(), true);
        }
        TreeSet<Query> heads = new TreeSet<>(Query.BY_LATENCY_TARGET);
        for (RequestClass requestClass : requestClasses.values()) {
            requestClass.heldQueries.stream().limit(1).forEach(heads::add);
        }
        while (!heads.isEmpty()) {
            Query query = heads.pollFirst();
            if (decide(query, true) && !query.requestClass.heldQueries.isEmpty()) {
                heads.add(query.requestClass.heldQueries.first());
            }
        }
    }

    private void scheduleHeldCheck() {
        if (unsent.isEmpty() && (attemptsInFlight.isEmpty() || settings.statusInterval() == 0)) {
            return;
        }
        long dueAt = unsent.isEmpty() ? now + settings.statusInterval() / 2 : Math.max(now + 1,
                Math.min(now + HELD_CHECK_NANOS, unsent.first().deadline - ANSWER_MARGIN_NANOS));
        if (dueAt < heldCheckAt) {
            heldCheckAt = dueAt;
            actions.setTimer(dueAt - now, TIMER_HELD_CHECK);
        }
    }

    @Override
    public void onTimer(long time, long handle) {
        advanceClock(time);
        if (handle == TIMER_PROBE) {
            sendProbes();
        } else if (handle == TIMER_HELD_CHECK && now >= heldCheckAt) {
            resumedAt = now > heldCheckAt + HELD_CHECK_NANOS ? now : resumedAt;
            heldCheckAt = Long.MAX_VALUE;
            new ArrayList<>(attemptsInFlight).forEach(this::cancelIfSilent);
            double minSize = RequestClass.MIN_SIZE;
            new ArrayList<>(unsent).stream()
                    .filter(query -> payoff(query, query.requestClass.meanMinDelay * minSize, false) < 0)
                    .forEach(query -> close(query, true));
            new ArrayList<>(keyQueues.values()).forEach(this::sendNextOfKey);
            releaseHeld();
            scheduleHeldCheck();
        }
    }

    /** Cancels a silent attempt if it may be retried: its engine is unhealthy or its response was lost. */
    private void cancelIfSilent(Attempt attempt) {
        // A stall of this front does not count. Could harm where updates get lost but responses do not.
        double silence = now - Math.max(attempt.lastStatusAt, resumedAt);
        if (settings.statusInterval() > 0 && silence > SILENT_INTERVALS * settings.statusInterval()) {
            attempt.lastStatusAt = now;
            attempt.health.recordLoss(now);
            if (mayCancelForRetry(attempt.query)) {
                actions.cancel(attempt.query.id, attempt.number);
            }
        }
    }

    private void sendNextOfKey(KeyQueue queue) {
        queue.decideInOrder(this::mayDecideNow, query -> decide(query, true));
        if (!queue.waiting.isEmpty()) {
            scheduleHeldCheck();
        } else if (queue.attemptsInFlight == 0 && now >= queue.cooldownUntil) {
            keyQueues.remove(queue.orderingKey);
        }
    }

    private boolean mayDecideNow(Query query) {
        return query.attempts.isEmpty() && isKeyTurn(query)
                && !query.requestClass.heldQueries.contains(query);
    }

    // ---- Feedback from engines ----

    @Override
    public void onOutcome(long time, Outcome outcome) {
        advanceClock(time);
        Attempt attempt = attemptInFlight(outcome.id(), outcome.attempt());
        if (attempt == null) {
            return;
        }
        Query query = attempt.query;
        recordEnd(attempt, outcome);
        learn(attempt, outcome);
        if (outcome.last() && !query.closed) {
            finish(query);
        } else if (!query.closed && query.attemptsInFlight == 0) {
            retryOrAnswer(query, attempt);
        }
        if (query.closed && query.attemptsInFlight == 0) {
            queries.remove(query.id);
        }
        if (query.keyQueue != null) {
            sendNextOfKey(query.keyQueue);
        }
        releaseHeld();
    }

    private void recordEnd(Attempt attempt, Outcome outcome) {
        Query query = attempt.query;
        attempt.inFlight = false;
        attemptsInFlight.remove(attempt);
        query.attemptsInFlight--;
        attempt.engine.countAttempt(attempt, -1);
        if (!outcome.status().neverRan && query.uncertainEngine == null) {
            query.uncertainEngine = attempt.engine;
            query.uncertainAt = attempt.sentAt;
        }
        if (query.keyQueue != null) {
            query.keyQueue.attemptsInFlight--;
            if (outcome.status() == AttemptStatus.TIMEOUT || outcome.status() == AttemptStatus.RESET
                    || outcome.status() == AttemptStatus.CANCELLED) {
                query.keyQueue.cooldownUntil = now + settings.safetyRules().keyCooldown();
            }
        }
    }

    /** Retries where that is allowed and pays, now or once there is room; else gives the final answer. */
    private void retryOrAnswer(Query query, Attempt failed) {
        query.engineToAvoid = failed.spilled ? null : failed.engine;
        if (now >= query.deadline - ANSWER_MARGIN_NANOS || query.errorCount >= MAX_ERRORS) {
            close(query, false);
            return;
        }
        decide(query, attemptAllowed(query) && (query.uncertainEngine == null
                || query.requestClass.settings.retrySafety() == RetrySafety.SAFE));
    }

    /** Updates delay estimates from successes only, and the engine's health from every outcome. */
    private void learn(Attempt attempt, Outcome outcome) {
        EngineEstimate engine = attempt.engine;
        if (attempt.isOfCurrentProcess()) {
            engine.recordLoad(outcome.load(), outcome.status() == AttemptStatus.FULL
                    || outcome.status() == AttemptStatus.TIMEOUT && attempt.projectedEndAt > now, now);
        }
        updateHealth(attempt, outcome.status());
        if (outcome.status() != AttemptStatus.OK) {
            return;
        }
        RequestClass requestClass = attempt.query.requestClass;
        if (attempt.memoryGrant > 0 && !attempt.spilled) {
            requestClass.adjustMemoryRatio(false);
        }
        double size = attempt.query.size;
        if (outcome.work() > 0) {
            size = requestClass.relativeSize(outcome.work());
            requestClass.recordWork(outcome.work(), attempt.query.estimatedWork);
        } else {
            double estimate = attempt.query.estimatedWork;
            requestClass.recordWork(estimate > 0 ? estimate
                    : outcome.rtt() * (double) requestClass.settings.threads() / requestClass.loadRatio, 0);
        }
        double error = outcome.rtt() - attempt.prediction;
        requestClass.meanSquareError +=
                RequestClass.CLASS_SMOOTHING * (error * error - requestClass.meanSquareError);
        adjustConcurrencyLimit(requestClass);
        double contention = engine.contention(requestClass.settings.threads(), now);
        Predictor predictor = engine.predictors.get(requestClass.index);
        requestClass.recentDelay = smooth(requestClass.recentDelay, Math.max(1, outcome.rtt() / size));
        engine.slowness.record(outcome.rtt() / size / requestClass.recentDelay * requestClass.meanContention
                / contention, 1, now);
        predictor.recordSuccess(outcome.rtt() / size, now, contention, requestClass);
        requestClass.recentLoadRatio = smooth(requestClass.recentLoadRatio, Math.min(
                RequestClass.MAX_LOAD_RATIO, Math.max(1, outcome.rtt() / size / predictor.minDelay)));
    }

    /** Moves a geometric mean towards a new value; the first value is taken unchanged. */
    static double smooth(double mean, double value) {
        return mean == 0 ? value : mean * StrictMath.pow(value / mean, DELAY_SMOOTHING);
    }

    /** Lowers the concurrency limit while light queries are slow despite their priority, else raises it. */
    private void adjustConcurrencyLimit(RequestClass requestClass) {
        // Engines are then past the load up to which their throughput grows. Could harm where another cause
        // slows light queries; hence MIN_LIMIT.
        if (isLight(requestClass)) {
            double step = LIMIT_STEP_PER_SECOND * Math.min(1, (double) (now - limitUpdatedAt) / SECOND_NANOS);
            limitUpdatedAt = now;
            double next = concurrencyLimit * (requestClass.loadRatio > OVERLOAD_RATIO ? 1 - step : 1 + step);
            concurrencyLimit = Math.max(MIN_LIMIT, Math.min(EngineEstimate.MAX_LIMIT, next));
        }
    }

    /** Counts an error against its engine only once another engine has served the request. */
    private void updateHealth(Attempt attempt, AttemptStatus status) {
        // A request that no engine can serve is no evidence against any. Could harm if all engines fail:
        // none of them is then recognised as unhealthy.
        EngineEstimate engine = attempt.engine;
        Query query = attempt.query;
        if (status == AttemptStatus.ERROR) {
            attempt.health.recordAnswer();
            query.errorCount++;
            query.firstFailedBy = query.firstFailedBy == null ? engine : query.firstFailedBy;
        } else if (status == AttemptStatus.OK) {
            attempt.health.recordSuccess(failureRate, now);
            if (query.firstFailedBy != null && query.firstFailedBy != engine) {
                query.firstFailedBy.health.recordFailure(failureRate, now);
            }
        } else if (status == AttemptStatus.CONNECT_FAILED || status == AttemptStatus.RESET
                || status == AttemptStatus.TIMEOUT && settings.statusInterval() == 0) {
            attempt.health.recordLoss(now);
        }
    }

    /** Probes engines for their load as often as that pays, and those that may be unreachable. */
    private void sendProbes() {
        for (EngineEstimate engine : engines.values()) {
            boolean unreachable = engine.health.odds(now) > UNREACHABLE_ODDS;
            if (unreachable && engine.unreachableProbes == 0) {
                engine.unreachableProbes = 1;
                engine.nextProbeAt = Math.min(engine.nextProbeAt, probeBudget.nextAt(now, engines.size(), 1));
            }
            if (engine.status == EngineStatus.READY && now >= engine.nextProbeAt) {
                engine.unreachableProbes = unreachable ? engine.unreachableProbes + 1 : 0;
                engine.nextProbeAt = probeBudget.nextAt(now, engines.size(), engine.unreachableProbes);
                actions.probe(engine.id);
            }
        }
        actions.setTimer(PROBE_TICK_NANOS, TIMER_PROBE);
    }

    @Override
    public void onProbeResult(long time, String engineId, boolean ok, long rtt, Load load) {
        advanceClock(time);
        EngineEstimate engine = engines.get(engineId);
        if (engine != null && ok) {
            engine.health.recordAnswer();
            engine.recordLoad(load, false, now);
        }
    }

    @Override
    public void onStatusUpdate(long time, StatusUpdate update) {
        advanceClock(time);
        Attempt attempt = attemptInFlight(update.id(), update.attempt());
        if (attempt == null) {
            return;
        }
        long elapsed = now - attempt.lastStatusAt;
        attempt.lastStatusAt = now;
        if (update.kind() == StatusKind.SPILL) {
            onSpill(attempt, update.amount());
        } else if (update.kind() != StatusKind.PROGRESS) {
            onWait(attempt, update.kind(), elapsed);
        } else {
            attempt.waiting &= update.amount() <= attempt.progress;
            attempt.waitedFor += attempt.waiting ? elapsed : 0;
            attempt.progress = update.amount();
            RequestClass requestClass = attempt.query.requestClass;
            double projectedDelay = attempt.waitedFor
                    + (now - attempt.sentAt - attempt.waitedFor) / Math.max(update.amount(), MIN_PROGRESS);
            attempt.projectedEndAt = attempt.sentAt + (long) projectedDelay;
            if (requestClass.recentDelay > 0) {
                attempt.engine.slowness.record(projectedDelay / attempt.query.size / requestClass.recentDelay,
                        PROJECTION_WEIGHT, now);
            }
            if (isLight(requestClass)
                    && projectedDelay > RUNAWAY_FACTOR * requestClass.typicalDelay() * attempt.query.size) {
                attempt.engine.recordLoad(Load.NONE, true, now);
            }
            cancelIfHopeless(attempt.query, attempt, update.amount(), projectedDelay);
        }
    }

    /** Restarts a query, with the memory that it lacked, if its first spill is soon after its start. */
    private void onSpill(Attempt attempt, double missing) {
        // Little work is lost, and a spill costs the work several times over. Could harm if memory is short.
        Query query = attempt.query;
        if (attempt.memoryGrant > 0 && !attempt.spilled) {
            attempt.spilled = true;
            query.requestClass.adjustMemoryRatio(true);
            if (attempt.number == 0 && now - attempt.sentAt < EARLY_SPILL_NANOS && mayCancelForRetry(query)) {
                query.memory = (attempt.memoryGrant + missing) / query.requestClass.memoryRatio;
                actions.cancel(query.id, attempt.number);
            }
        }
    }

    /** Moves a query that waits for a load to another engine, once: its tables are locked only here. */
    private void onWait(Attempt attempt, StatusKind kind, long elapsed) {
        // Only safe queries move. Waiting is not slowness. Could harm if all engines load the same tables.
        Query query = attempt.query;
        if (query.requestClass.settings.retrySafety() != RetrySafety.SAFE) {
            attempt.waiting = true;
            attempt.waitedFor += elapsed;
        } else if (kind == StatusKind.WAITS_LOAD && !query.cancelledBehindLoad && mayCancelForRetry(query)) {
            query.cancelledBehindLoad = true;
            actions.cancel(query.id, attempt.number);
        }
    }

    /** Returns the attempt if it is in flight; null if it is unknown or has ended. */
    private Attempt attemptInFlight(String id, int number) {
        Query query = queries.get(id);
        Attempt attempt = query == null || number < 0 || number >= query.attempts.size() ? null
                : query.attempts.get(number);
        return attempt == null || !attempt.inFlight ? null : attempt;
    }

    /** Cancels an attempt projected to end past the deadline, or many times later than predicted. */
    private void cancelIfHopeless(Query query, Attempt attempt, double progress, double projectedDelay) {
        // The query has a bad plan, or the engine slowed down. Could harm a query that is inherently long, so
        // only the first attempt is compared with the prediction.
        boolean tooLate = attempt.sentAt + projectedDelay > query.deadline;
        boolean runaway = attempt.number == 0 && query.requestClass.settings.retrySafety() == RetrySafety.SAFE
                && projectedDelay > RUNAWAY_FACTOR
                * Math.max(attempt.prediction, query.requestClass.typicalDelay() * query.size);
        if (!query.closed && settings.permissions().cancel() && progress < NEARLY_DONE_PROGRESS
                && (tooLate || runaway)) {
            actions.cancel(query.id, attempt.number);
        }
    }

    @Override
    public void onAbandoned(long time, String id) {
        advanceClock(time);
        Query query = queries.get(id);
        if (query != null && !query.closed) {
            finish(query);
        }
    }

    // ---- The engine list ----

    @Override
    public void onEngineList(long time, boolean complete, List<Engine> entries) {
        advanceClock(time);
        if (complete) {
            engines.values().forEach(engine -> engine.status = EngineStatus.REMOVED);
        }
        for (Engine entry : entries) {
            EngineEstimate engine = engines.get(entry.id());
            if (engine == null) {
                if (entry.status() == EngineStatus.REMOVED) {
                    continue;
                }
                engine = new EngineEstimate(entry, settings, fleetLoads.computeIfAbsent(entry.machineType(),
                        machineType -> new FleetLoad(settings.frontCount())));
                engines.put(entry.id(), engine);
                engine.nextProbeAt = probeBudget.firstAt(now, engines.size());
                candidates.add(engine);
            }
            engine.status = entry.status();
            engine.startTimeKnown = entry.startTimeKnown();
            if (entry.startedAt() > engine.startedAt) {
                engine.resetAfterRestart(entry.startedAt());
            }
            // The engine started earlier than assumed, so one that counted as cold may be warm.
            engine.startedAt = engine.coldSince = Math.min(engine.coldSince, entry.startedAt());
        }
        engines.values()
                .removeIf(engine -> engine.status == EngineStatus.REMOVED && engine.attemptsInFlight == 0);
        candidates.removeIf(engine -> engines.get(engine.id) != engine);
        updateCapacity();
        releaseHeld();
    }

    @Override
    public void onDiscoveryUnreachable(long time) {
        advanceClock(time);
        if (settings.subscriptionRequired()) {
            actions.subscribe();
        }
    }

    /** Recounts the cores of ready engines, weighted by their warmth, and the attempts in flight there. */
    private void updateCapacity() {
        capacityUpdatedAt = now;
        fleetLoads.values().forEach(FleetLoad::resetCounts);
        for (EngineEstimate engine : engines.values()) {
            engine.warmth = engine.warmthAt(settings.safetyRules(), now);
            if (engine.status == EngineStatus.READY) {
                engine.fleetLoad.addCounts(engine.cores * engine.warmth, engine.attemptsInFlight,
                        engine.threadsInFlight);
            }
        }
    }

    private void advanceClock(long time) {
        if (time < now) {
            throw new IllegalArgumentException("time runs backwards: " + time + " after " + now);
        }
        now = time;
        if (now >= capacityUpdatedAt + CAPACITY_UPDATE_NANOS) {
            updateCapacity();
        }
    }
}
