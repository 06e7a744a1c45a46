package cairnline.control;

import static cairnline.control.ScriptedFront.MILLI_NANOS;
import static cairnline.control.ScriptedFront.SECOND_NANOS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.RetrySafety;
import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.StatusKind;
import cairnline.control.ControlApi.Outcome;
import cairnline.control.ScriptedFront.TestSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Many fronts, each of which gets little information on many engines. */
class LargeFleetTest {
    private static final int FRONTS = 300;
    private static final int ENGINES = 60;
    private final TestSettings settings = new TestSettings();

    private List<ScriptedFront> fronts() {
        settings.fronts = FRONTS;
        List<ScriptedFront> all = new ArrayList<>();
        for (int i = 0; i < FRONTS; i++) {
            all.add(new ScriptedFront(settings, 100 * SECOND_NANOS, 1000 + i));
        }
        return all;
    }

    private static String[] engineIds(int count) {
        String[] ids = new String[count];
        for (int i = 0; i < count; i++) {
            ids[i] = "e" + i;
        }
        return ids;
    }

    /** Returns the times of sends to each engine; each front gets five light queries a second for four seconds. */
    private static Map<String, List<Long>> sends(List<ScriptedFront> fronts, List<Engine> list) {
        fronts.forEach(front -> front.control.onEngineList(front.now, true, list));
        SplittableRandom random = new SplittableRandom(7);
        Map<String, List<Long>> sends = new HashMap<>();
        for (int tick = 0; tick < 800; tick++) {
            for (ScriptedFront front : fronts) {
                front.now += 5 * MILLI_NANOS;
                if (random.nextInt(40) == 0) {
                    String id = "q" + tick;
                    front.request(id, "small");
                    String engine = front.engineOf(id);
                    if (engine != null) {
                        sends.computeIfAbsent(engine, e -> new ArrayList<>()).add(front.now);
                    }
                }
            }
        }
        return sends;
    }

    /**
     * The initial work of "small" is 0.3 s; a cold engine can do at least 0.4 x 8 cores x 2 s of work in a window, and
     * is overloaded beyond twice that.
     */
    private static void assertWithinColdLimit(List<Long> sendTimes) {
        double maxSends = 2 * 0.4 * 8 * 2 / 0.3;
        for (int from = 0, to = 0; to < sendTimes.size(); to++) {
            while (sendTimes.get(from) <= sendTimes.get(to) - 2 * SECOND_NANOS) {
                from++;
            }
            assertTrue(to - from + 1 <= maxSends, (to - from + 1) + " sends in a window");
        }
    }

    @Test
    void sendsColdEnginesTheirShareInEveryWindow() {
        List<Engine> list = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            list.add(ScriptedFront.engine("e" + i, EngineStatus.READY, "plain", i % 3 == 0 ? 100 * SECOND_NANOS : 0));
        }
        Map<String, List<Long>> sends = sends(fronts(), list);
        for (int i = 0; i < ENGINES; i += 3) {
            assertTrue(sends.containsKey("e" + i), "e" + i + " got nothing");
            assertWithinColdLimit(sends.get("e" + i));
        }
    }

    @Test
    void doesNotOverloadColdEngineThatIsTheOnlyOne() {
        List<Engine> list = List.of(ScriptedFront.engine("e0", EngineStatus.READY, "plain", 100 * SECOND_NANOS));
        assertWithinColdLimit(sends(fronts(), list).get("e0"));
        settings.fronts = 3;
        List<ScriptedFront> few = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            few.add(new ScriptedFront(settings, 100 * SECOND_NANOS, i));
        }
        assertWithinColdLimit(sends(few, list).get("e0"));
    }

    @Test
    void spreadsFirstQueriesOfManyFrontsOverEngines() {
        Map<String, Integer> sends = new HashMap<>();
        for (ScriptedFront front : fronts()) {
            front.listEngines(engineIds(ENGINES));
            front.request("a", "small");
            sends.merge(front.engineOf("a"), 1, Integer::sum);
        }
        assertTrue(sends.size() > ENGINES * 3 / 4, "engines used: " + sends.size());
        sends.forEach((engine, count) -> assertTrue(count <= 20, engine + " got " + count));
    }

    @Test
    void doesNotTreatEngineAsFullAfterOneLightQuery() {
        settings.fronts = FRONTS;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        for (int i = 0; i < 5; i++) {
            front.request("a" + i, "small");
        }
        assertEquals(5, front.countActions("send"));
    }

    @Test
    void keepsAllEnginesInUseWhenAThirdOfResponsesIsReset() {
        settings.fronts = FRONTS;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines(engineIds(12));
        Map<String, Integer> lateSends = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = "a" + i;
            front.request(id, "small");
            for (int n = 0; n < 3 && front.countActions("send " + id + " ") == n + 1; n++) {
                String engine = front.engineOf(id);
                if (i >= 300) {
                    lateSends.merge(engine, 1, Integer::sum);
                }
                front.advance(50 * MILLI_NANOS);
                boolean reset = (i + n) % 3 == 0;
                front.finish(id, n, engine, reset ? AttemptStatus.RESET : AttemptStatus.OK, 50 * MILLI_NANOS);
            }
            front.actions.clear();
        }
        assertTrue(lateSends.size() >= 11, "engines in use: " + lateSends.size());
        lateSends.forEach((engine, count) -> assertTrue(count <= 120, engine + " got " + count));
    }

    /** Sends eight queries, ends those at e1 with a status at once, and counts its share of the next forty. */
    private long sendsAfterLoss(ScriptedFront front, AttemptStatus status, boolean probed) {
        front.listEngines("e1", "e2");
        for (int i = 0; i < 8; i++) {
            front.request("a" + i, "small");
        }
        front.advance(50 * MILLI_NANOS);
        for (int i = 0; i < 8; i++) {
            if (front.engineOf("a" + i).equals("e1")) {
                front.finish("a" + i, 0, "e1", status, 50 * MILLI_NANOS);
            }
        }
        if (probed) {
            front.control.onProbeResult(front.now, "e1", true, MILLI_NANOS, Load.NONE);
        }
        front.actions.clear();
        for (int i = 0; i < 40; i++) {
            front.request("b" + i, "small");
            front.advance(50 * MILLI_NANOS);
            front.finish("b" + i, 0, front.engineOf("b" + i), AttemptStatus.OK, 50 * MILLI_NANOS);
        }
        return front.actions.stream().filter(a -> a.matches("send b[0-9]+ e1.*")).count();
    }

    @Test
    void keepsUsingEngineAfterOneConnectionLoss() {
        settings.maxAttempts = 1;
        assertTrue(sendsAfterLoss(new ScriptedFront(settings), AttemptStatus.RESET, false) >= 8);
    }

    @Test
    void usesEngineAgainAfterAnsweredProbe() {
        settings.maxAttempts = 1;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 4; i++) {
            front.request("c" + i, "small");
            front.advance(300 * MILLI_NANOS);
            front.finish("c" + i, 0, front.engineOf("c" + i),
                    front.engineOf("c" + i).equals("e1") ? AttemptStatus.CONNECT_FAILED : AttemptStatus.OK, MILLI_NANOS);
        }
        assertTrue(sendsAfterLoss(front, AttemptStatus.CONNECT_FAILED, true) >= 8);
    }

    @Test
    void probesEachEngineRegularly() {
        settings.probes = true;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.advance(10 * SECOND_NANOS);
        assertTrue(Math.abs(front.countActions("probe e1") - 10) <= 2, "probes of e1: " + front.countActions("probe e1"));
        assertTrue(Math.abs(front.countActions("probe e2") - 10) <= 2, "probes of e2: " + front.countActions("probe e2"));
    }

    @Test
    void doesNotBlameEnginesForRequestsThatNoneCanServe() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2", "e3");
        for (int i = 0; i < 10; i++) {
            front.request("a" + i, "small");
            for (int n = 0; n < 3 && front.countActions("send a" + i + " ") == n + 1; n++) {
                front.advance(5 * MILLI_NANOS);
                front.finish("a" + i, n, front.engineOf("a" + i), AttemptStatus.ERROR, 5 * MILLI_NANOS);
            }
        }
        front.actions.clear();
        for (int i = 0; i < 60; i++) {
            front.request("b" + i, "small");
            front.advance(50 * MILLI_NANOS);
            front.finish("b" + i, 0, front.engineOf("b" + i), AttemptStatus.OK, 50 * MILLI_NANOS);
        }
        for (String engine : List.of("e1", "e2", "e3")) {
            assertTrue(front.actions.stream().filter(a -> a.matches("send b[0-9]+ " + engine + ".*")).count() >= 8, engine);
        }
    }

    @Test
    void setsNoAttemptTimeoutWithoutLostResponses() {
        settings.cancel = true;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 60; i++) {
            front.request("a" + i, "small");
            assertEquals(0, front.attemptTimeouts.get("a" + i));
            front.advance(80 * MILLI_NANOS);
            front.finish("a" + i, 0, front.engineOf("a" + i), AttemptStatus.OK, 80 * MILLI_NANOS);
        }
    }

    @Test
    void retriesKeyedRequestOnlyWithinItsWindow() {
        settings.cancel = true;
        settings.retrySafety = RetrySafety.KEYED;
        settings.keyWindow = 2 * SECOND_NANOS;
        settings.maxAttempts = 6;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2", "e3");
        for (int i = 0; i < 200; i++) {
            String id = "a" + i;
            front.request(id, "small");
            long first = front.now;
            for (int n = 0; n < 6 && front.countActions("send " + id + " ") == n + 1; n++) {
                assertTrue(front.now < first + settings.keyWindow,
                        "attempt " + n + " after " + (front.now - first) / MILLI_NANOS + " ms");
                long elapsed = front.attemptTimeouts.get(id) > 0 ? front.attemptTimeouts.get(id) : 900 * MILLI_NANOS;
                front.advance(elapsed);
                front.finish(id, n, front.engineOf(id), AttemptStatus.TIMEOUT, elapsed);
            }
            front.actions.clear();
        }
    }

    @Test
    void refusesRequestWithTooShortTimeoutAtOnce() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines();
        front.request("a", "small", 20 * MILLI_NANOS);
        assertEquals(List.of("refuse a"), front.newActions());
        front.request("b", "small", 100 * MILLI_NANOS);
        front.advance(71 * MILLI_NANOS);
        assertEquals(List.of("refuse b"), front.newActions());
    }

    @Test
    void holdsRetryUntilAnEngineIsAvailable() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        front.request("a", "small");
        front.updateEngine(ScriptedFront.engine("e1", EngineStatus.DRAINING, "plain", 0));
        front.finish("a", 0, "e1", AttemptStatus.FULL, MILLI_NANOS);
        front.advance(100 * MILLI_NANOS);
        assertEquals(List.of("send a e1"), front.newActions());
        front.listEngines("e2");
        assertEquals(List.of("send a e2"), front.newActions());
    }

    @Test
    void treatsEngineWithOvercommittedMemoryAsFull() {
        settings.fronts = FRONTS;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "small");
        String overcommitted = front.engineOf("a");
        front.advance(50 * MILLI_NANOS);
        Load load = new Load(0.2, 0, Double.NaN, 2, 0.2);
        front.control.onOutcome(front.now,
                new Outcome("a", 0, overcommitted, AttemptStatus.OK, 50 * MILLI_NANOS, true, 0, 0, load));
        for (int i = 0; i < 6; i++) {
            front.request("b" + i, "small");
            assertNotEquals(overcommitted, front.engineOf("b" + i));
        }
    }

    /** Guards against two thirds of all queries spilling where answers do not report the memory needed. */
    @Test
    void raisesMemoryGrantAfterSpills() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 10; i++) {
            front.requestWithMemory("a" + i, "big", 400);
            front.statusUpdate("a" + i, 0, StatusKind.SPILL, 100);
            front.finish("a" + i, 0, front.engineOf("a" + i), AttemptStatus.OK, 300 * MILLI_NANOS);
        }
        front.requestWithMemory("x", "big", 400);
        assertTrue(front.actions.contains("options x 621 1"), front.actions.toString());
    }

    /** Guards against late queries that occupy their engines until the client's timeout although they earn nothing. */
    @Test
    void timesOutAttemptsWhoseLateAnswerEarnsNothing() {
        settings.cancel = true;
        settings.clientsMarkRetries = true;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "small");
        assertEquals(600 * MILLI_NANOS, front.attemptTimeouts.get("a"));
        front.request("b", "big");
        assertEquals(0, front.attemptTimeouts.get("b"), "a late answer of this class still earns something");
    }

    @Test
    void refusesRetryOfClientThatWaitedPastLatencyTarget() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "small");
        front.finish("a", 0, front.engineOf("a"), AttemptStatus.OK, 100 * MILLI_NANOS);
        front.newActions();
        front.control.onRequest(front.now,
                new ControlApi.Request("b", "small", "one", false, 0, 2 * SECOND_NANOS, 0, 0, -1, true));
        assertEquals(List.of("refuse b"), front.newActions());
        front.control.onRequest(front.now,
                new ControlApi.Request("c", "small", "one", false, 0, 3 * SECOND_NANOS, 0, 0, -1, true));
        assertEquals(1, front.countActions("send c"), "its timeout does not show that it is late");
    }

    @Test
    void retriesAttemptWithoutStatusUpdatesElsewhere() {
        settings.cancel = true;
        settings.statusInterval = 500 * MILLI_NANOS;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "big");
        front.advance(500 * MILLI_NANOS);
        front.progress("a", 0, front.engineOf("a"), 0.2);
        front.advance(600 * MILLI_NANOS);
        assertEquals(0, front.countActions("cancel"), "a status update is barely due");
        front.advance(500 * MILLI_NANOS);
        assertEquals(1, front.countActions("cancel a 0"));
        String silentEngine = front.engineOf("a");
        front.finish("a", 0, silentEngine, AttemptStatus.CANCELLED, 1600 * MILLI_NANOS);
        assertEquals(2, front.countActions("send a"));
        assertNotEquals(silentEngine, front.engineOf("a"));
    }

    @Test
    void doesNotCountOwnStallAsSilenceOfEngine() {
        settings.cancel = true;
        settings.statusInterval = 500 * MILLI_NANOS;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "big");
        front.now += 2 * SECOND_NANOS;
        front.control.onTimer(front.now, 1);
        front.progress("a", 0, front.engineOf("a"), 0.5);
        assertEquals(0, front.countActions("cancel"));
    }

    /** Guards against loads that wait for another load, are cancelled as hopeless and so fail. */
    @Test
    void doesNotCancelUnsafeRequestThatWaitsForLoad() {
        settings.cancel = true;
        settings.retrySafety = RetrySafety.UNSAFE;
        settings.statusInterval = 500 * MILLI_NANOS;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        front.request("a", "small");
        front.statusUpdate("a", 0, StatusKind.WAITS_LOAD, 2);
        for (int i = 0; i < 4; i++) {
            front.advance(500 * MILLI_NANOS);
            front.progress("a", 0, "e1", 0);
        }
        front.advance(500 * MILLI_NANOS);
        front.progress("a", 0, "e1", 0.55);
        assertEquals(0, front.countActions("cancel"));
    }

    @Test
    void movesQueryThatWaitsForLoadOnce() {
        settings.cancel = true;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "big");
        String firstEngine = front.engineOf("a");
        front.statusUpdate("a", 0, StatusKind.WAITS_LOAD, 2);
        assertEquals(1, front.countActions("cancel a 0"));
        front.finish("a", 0, firstEngine, AttemptStatus.CANCELLED, 5 * MILLI_NANOS);
        assertNotEquals(firstEngine, front.engineOf("a"));
        front.statusUpdate("a", 1, StatusKind.WAITS_LOAD, 2);
        assertEquals(0, front.countActions("cancel a 1"));
    }

    /** Without load reports, the front must detect an overload from its own delays alone. */
    @Test
    void refusesOnlyPartOfOverloadWithoutLoadReports() {
        settings.fronts = FRONTS;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2", "e3");
        for (int i = 0; i < 300; i++) {
            String id = "a" + i;
            front.request(id, "small");
            long rtt = i % 3 == 0 ? 400 * MILLI_NANOS : 900 * MILLI_NANOS;
            front.advance(rtt);
            if (front.countActions("send " + id + " ") == 1) {
                front.finish(id, 0, front.engineOf(id), AttemptStatus.OK, rtt);
            }
        }
        long refused = front.countActions("refuse");
        assertTrue(refused > 0 && refused < 300, "refused " + refused + " of 300");
    }
}
