package cairnline.control;

import java.util.List;
import java.util.Map;

/**
 * The events that a front reports to its decision module and the actions that the module requests from the front.
 *
 * <p>One instance serves one front and is called from one thread. All times are nanoseconds on the front's own
 * monotonic clock and never run backwards; memory is in megabytes; work is the time that one thread would take. The
 * caller owns every object that it passes in and must not change it afterwards. Calls may request actions from the
 * {@link Actions} given at construction, and only during the call.
 *
 * <p>A request id that is already open, or a clock that runs backwards, causes an {@link IllegalArgumentException}.
 * Outcomes, status updates and timers that refer to nothing known are ignored.
 */
public interface ControlApi {
    /** Updates the engine list from discovery; a {@code complete} list replaces it, others change single entries. */
    void onEngineList(long now, boolean complete, List<Engine> entries);

    /** Reports that discovery could not be reached; the last list stays in force. */
    void onDiscoveryUnreachable(long now);

    /** Accepts a client request; the module gives it exactly one final answer. */
    void onRequest(long now, Request request);

    /** Reports that the response of an attempt has started to stream; ignored, since the outcome reports its end. */
    default void onStreaming(long now, String id, int attempt) { }

    /** Reports the end of an attempt; there is one outcome for each {@link Actions#send}. */
    void onOutcome(long now, Outcome outcome);

    /** Reports the status of an attempt in flight. */
    void onStatusUpdate(long now, StatusUpdate update);

    /** Reports that the client has left; no final answer is needed any more. */
    void onAbandoned(long now, String id);

    /** Reports the expiry of a timer set with {@link Actions#setTimer}. */
    void onTimer(long now, long handle);

    /** Reports the result of a probe, {@code rtt} in nanoseconds; ignored unless the module sends probes. */
    default void onProbeResult(long now, String engine, boolean ok, long rtt, Load load) { }

    /** Delivers a message from another front; ignored unless the module sends such messages. */
    default void onPeerMessage(long now, int sender, byte[] message) { }

    /** The actions that the module requests from the front. */
    interface Actions {
        /** Sends the request's next attempt, which times out after {@code timeout} (0: at the client's deadline). */
        void send(String id, String engine, long timeout);

        /** Gives the final answer "refused": a retry is safe. A {@code retryAfter} of 0 suggests no time for it. */
        void refuse(String id, long retryAfter);

        /** Gives the final answer "failed": the request may have run. */
        void fail(String id);

        /** Cancels one attempt. */
        void cancel(String id, int attempt);

        /** Sets memory (0: the engine decides) and priority (0 to 3, 1 is the default) of the request's attempts. */
        void setAttemptOptions(String id, double memory, int priority);

        /** Requests a call of {@link ControlApi#onTimer} after {@code delay}. */
        void setTimer(long delay, long handle);

        /** Sends a probe to an engine. */
        void probe(String engine);

        /** Sends a message to every other front. */
        void broadcast(byte[] message);

        /** Subscribes to the engine list, where discovery requires a subscription. */
        void subscribe();

        /** Writes a line to the operators' log. */
        void log(String line);
    }

    /** State of an engine's process according to discovery. */
    enum EngineStatus { READY, DRAINING, REMOVED }

    /**
     * An entry of the engine list. {@code startedAt} 0 means long ago. Unless {@code startTimeKnown}, the engine may
     * have started at any time up to now, and may take as long to warm up as the safety rules allow.
     */
    record Engine(String id, EngineStatus status, String zone, String machineType, int cell, double size,
                  long startedAt, boolean startTimeKnown) {
        /** Creates an entry whose start time is known. */
        public Engine(String id, EngineStatus status, String zone, String machineType, int cell, double size,
                      long startedAt) {
            this(id, status, zone, machineType, cell, size, startedAt, true);
        }
    }

    /**
     * A client request; {@code timeout} is the time after which the client gives up. {@code hasKey}, {@code work} and
     * {@code memory} are 0 or false where unknown; {@code tableGroup} is -1 where unknown. {@code retry} is true where
     * the client has marked the request as a repeat of an earlier one.
     */
    record Request(String id, String requestClass, String tenant, boolean hasKey, long key, long timeout, long work,
                   double memory, int tableGroup, boolean retry) { }

    /** How an attempt ended. */
    enum AttemptStatus {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false), CANCELLED(false),
        NOT_SENT(true);

        /** True if this status proves that the attempt never ran. */
        public final boolean neverRan;

        AttemptStatus(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** An engine's load report; a value that was not reported is NaN. */
    record Load(double utilization, double queue, double inflight, double memory, double disk) {
        /** The absence of a report. */
        public static final Load NONE = new Load(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /**
     * The end of an attempt; {@code last} if the request is complete for the client too. {@code work} (ns) and
     * {@code memory} (MB) are what the query needed, 0 where not reported.
     */
    record Outcome(String id, int attempt, String engine, AttemptStatus status, long rtt, boolean last, long work,
                   double memory, Load load) { }

    /** The subject of a status update. */
    enum StatusKind { PROGRESS, SPILL, WAITS_MEMORY, WAITS_LOAD }

    /** A status update on an attempt; {@code amount} is the completed share (0 to 1), or the missing megabytes. */
    record StatusUpdate(String id, int attempt, String engine, StatusKind kind, double amount) { }

    /** Whether a request may run more than once: always, only under its deduplication key, or never. */
    enum RetrySafety { SAFE, KEYED, UNSAFE }

    /** The engines that share the deduplication keys of a keyed request and so drop its repeats. */
    enum DeduplicationScope { ALL, ZONE, CELL }

    /**
     * Settings of a class of requests. An answer within {@code latencyTarget + latencyTargetWorkFactor * work / threads}
     * earns {@code worth}, a later one {@code lateWorth * worth}. {@code zones} and {@code machineTypes} restrict the
     * class to these engines where not empty.
     */
    record RequestClassSettings(String name, long latencyTarget, double latencyTargetWorkFactor, long deadline,
                                double worth, double lateWorth, RetrySafety retrySafety,
                                DeduplicationScope keyScope, long keyWindow, boolean serialByKey,
                                int threads, boolean locksTables, boolean waitsForTableLock, List<String> zones,
                                List<String> machineTypes) { }

    /** A tenant's share of the requests, and its quota in requests a second over all fronts. */
    record Tenant(String name, double share, double quotaPerSecond) { }

    /** A type of machine that engines run on; {@code memory} in megabytes. */
    record MachineType(int cores, double memory) { }

    /** What the site permits the module to do. */
    record Permissions(int maxAttempts, boolean cancel, boolean concurrentAttempts, boolean probes,
                       boolean peerMessages, boolean retryAfter, long maxRetryAfter, boolean memoryGrants,
                       boolean priority) { }

    /**
     * Limits of the safety rules. A {@code retryAllowance} below 0 means that there is no retry budget; a
     * {@code keyCooldown} of 0 that a key needs no cool-down after an attempt with an unknown result.
     */
    record SafetyRules(long drainGrace, double coldCapacity, long warmUpTime, double overloadMultiple,
                       long overloadWindow, long keyCooldown, double retryAllowance, double retriesPerRequest,
                       long retryWindow) { }

    /**
     * The settings of a front, fixed at start. {@code memoryGrantCap} is the largest share of an engine's memory that
     * one query gets; {@code overShareWorth} is the part of its worth that a request beyond its tenant's share keeps;
     * {@code subscriptionRequired} is true where the engine list must be subscribed to; {@code statusInterval} is
     * the time between status updates on an attempt, 0 if there are none; {@code clientsMarkRetries} is true where
     * clients mark the requests that they repeat; {@code probeCost} is the cost of one probe for each request, as
     * a part of the worth of the requests.
     */
    record Settings(int frontIndex, int frontCount, String zone, List<RequestClassSettings> requestClasses,
                    List<Tenant> tenants, Map<String, MachineType> machineTypes, Permissions permissions,
                    SafetyRules safetyRules, double overShareWorth, double memoryGrantCap,
                    boolean subscriptionRequired, long statusInterval, boolean clientsMarkRetries,
                    double probeCost) {
        /** Rejects settings that contradict each other. */
        public Settings {
            require(frontCount >= 1 && frontIndex >= 0, "a front needs an index and a group of at least one front");
            require(!requestClasses.isEmpty(), "no class of requests is configured");
            require(permissions.maxAttempts() >= 1, "at least one attempt must be permitted");
            require(safetyRules.coldCapacity() >= 0 && safetyRules.coldCapacity() <= 1,
                    "the capacity of a cold engine must lie between 0 and 1");
            require(safetyRules.retryAllowance() < 0 || safetyRules.retryWindow() > 0,
                    "a retry budget needs a window");
            require(statusInterval >= 0, "the interval of status updates must not be negative");
            for (RequestClassSettings settings : requestClasses) {
                require(settings.latencyTarget() > 0 && settings.deadline() > 0 && settings.threads() >= 1,
                        "class " + settings.name() + " needs a latency target, a deadline and at least one thread");
            }
        }

        /** Returns the same settings for engines that report neither their load nor the status of attempts. */
        public Settings withoutReports() {
            Permissions p = permissions;
            Permissions withoutProbes = new Permissions(p.maxAttempts(), p.cancel(), p.concurrentAttempts(), false,
                    p.peerMessages(), p.retryAfter(), p.maxRetryAfter(), p.memoryGrants(), p.priority());
            return new Settings(frontIndex, frontCount, zone, requestClasses, tenants, machineTypes, withoutProbes,
                    safetyRules, overShareWorth, memoryGrantCap, subscriptionRequired, 0, clientsMarkRetries,
                    probeCost);
        }

        private static void require(boolean satisfied, String message) {
            if (!satisfied) {
                throw new IllegalArgumentException(message);
            }
        }
    }
}
