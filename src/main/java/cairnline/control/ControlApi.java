package cairnline.control;

import java.util.List;
import java.util.Map;

/**
 * What a front tells its decision module, and what the module asks of the front.
 *
 * <p>One instance serves one front and is called from one thread. All times are nanoseconds on the front's own
 * monotonic clock and never run backwards; memory is in megabytes; work is the time one thread would take. The
 * caller owns every object it passes in and must not change it afterwards. Calls may carry out actions on the
 * {@link Actions} given at construction, and only during the call.
 *
 * <p>Wrong use: a request id that is already open, or a clock that runs backwards, throws
 * {@link IllegalArgumentException}. Outcomes, notes and timers that refer to nothing known are disregarded.
 */
public interface ControlApi {
    /** The list of engines as discovery holds it; {@code complete} lists replace, others change single entries. */
    void engines(long now, boolean complete, List<Engine> entries);

    /** Discovery could not be reached; the last list stays in force. */
    void enginesUnreachable(long now);

    /** A client request; exactly one final answer is owed from here on. */
    void request(long now, Request request);

    /** The answer of an attempt has begun to stream; disregarded, since its outcome tells the end. */
    default void streaming(long now, String id, int attempt) { }

    /** An attempt is over; one outcome for each {@link Actions#send}. */
    void outcome(long now, Outcome outcome);

    /** Word on an attempt that is still out. */
    void note(long now, StatusUpdate note);

    /** The client has left; nothing more is owed. */
    void abandoned(long now, String id);

    /** A timer set with {@link Actions#wake} has come due. */
    void timer(long now, long handle);

    /** Result of a probe, {@code rtt} in nanoseconds; disregarded unless the module asks for probes. */
    default void probed(long now, String engine, boolean ok, long rtt, Load load) { }

    /** A message from another front; disregarded unless the module sends such messages. */
    default void peer(long now, int sender, byte[] message) { }

    /** What the module asks the front to do. */
    interface Actions {
        /** Sends the request's next attempt, given up after {@code timeout} (0: when the client gives up). */
        void send(String id, String engine, long timeout);

        /** Final answer: refused, a new try does no harm; {@code retryAfter} 0 gives no advice. */
        void refuse(String id, long retryAfter);

        /** Final answer: failed, it may have run. */
        void fail(String id);

        /** Stops waiting for one attempt. */
        void cancel(String id, int attempt);

        /** Memory (0: the engine's choice) and priority (0 to 3, 1 usual) of the request's attempts. */
        void terms(String id, double memory, int priority);

        /** Asks for {@link ControlApi#timer} after {@code delay}. */
        void wake(long delay, long handle);

        /** Checks an engine. */
        void probe(String engine);

        /** Sends a message to every other front. */
        void tell(byte[] message);

        /** Follows the list of engines from now on, where it must be asked for. */
        void follow();

        /** A line for the operators' log. */
        void log(String line);
    }

    /** State of an engine's process as listed. */
    enum EngineStatus { READY, DRAINING, REMOVED }

    /**
     * A list entry; {@code startedAt} 0 means long ago. Unless {@code sure}, it may have started at any time before, and
     * may warm up as late as the rules let it.
     */
    record Engine(String id, EngineStatus listed, String zone, String kind, int cell, double size, long startedAt,
                  boolean sure) {
        /** One whose start is known. */
        public Engine(String id, EngineStatus listed, String zone, String kind, int cell, double size, long startedAt) {
            this(id, listed, zone, kind, cell, size, startedAt, true);
        }
    }

    /**
     * A client request; {@code budget} is how long before the client gives up. {@code hasKey}, {@code work} and
     * {@code memory} are 0 or false where unknown; {@code tables} is -1 where unknown.
     */
    record Request(String id, String type, String tenant, boolean hasKey, long key, long budget, long work,
                   double memory, int tables, boolean repeat) { }

    /** How an attempt ended. */
    enum AttemptStatus {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false), CANCELLED(false),
        NOT_SENT(true);

        /** True if this end proves that the attempt never ran. */
        public final boolean neverRan;

        AttemptStatus(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** An engine's load report; a value that is not reported is NaN. */
    record Load(double utilization, double queue, double inflight, double memory, double disk) {
        /** No report came along. */
        public static final Load NONE = new Load(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /**
     * The end of an attempt; {@code last} if the request is over for the client too. {@code work} (ns) and
     * {@code memory} (MB) are what the query needed, 0 where not told.
     */
    record Outcome(String id, int attempt, String engine, AttemptStatus end, long rtt, boolean last, long work, double memory,
                   Load load) { }

    /** What a note tells. */
    enum StatusKind { PROGRESS, SPILL, WAITS_MEMORY, WAITS_LOAD }

    /** A note; {@code amount} is the share done, or the megabytes missing. */
    record StatusUpdate(String id, int attempt, String engine, StatusKind kind, double amount) { }

    /** What a repeat of a request may do. */
    enum RetrySafety { SAFE, KEYED, UNSAFE }

    /** Which engines drop the repeats of a keyed request. */
    enum DeduplicationScope { ALL, ZONE, CELL }

    /**
     * A class of requests. An answer within {@code aim + aimStretch * work / threads} earns {@code worth}, a later one
     * {@code lateWorth * worth}. {@code zones} and {@code kinds} bind the class where not empty.
     */
    record RequestClassSettings(String name, long aim, double aimStretch, long deadline, double worth, double lateWorth, RetrySafety effect,
                DeduplicationScope scope, long window, boolean serial, int threads, boolean holdsTables, boolean waitsForHolder,
                List<String> zones, List<String> kinds) { }

    /** A tenant's share, in requests a second over all fronts. */
    record Tenant(String name, double share, double quotaPerSecond) { }

    /** A kind of machine. */
    record MachineType(int cores, double memory) { }

    /** What the site allows. */
    record Permissions(int attempts, boolean cancel, boolean secondCopies, boolean probes, boolean peers,
                       boolean retryAfter, long maxRetryAfter, boolean memory, boolean priority) { }

    /**
     * The figures of the rules. {@code spareAttempts} below 0 means that further attempts are not rationed;
     * {@code keyRest} 0 that a key needs no rest.
     */
    record SafetyRules(long drainGrace, double coldFrom, long warmWithin, double tipMultiple, long overloadFor, long keyRest,
                 double spareAttempts, double extraPerRequest, long lookBack) { }

    /**
     * All that a front is told at start. {@code grantCap} is the share of an engine's memory one query gets at most;
     * {@code overShareWorth} the part of its worth that a request past its tenant's share keeps; {@code follow} is
     * true where the list must be asked for; {@code notePeriod} the time between notes on an attempt, 0 without;
     * {@code marksRepeats} is true where clients mark a request that they ask again; {@code probePrice} is the part of
     * the worth asked for that a
     * probe for each request costs.
     */
    record Settings(int self, int fronts, String zone, List<RequestClassSettings> types, List<Tenant> tenants, Map<String, MachineType> kinds,
                    Permissions permissions, SafetyRules rules, double overShareWorth, double grantCap, boolean follow,
                    long notePeriod, boolean marksRepeats, double probePrice) {
        /** Rejects settings that contradict themselves. */
        public Settings {
            require(fronts >= 1 && self >= 0, "a front needs a number and a group of at least one");
            require(!types.isEmpty(), "no class of requests is set");
            require(permissions.attempts() >= 1, "at least one attempt must be allowed");
            require(rules.coldCapacity() >= 0 && rules.coldCapacity() <= 1, "the cold share lies between 0 and 1");
            require(rules.retryAllowance() < 0 || rules.retryWindow() > 0, "a ration of attempts needs a window");
            require(notePeriod >= 0, "the time between notes is not negative");
            for (RequestClassSettings type : types) {
                require(type.aim() > 0 && type.deadline() > 0 && type.threads() >= 1,
                        "class " + type.name() + " needs an aim, a deadline and a thread");
            }
        }

        /** The same for engines that tell neither their load nor anything of what they run. */
        public Settings withoutReports() {
            Permissions p = permissions;
            Permissions without = new Permissions(p.attempts(), p.cancel(), p.secondCopies(), false, p.peers(),
                    p.retryAfter(), p.maxRetryAfter(), p.memory(), p.priority());
            return new Settings(self, fronts, zone, types, tenants, kinds, without, rules, overShareWorth, grantCap,
                    follow, 0, marksRepeats, probePrice);
        }

        private static void require(boolean held, String message) {
            if (!held) {
                throw new IllegalArgumentException(message);
            }
        }
    }
}
