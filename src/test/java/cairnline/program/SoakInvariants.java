package cairnline.program;

import cairnline.protocol.ClientFrames;
import cairnline.program.FrameClient.Call;
import cairnline.program.RecordedTraffic.WrittenAttempt;
import cairnline.program.RecordingEngine.Attempt;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Checks the rules of the service against what clients and engines recorded in a soak run. */
final class SoakInvariants {
    /** A request written this shortly before its connection closed may have crossed the close and needs no answer. */
    private static final long CROSSING_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** How long after its client has gone, or has cancelled it, an attempt of a request may still begin. */
    private static final long ABANDONED_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** By how much the time limit of an attempt may exceed the time left to the client's deadline, as measured here. */
    private static final long DEADLINE_TOLERANCE_MILLIS = 150;
    /** The manager may give an attempt up this long before its time limit has passed at the engine. */
    private static final long GIVE_UP_TOLERANCE_MILLIS = 50;

    private final List<Attempt> attempts = new ArrayList<>();
    private final List<SoakClient> clients;
    private final Map<String, Long> drainDeadlines;
    private final boolean connectionsFlooded;
    private final List<WrittenAttempt> writtenAttempts;
    private final Set<String> attemptedIds = new HashSet<>();
    private final Map<String, Call> callsById = new HashMap<>();
    private final Map<String, FrameClient> connectionsById = new HashMap<>();

    SoakInvariants(List<RecordingEngine> engines, List<SoakClient> clients, Map<String, Long> drainDeadlines,
            boolean connectionsFlooded, List<WrittenAttempt> writtenAttempts) {
        engines.forEach(engine -> attempts.addAll(engine.attempts()));
        attempts.sort(Comparator.comparingLong(attempt -> attempt.arrivedAt));
        this.clients = clients;
        this.drainDeadlines = drainDeadlines;
        this.connectionsFlooded = connectionsFlooded;
        this.writtenAttempts = writtenAttempts;
        attempts.forEach(attempt -> attemptedIds.add(attempt.id));
        for (SoakClient client : clients) {
            for (FrameClient connection : client.connections()) {
                for (Call call : connection.calls()) {
                    callsById.put(call.id, call);
                    connectionsById.put(call.id, connection);
                }
            }
        }
    }

    /** Adds a line for each violation found. */
    void check(List<String> violations) {
        for (SoakClient client : clients) {
            for (FrameClient connection : client.connections()) {
                connection.calls().forEach(call -> checkAnswer(connection, call, violations));
            }
        }
        attempts.forEach(attempt -> checkArrivedAttempt(attempt, violations));
        writtenAttempts.forEach(attempt -> checkWrittenAttempt(attempt, violations));
        checkUnsafeRequests(violations);
        checkOrderingKeys(violations);
    }

    private void checkAnswer(FrameClient connection, Call call, List<String> violations) {
        if (call.answerCount > 1) {
            violations.add(call.id + ": " + call.answerCount + " answers");
        }
        if (call.code.isDone()) {
            checkRows(call, violations);
            return;
        }
        boolean cancelled = call.cancelledAt > 0;
        if (call.writtenAt == 0 || cancelled || connectionsFlooded && isRejectedUnread(connection)) {
            return;
        }
        boolean closedByClient = connection.closedAt() > 0
                && (!connection.endOfStream().isDone() || connection.closedAt() <= connection.endOfStream().join());
        boolean crossed = connection.endOfStream().isDone()
                && call.writtenAt > connection.endOfStream().join() - CROSSING_TOLERANCE_NANOS;
        if (!closedByClient && !crossed) {
            violations.add(call.id + " (" + call.requestClass + ", " + call.timeoutMillis + " ms): not answered, "
                    + (connection.endOfStream().isDone() ? "connection closed after "
                    + (connection.endOfStream().join() - call.writtenAt) / 1_000_000 + " ms" : "connection still open")
                    + describeAttempts(call));
        }
    }

    /**
     * Returns whether a connection was rejected in a connection flood before anything was read from it: no frame was received
     * on it, and no request from it was attempted.
     */
    private boolean isRejectedUnread(FrameClient connection) {
        return connection.endOfStream().isDone() && !connection.hasReceivedFrame()
                && connection.calls().stream().noneMatch(call -> attemptedIds.contains(call.id));
    }

    private String describeAttempts(Call call) {
        StringBuilder text = new StringBuilder();
        attempts.stream().filter(attempt -> attempt.id.equals(call.id)).forEach(attempt -> text.append(", at ")
                .append(attempt.engine).append(" after ").append((attempt.arrivedAt - call.writtenAt) / 1_000_000).append(" ms"));
        return text.toString();
    }

    private static void checkRows(Call call, List<String> violations) {
        boolean served = call.code.join() == ClientFrames.CODE_SERVED;
        String onePage = "row-of-" + call.id + "\t\t\n";
        String twoPages = onePage + "page-of-" + call.id + "\t\t\n";
        if (served && !call.rows.equals(onePage) && !call.rows.equals(twoPages)) {
            violations.add(call.id + ": served with rows that no engine returned: " + call.rows);
        }
    }

    private void checkArrivedAttempt(Attempt attempt, List<String> violations) {
        Call call = callsById.get(attempt.id);
        if (call == null) {
            violations.add(attempt.id + ": attempted but not requested by any client");
            return;
        }
        Long drainDeadline = drainDeadlines.get(attempt.engine);
        if (drainDeadline != null && attempt.arrivedAt > drainDeadline) {
            violations.add(attempt.id + ": attempted at a draining engine "
                    + (attempt.arrivedAt - drainDeadline) / 1_000_000 + " ms late");
        }
    }

    /** Checks what depends on when the manager wrote an attempt, whether or not it reached an engine. */
    private void checkWrittenAttempt(WrittenAttempt attempt, List<String> violations) {
        Call call = callsById.get(attempt.id());
        if (call == null) {
            violations.add(attempt.id() + ": attempted but not requested by any client");
            return;
        }
        long outputClosedAt = connectionsById.get(attempt.id()).outputClosedAt();
        // The earlier of the two times, or the one that is set; 0 if neither is.
        long abandonedAt = call.cancelledAt > 0 && outputClosedAt > 0
                ? Math.min(outputClosedAt, call.cancelledAt) : Math.max(outputClosedAt, call.cancelledAt);
        if (abandonedAt > 0 && attempt.writtenAt() > abandonedAt + ABANDONED_TOLERANCE_NANOS) {
            violations.add(attempt.id() + ": attempt started " + (attempt.writtenAt() - abandonedAt) / 1_000_000
                    + " ms after its client had gone or cancelled it");
        }
        if (call.writtenAt > 0) {
            long remainingMillis = call.timeoutMillis - (attempt.writtenAt() - call.writtenAt) / 1_000_000;
            if (attempt.timeLimitMillis() > remainingMillis + DEADLINE_TOLERANCE_MILLIS) {
                violations.add(attempt.id() + ": time limit " + attempt.timeLimitMillis() + " ms, time to the deadline "
                        + remainingMillis + " ms");
            }
        }
    }

    /** Checks that a request that is unsafe to repeat is retried only if the previous attempt certainly never ran. */
    private void checkUnsafeRequests(List<String> violations) {
        Map<String, Attempt> previousAttempts = new HashMap<>();
        for (Attempt attempt : attempts) {
            Attempt previous = attempt.profile.equals("once") ? previousAttempts.put(attempt.id, attempt) : null;
            if (previous != null && !previous.neverRan) {
                violations.add(attempt.id + ": retried although the previous attempt may have run");
            }
        }
    }

    /** Checks that attempts of different requests with the same ordering key never overlap. */
    private void checkOrderingKeys(List<String> violations) {
        Map<String, List<Attempt>> byKey = new HashMap<>();
        for (Attempt attempt : attempts) {
            Call call = callsById.get(attempt.id);
            if (call == null || call.orderingKey == null) {
                continue;
            }
            List<Attempt> earlierAttempts = byKey.computeIfAbsent(call.orderingKey, key -> new ArrayList<>());
            for (Attempt other : earlierAttempts) {
                boolean stillRunning = other.endedAt == 0 || other.endedAt > attempt.arrivedAt;
                boolean timedOut = isPastTimeLimit(other, attempt.arrivedAt);
                if (!other.id.equals(attempt.id) && stillRunning && !timedOut) {
                    violations.add(attempt.id + ": attempt started while " + other.id
                            + " with the same ordering key was running");
                }
            }
            earlierAttempts.add(attempt);
        }
    }

    /** Returns whether the attempt's time limit has passed, so that the manager has given the attempt up. */
    private static boolean isPastTimeLimit(Attempt attempt, long timeNanos) {
        return timeNanos > attempt.arrivedAt
                + TimeUnit.MILLISECONDS.toNanos(attempt.timeLimitMillis - GIVE_UP_TOLERANCE_MILLIS);
    }
}
