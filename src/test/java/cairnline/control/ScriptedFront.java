package cairnline.control;

import cairnline.control.ControlApi.Actions;
import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.DeduplicationScope;
import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.MachineType;
import cairnline.control.ControlApi.Outcome;
import cairnline.control.ControlApi.Permissions;
import cairnline.control.ControlApi.Request;
import cairnline.control.ControlApi.RequestClassSettings;
import cairnline.control.ControlApi.RetrySafety;
import cairnline.control.ControlApi.SafetyRules;
import cairnline.control.ControlApi.Settings;
import cairnline.control.ControlApi.StatusKind;
import cairnline.control.ControlApi.StatusUpdate;
import cairnline.control.ControlApi.Tenant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A front that drives one decision module by scripted events and records its actions as lines of text. */
final class ScriptedFront implements Actions {
    static final long MILLI_NANOS = 1_000_000L;
    static final long SECOND_NANOS = 1_000 * MILLI_NANOS;

    /** Settings with defaults, which tests change one by one. */
    static final class TestSettings {
        int fronts = 1;
        int maxAttempts = 3;
        boolean cancel;
        boolean concurrentAttempts;
        boolean retryAfter;
        RetrySafety retrySafety = RetrySafety.SAFE;
        DeduplicationScope keyScope = DeduplicationScope.ALL;
        long keyWindow = 20 * SECOND_NANOS;
        boolean serialByKey;
        List<String> machineTypes = List.of();
        double retryAllowance = -1;
        double retriesPerRequest;
        double coldCapacity = 0.4;
        long statusInterval;
        boolean probes;
        double probeCost;
        boolean clientsMarkRetries;
        boolean bigLocksTables;
        boolean smallWaitsForLock;
        long smallLatencyTarget = 600 * MILLI_NANOS;

        Settings settings() {
            RequestClassSettings small = new RequestClassSettings("small", smallLatencyTarget, 0, 3 * SECOND_NANOS, 1, 0,
                    retrySafety, keyScope, keyWindow, serialByKey, 1, false, smallWaitsForLock, List.of(), machineTypes);
            RequestClassSettings big = new RequestClassSettings("big", 3 * SECOND_NANOS, 2, 15 * SECOND_NANOS, 10, 0.4,
                    RetrySafety.SAFE, DeduplicationScope.ALL, 0, false, 4, bigLocksTables, false, List.of(), List.of());
            Map<String, MachineType> machines = new LinkedHashMap<>();
            machines.put("plain", new MachineType(8, 16_000));
            machines.put("large", new MachineType(16, 32_000));
            return new Settings(0, fronts, "north", List.of(small, big),
                    List.of(new Tenant("one", 0.8, 100), new Tenant("two", 0.2, 20)), machines,
                    new Permissions(maxAttempts, cancel, concurrentAttempts, probes, false, retryAfter, SECOND_NANOS, true,
                            true),
                    new SafetyRules(500 * MILLI_NANOS, coldCapacity, 10 * SECOND_NANOS, 2, 2 * SECOND_NANOS,
                            500 * MILLI_NANOS, retryAllowance, retriesPerRequest, 10 * SECOND_NANOS),
                    0.2, 0.5, false, statusInterval, clientsMarkRetries, probeCost);
        }
    }

    final List<String> actions = new ArrayList<>();
    final Control control;
    private final List<Timer> timers = new ArrayList<>();
    /** Timeout of the latest send of each request; 0 if it had none. */
    final Map<String, Long> attemptTimeouts = new LinkedHashMap<>();

    private record Timer(long expiresAt, long handle) { }

    long now;
    int timersSet;
    private int readActions;

    ScriptedFront(TestSettings settings, long now, long seed) {
        this.now = now;
        control = new Control(settings.settings(), seed, now, this);
    }

    ScriptedFront(TestSettings settings, long now) {
        this(settings, now, 42);
    }

    ScriptedFront(TestSettings settings) {
        this(settings, 100 * SECOND_NANOS);
    }

    /** Returns the actions since the last call, without those that set options. */
    List<String> newActions() {
        List<String> added = new ArrayList<>(actions.subList(readActions, actions.size()));
        added.removeIf(action -> action.startsWith("options"));
        readActions = actions.size();
        return added;
    }

    long countActions(String prefix) {
        return actions.stream().filter(action -> action.startsWith(prefix)).count();
    }

    static Engine engine(String id, EngineStatus status, String machineType, long startedAt) {
        return new Engine(id, status, "north", machineType, id.hashCode() & 1, 1, startedAt);
    }

    void listEngines(String... ids) {
        List<Engine> all = new ArrayList<>();
        for (String id : ids) {
            all.add(engine(id, EngineStatus.READY, "plain", 0));
        }
        control.onEngineList(now, true, all);
    }

    void updateEngine(Engine engine) {
        control.onEngineList(now, false, List.of(engine));
    }

    void request(String id, String requestClass) {
        request(id, requestClass, requestClass.equals("small") ? 3 * SECOND_NANOS : 15 * SECOND_NANOS);
    }

    void request(String id, String requestClass, long timeout) {
        control.onRequest(now, new Request(id, requestClass, "one", false, 0, timeout, 0, 0, -1, false));
    }

    /** Sends a request with the client's estimate of its work. */
    void requestWithWork(String id, String requestClass, long work) {
        control.onRequest(now, new Request(id, requestClass, "one", false, 0, 15 * SECOND_NANOS, work, 0, -1, false));
    }

    /** Sends a request with the client's estimate of its memory. */
    void requestWithMemory(String id, String requestClass, double memory) {
        control.onRequest(now, new Request(id, requestClass, "one", false, 0, 15 * SECOND_NANOS, 0, memory, -1, false));
    }

    void statusUpdate(String id, int attempt, StatusKind kind, double amount) {
        control.onStatusUpdate(now, new StatusUpdate(id, attempt, engineOf(id), kind, amount));
    }

    void requestOfTenant(String tenant, String id, String requestClass) {
        control.onRequest(now, new Request(id, requestClass, tenant, false, 0, 15 * SECOND_NANOS, 0, 0, -1, false));
    }

    void requestWithKey(String id, long key) {
        control.onRequest(now, new Request(id, "small", "one", true, key, 3 * SECOND_NANOS, 0, 0, -1, false));
    }

    void finish(String id, int attempt, String engine, AttemptStatus status, long rtt) {
        control.onOutcome(now, new Outcome(id, attempt, engine, status, rtt, status == AttemptStatus.OK, 0, 0, Load.NONE));
    }

    void progress(String id, int attempt, String engine, double share) {
        control.onStatusUpdate(now, new StatusUpdate(id, attempt, engine, StatusKind.PROGRESS, share));
    }

    /** Advances the clock and fires the timers that expire. */
    void advance(long nanos) {
        long end = now + nanos;
        while (true) {
            Timer next = timers.stream().filter(timer -> timer.expiresAt <= end)
                    .min(Comparator.comparingLong(Timer::expiresAt)).orElse(null);
            if (next == null) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next.expiresAt);
            control.onTimer(now, next.handle);
        }
        now = end;
    }

    /** Returns the engine of the latest send of a request. */
    String engineOf(String id) {
        String engine = null;
        for (String action : actions) {
            if (action.startsWith("send " + id + " ")) {
                engine = action.substring(action.lastIndexOf(' ') + 1);
            }
        }
        return engine;
    }

    @Override
    public void send(String id, String engine, long timeout) {
        actions.add("send " + id + " " + engine);
        attemptTimeouts.put(id, timeout);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        actions.add("refuse " + id);
    }

    @Override
    public void fail(String id) {
        actions.add("fail " + id);
    }

    @Override
    public void cancel(String id, int attempt) {
        actions.add("cancel " + id + " " + attempt);
    }

    @Override
    public void setAttemptOptions(String id, double memory, int priority) {
        actions.add("options " + id + " " + Math.round(memory) + " " + priority);
    }

    @Override
    public void setTimer(long delay, long handle) {
        timersSet++;
        timers.add(new Timer(now + delay, handle));
    }

    @Override
    public void probe(String engine) {
        actions.add("probe " + engine);
    }

    @Override
    public void broadcast(byte[] message) {
        actions.add("broadcast " + message.length);
    }

    @Override
    public void subscribe() {
        actions.add("subscribe");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
