package cairnline.control;

import cairnline.control.ControlApi.Actions;
import cairnline.control.ControlApi.RetrySafety;
import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.MachineType;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.StatusUpdate;
import cairnline.control.ControlApi.StatusKind;
import cairnline.control.ControlApi.Outcome;
import cairnline.control.ControlApi.Permissions;
import cairnline.control.ControlApi.Request;
import cairnline.control.ControlApi.SafetyRules;
import cairnline.control.ControlApi.DeduplicationScope;
import cairnline.control.ControlApi.Settings;
import cairnline.control.ControlApi.Tenant;
import cairnline.control.ControlApi.RequestClassSettings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Drives one instance by scripted events and records its actions as lines of text. */
final class ScriptedFront implements Actions {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;

    /** Settings that tests change one by one. */
    static final class TestSettings {
        int fronts = 1;
        int attempts = 3;
        boolean cancel;
        boolean copies;
        boolean retryAfter;
        RetrySafety effect = RetrySafety.SAFE;
        DeduplicationScope scope = DeduplicationScope.ALL;
        long window = 20 * SECOND;
        boolean serial;
        List<String> kinds = List.of();
        double spare = -1;
        double perRequest;
        double coldFrom = 0.4;
        long notePeriod;
        boolean probes;
        double probePrice;
        boolean marksRepeats;
        boolean bigHolds;
        boolean smallWaits;
        long smallAim = 600 * MS;

        Settings settings() {
            RequestClassSettings small = new RequestClassSettings("small", smallAim, 0, 3 * SECOND, 1, 0, effect, scope, window, serial, 1, false, smallWaits,
                    List.of(), kinds);
            RequestClassSettings big = new RequestClassSettings("big", 3 * SECOND, 2, 15 * SECOND, 10, 0.4, RetrySafety.SAFE, DeduplicationScope.ALL, 0, false, 4, bigHolds,
                    false, List.of(), List.of());
            Map<String, MachineType> machines = new LinkedHashMap<>();
            machines.put("plain", new MachineType(8, 16_000));
            machines.put("large", new MachineType(16, 32_000));
            return new Settings(0, fronts, "north", List.of(small, big), List.of(new Tenant("one", 0.8, 100), new Tenant("two", 0.2, 20)), machines,
                    new Permissions(attempts, cancel, copies, probes, false, retryAfter, SECOND, true, true),
                    new SafetyRules(500 * MS, coldFrom, 10 * SECOND, 2, 2 * SECOND, 500 * MS, spare, perRequest, 10 * SECOND),
                    0.2, 0.5, false, notePeriod, marksRepeats, probePrice);
        }
    }

    final List<String> actions = new ArrayList<>();
    final Control control;
    private final List<Timer> timers = new ArrayList<>();
    /** Time-out of the newest send of each request; 0 if it had none. */
    final Map<String, Long> timeOuts = new LinkedHashMap<>();
    private record Timer(long due, long handle) { }

    long now;
    int wakes;
    private int read;

    ScriptedFront(TestSettings site, long now, long seed) {
        this.now = now;
        control = new Control(site.settings(), seed, now, this);
    }

    ScriptedFront(TestSettings site, long now) {
        this(site, now, 42);
    }

    ScriptedFront(TestSettings site) {
        this(site, 100 * SECOND);
    }

    /** Actions since the last call. */
    List<String> fresh() {
        List<String> fresh = new ArrayList<>(actions.subList(read, actions.size()));
        fresh.removeIf(a -> a.startsWith("terms"));
        read = actions.size();
        return fresh;
    }

    long count(String prefix) {
        return actions.stream().filter(a -> a.startsWith(prefix)).count();
    }

    static Engine engine(String id, EngineStatus listed, String kind, long startedAt) {
        return new Engine(id, listed, "north", kind, id.hashCode() & 1, 1, startedAt);
    }

    void list(String... ids) {
        List<Engine> all = new ArrayList<>();
        for (String id : ids) {
            all.add(engine(id, EngineStatus.READY, "plain", 0));
        }
        control.onEngineList(now, true, all);
    }

    void change(Engine engine) {
        control.onEngineList(now, false, List.of(engine));
    }

    void take(String id, String type) {
        take(id, type, type.equals("small") ? 3 * SECOND : 15 * SECOND);
    }

    void take(String id, String type, long budget) {
        control.onRequest(now, new Request(id, type, "one", false, 0, budget, 0, 0, -1, false));
    }

    /** A request whose work and tables the front was told. */
    void takeTold(String id, String type, long work) {
        control.onRequest(now, new Request(id, type, "one", false, 0, 15 * SECOND, work, 0, -1, false));
    }

    /** A request that tells how much memory it needs. */
    void takeWithMemory(String id, String type, double memory) {
        control.onRequest(now, new Request(id, type, "one", false, 0, 15 * SECOND, 0, memory, -1, false));
    }

    void note(String id, int attempt, StatusKind kind, double amount) {
        control.onStatusUpdate(now, new StatusUpdate(id, attempt, engineOf(id), kind, amount));
    }

    void takeOf(String tenant, String id, String type) {
        control.onRequest(now, new Request(id, type, tenant, false, 0, 15 * SECOND, 0, 0, -1, false));
    }

    void takeKeyed(String id, long key) {
        control.onRequest(now, new Request(id, "small", "one", true, key, 3 * SECOND, 0, 0, -1, false));
    }

    void end(String id, int attempt, String engine, AttemptStatus end, long rtt) {
        control.onOutcome(now, new Outcome(id, attempt, engine, end, rtt, end == AttemptStatus.OK, 0, 0, Load.NONE));
    }

    void progress(String id, int attempt, String engine, double done) {
        control.onStatusUpdate(now, new StatusUpdate(id, attempt, engine, StatusKind.PROGRESS, done));
    }

    /** Passes time, with the timers that come due. */
    void pass(long time) {
        long end = now + time;
        while (true) {
            Timer next = timers.stream().filter(t -> t.due <= end).min(Comparator.comparingLong(Timer::due)).orElse(null);
            if (next == null) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next.due);
            control.onTimer(now, next.handle);
        }
        now = end;
    }

    /** The engine of the newest send of a request. */
    String engineOf(String id) {
        String found = null;
        for (String a : actions) {
            if (a.startsWith("send " + id + " ")) {
                found = a.substring(a.lastIndexOf(' ') + 1);
            }
        }
        return found;
    }

    @Override
    public void send(String id, String engine, long timeout) {
        actions.add("send " + id + " " + engine);
        timeOuts.put(id, timeout);
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
        actions.add("terms " + id + " " + Math.round(memory) + " " + priority);
    }

    @Override
    public void setTimer(long delay, long handle) {
        wakes++;
        timers.add(new Timer(now + delay, handle));
    }

    @Override
    public void probe(String engine) {
        actions.add("probe " + engine);
    }

    @Override
    public void broadcast(byte[] message) {
        actions.add("tell " + message.length);
    }

    @Override
    public void subscribe() {
        actions.add("follow");
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
