package cairnline.program;

import cairnline.protocol.ClientFrames;
import cairnline.program.FrameClient.Call;
import cairnline.program.RecordingEngine.Attempt;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The rules of the service, checked over what clients and engines recorded. */
final class SoakInvariants {
    private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long GONE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long DEADLINE_SLACK_MS = 150;
    private static final long GIVEN_UP_SLACK_MS = 50;

    private final List<Attempt> attempts = new ArrayList<>();
    private final List<SoakClient> clients;
    private final Map<String, Long> drainedAt;
    private final boolean crowded;
    private final StallMonitor monitor;
    private final Set<String> attempted = new HashSet<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, FrameClient> connections = new HashMap<>();

    SoakInvariants(List<RecordingEngine> engines, List<SoakClient> clients, Map<String, Long> drainedAt,
                boolean crowded, StallMonitor monitor) {
        engines.forEach(engine -> attempts.addAll(engine.attempts()));
        attempts.sort(Comparator.comparingLong(attempt -> attempt.arrivedAt));
        this.clients = clients;
        this.drainedAt = drainedAt;
        this.crowded = crowded;
        this.monitor = monitor;
        attempts.forEach(attempt -> attempted.add(attempt.id));
        for (SoakClient client : clients) {
            for (FrameClient connection : client.connections()) {
                for (Call call : connection.calls()) {
                    calls.put(call.id, call);
                    connections.put(call.id, connection);
                }
            }
        }
    }

    /** Adds a line for each rule that is broken. */
    void check(List<String> broken) {
        for (SoakClient client : clients) {
            for (FrameClient connection : client.connections()) {
                connection.calls().forEach(call -> checkAnswer(connection, call, broken));
            }
        }
        attempts.forEach(attempt -> checkAttempt(attempt, broken));
        checkUnsafe(broken);
        checkOrder(broken);
    }

    private void checkAnswer(FrameClient connection, Call call, List<String> broken) {
        if (call.answers > 1) {
            broken.add(call.id + ": " + call.answers + " answers");
        }
        if (call.code.isDone()) {
            checkRows(call, broken);
            return;
        }
        boolean cancelled = call.cancelledAt > 0;
        if (call.writtenAt == 0 || cancelled || crowded && isShutUnread(connection)) {
            return;
        }
        boolean closedByClient = connection.closedAt() > 0
                && (!connection.ended().isDone() || connection.closedAt() <= connection.ended().join());
        boolean crossed = connection.ended().isDone() && call.writtenAt > connection.ended().join() - CROSSING_NANOS;
        if (!closedByClient && !crossed) {
            broken.add(call.id + " (" + call.type + ", " + call.ttlMs + " ms): no answer, "
                    + (connection.ended().isDone() ? "its connection ended after "
                    + (connection.ended().join() - call.writtenAt) / 1_000_000 + " ms" : "its connection is open")
                    + attemptsOf(call));
        }
    }

    /** Whether a new connection was turned away in a crowd: nothing was heard there, and nothing of it went out. */
    private boolean isShutUnread(FrameClient connection) {
        return connection.ended().isDone() && !connection.hasHeard()
                && connection.calls().stream().noneMatch(call -> attempted.contains(call.id));
    }

    private String attemptsOf(Call call) {
        StringBuilder text = new StringBuilder();
        attempts.stream().filter(attempt -> attempt.id.equals(call.id)).forEach(attempt -> text.append(", at ")
                .append(attempt.engine).append(" after ").append((attempt.arrivedAt - call.writtenAt) / 1_000_000).append(" ms"));
        return text.toString();
    }

    private static void checkRows(Call call, List<String> broken) {
        boolean served = call.code.join() == ClientFrames.CODE_SERVED;
        String one = "row-of-" + call.id + "\t\t\n";
        String two = one + "page-of-" + call.id + "\t\t\n";
        if (served && !call.rows.equals(one) && !call.rows.equals(two)) {
            broken.add(call.id + ": served with rows that no engine made: " + call.rows);
        }
    }

    private void checkAttempt(Attempt attempt, List<String> broken) {
        Call call = calls.get(attempt.id);
        if (call == null) {
            broken.add(attempt.id + ": no client asked it");
            return;
        }
        Long drained = drainedAt.get(attempt.engine);
        if (drained != null && attempt.arrivedAt > drained) {
            broken.add(attempt.id + ": at a draining engine " + (attempt.arrivedAt - drained) / 1_000_000 + " ms late");
        }
        long left = connections.get(attempt.id).leftAt();
        long gone = call.cancelledAt > 0 && left > 0 ? Math.min(left, call.cancelledAt) : Math.max(left, call.cancelledAt);
        if (gone > 0 && attempt.arrivedAt - monitor.between(gone, attempt.arrivedAt) > gone + GONE_NANOS) {
            broken.add(attempt.id + ": begun " + (attempt.arrivedAt - gone) / 1_000_000 + " ms after its client had gone, stalled "
                    + monitor.between(gone, attempt.arrivedAt) / 1_000_000);
        }
        if (call.writtenAt > 0) {
            long passed = attempt.arrivedAt - call.writtenAt - monitor.between(call.writtenAt, attempt.arrivedAt);
            long leftMs = call.ttlMs - passed / 1_000_000;
            if (attempt.maxMs > leftMs + DEADLINE_SLACK_MS) {
                broken.add(attempt.id + ": max " + attempt.maxMs + " ms with " + leftMs + " ms left");
            }
        }
    }

    /** A request that is unsafe to repeat is sent again only where the attempt before surely never ran. */
    private void checkUnsafe(List<String> broken) {
        Map<String, Attempt> before = new HashMap<>();
        for (Attempt attempt : attempts) {
            Attempt earlier = attempt.profile.equals("once") ? before.put(attempt.id, attempt) : null;
            if (earlier != null && !earlier.neverRan) {
                broken.add(attempt.id + ": sent again though it may have run");
            }
        }
    }

    /** Attempts of two requests with one key never overlap. */
    private void checkOrder(List<String> broken) {
        Map<String, List<Attempt>> byKey = new HashMap<>();
        for (Attempt attempt : attempts) {
            Call call = calls.get(attempt.id);
            if (call == null || call.key == null) {
                continue;
            }
            List<Attempt> earlier = byKey.computeIfAbsent(call.key, key -> new ArrayList<>());
            for (Attempt other : earlier) {
                boolean running = other.endedAt == 0 || other.endedAt > attempt.arrivedAt;
                boolean over = timeIsUp(other, attempt.arrivedAt);
                if (!other.id.equals(attempt.id) && running && !over) {
                    broken.add(attempt.id + ": begun while " + other.id + " of its key was out");
                }
            }
            earlier.add(attempt);
        }
    }

    /** Whether the time that the engine was given has passed: the manager has given it up by then. */
    private static boolean timeIsUp(Attempt attempt, long at) {
        return at > attempt.arrivedAt + TimeUnit.MILLISECONDS.toNanos(attempt.maxMs - GIVEN_UP_SLACK_MS);
    }
}
