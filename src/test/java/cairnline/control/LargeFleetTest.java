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

/** Many fronts that each see little of many engines. */
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

    private static String[] engines(int count) {
        String[] ids = new String[count];
        for (int i = 0; i < count; i++) {
            ids[i] = "e" + i;
        }
        return ids;
    }

    /** Times of sends to each engine; each front takes five light queries a second for four seconds. */
    private static Map<String, List<Long>> sends(List<ScriptedFront> fronts, List<Engine> list) {
        fronts.forEach(s -> s.control.onEngineList(s.now, true, list));
        SplittableRandom random = new SplittableRandom(7);
        Map<String, List<Long>> sends = new HashMap<>();
        for (int tick = 0; tick < 800; tick++) {
            for (ScriptedFront s : fronts) {
                s.now += 5 * MILLI_NANOS;
                if (random.nextInt(40) == 0) {
                    String id = "q" + tick;
                    s.request(id, "small");
                    String engine = s.engineOf(id);
                    if (engine != null) {
                        sends.computeIfAbsent(engine, e -> new ArrayList<>()).add(s.now);
                    }
                }
            }
        }
        return sends;
    }

    /**
     * Usual work of "small" is taken as 0.3 s while none is known; a new engine does at least 0.4 x 8 cores x 2 s,
     * and falls over beyond twice that.
     */
    private static void assertUnderTheColdRule(List<Long> at) {
        double most = 2 * 0.4 * 8 * 2 / 0.3;
        for (int from = 0, to = 0; to < at.size(); to++) {
            while (at.get(from) <= at.get(to) - 2 * SECOND_NANOS) {
                from++;
            }
            assertTrue(to - from + 1 <= most, (to - from + 1) + " sends in a window");
        }
    }

    @Test
    void newEnginesGetTheirPartOfAllFrontsInEveryWindow() {
        List<Engine> list = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            list.add(ScriptedFront.engine("e" + i, EngineStatus.READY, "plain", i % 3 == 0 ? 100 * SECOND_NANOS : 0));
        }
        Map<String, List<Long>> sends = sends(fronts(), list);
        for (int i = 0; i < ENGINES; i += 3) {
            assertTrue(sends.containsKey("e" + i), "e" + i + " got nothing");
            assertUnderTheColdRule(sends.get("e" + i));
        }
    }

    @Test
    void newEnginesAreNotPushedOverWhenTheyAreAllThereIs() {
        List<Engine> list = List.of(ScriptedFront.engine("e0", EngineStatus.READY, "plain", 100 * SECOND_NANOS));
        assertUnderTheColdRule(sends(fronts(), list).get("e0"));
        settings.fronts = 3;
        List<ScriptedFront> few = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            few.add(new ScriptedFront(settings, 100 * SECOND_NANOS, i));
        }
        assertUnderTheColdRule(sends(few, list).get("e0"));
    }

    @Test
    void frontsThatHaveHeardNothingSpreadOverTheEngines() {
        Map<String, Integer> sends = new HashMap<>();
        for (ScriptedFront s : fronts()) {
            s.listEngines(engines(ENGINES));
            s.request("a", "small");
            sends.merge(s.engineOf("a"), 1, Integer::sum);
        }
        assertTrue(sends.size() > ENGINES * 3 / 4, "engines used: " + sends.size());
        sends.forEach((engine, count) -> assertTrue(count <= 20, engine + " got " + count));
    }

    @Test
    void oneLightQueryOutDoesNotMakeAnEngineFull() {
        settings.fronts = FRONTS;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        for (int i = 0; i < 5; i++) {
            s.request("a" + i, "small");
        }
        assertEquals(5, s.countActions("send"));
    }

    @Test
    void aThirdOfAnswersResetLeavesTheFleetInUse() {
        settings.fronts = FRONTS;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines(engines(12));
        Map<String, Integer> late = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = "a" + i;
            s.request(id, "small");
            for (int n = 0; n < 3 && s.countActions("send " + id + " ") == n + 1; n++) {
                String engine = s.engineOf(id);
                if (i >= 300) {
                    late.merge(engine, 1, Integer::sum);
                }
                s.advance(50 * MILLI_NANOS);
                boolean reset = (i + n) % 3 == 0;
                s.finish(id, n, engine, reset ? AttemptStatus.RESET : AttemptStatus.OK, 50 * MILLI_NANOS);
            }
            s.actions.clear();
        }
        assertTrue(late.size() >= 11, "engines in use: " + late.size());
        late.forEach((engine, count) -> assertTrue(count <= 120, engine + " got " + count));
    }

    /** Takes eight, lets those at one engine end so at once, and counts what it gets of the next forty. */
    private long afterLossAt(ScriptedFront s, AttemptStatus end, boolean probed) {
        s.listEngines("e1", "e2");
        for (int i = 0; i < 8; i++) {
            s.request("a" + i, "small");
        }
        s.advance(50 * MILLI_NANOS);
        for (int i = 0; i < 8; i++) {
            if (s.engineOf("a" + i).equals("e1")) {
                s.finish("a" + i, 0, "e1", end, 50 * MILLI_NANOS);
            }
        }
        if (probed) {
            s.control.onProbeResult(s.now, "e1", true, MILLI_NANOS, Load.NONE);
        }
        s.actions.clear();
        for (int i = 0; i < 40; i++) {
            s.request("b" + i, "small");
            s.advance(50 * MILLI_NANOS);
            s.finish("b" + i, 0, s.engineOf("b" + i), AttemptStatus.OK, 50 * MILLI_NANOS);
        }
        return s.actions.stream().filter(a -> a.matches("send b[0-9]+ e1.*")).count();
    }

    @Test
    void attemptsLostTogetherWithTheirConnectionLeaveTheEngineInUse() {
        settings.maxAttempts = 1;
        assertTrue(afterLossAt(new ScriptedFront(settings), AttemptStatus.RESET, false) >= 8);
    }

    @Test
    void anEngineThatAnswersAProbeIsThere() {
        settings.maxAttempts = 1;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 4; i++) {
            s.request("c" + i, "small");
            s.advance(300 * MILLI_NANOS);
            s.finish("c" + i, 0, s.engineOf("c" + i), s.engineOf("c" + i).equals("e1") ? AttemptStatus.CONNECT_FAILED : AttemptStatus.OK, MILLI_NANOS);
        }
        assertTrue(afterLossAt(s, AttemptStatus.CONNECT_FAILED, true) >= 8);
    }

    @Test
    void eachEngineIsAskedForItsLoadNowAndThen() {
        settings.probes = true;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.advance(10 * SECOND_NANOS);
        assertTrue(Math.abs(s.countActions("probe e1") - 10) <= 2, "probes of e1: " + s.countActions("probe e1"));
        assertTrue(Math.abs(s.countActions("probe e2") - 10) <= 2, "probes of e2: " + s.countActions("probe e2"));
    }

    @Test
    void whatNoEngineCanUseSpeaksAgainstNone() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2", "e3");
        for (int i = 0; i < 10; i++) {
            s.request("a" + i, "small");
            for (int n = 0; n < 3 && s.countActions("send a" + i + " ") == n + 1; n++) {
                s.advance(5 * MILLI_NANOS);
                s.finish("a" + i, n, s.engineOf("a" + i), AttemptStatus.ERROR, 5 * MILLI_NANOS);
            }
        }
        s.actions.clear();
        for (int i = 0; i < 60; i++) {
            s.request("b" + i, "small");
            s.advance(50 * MILLI_NANOS);
            s.finish("b" + i, 0, s.engineOf("b" + i), AttemptStatus.OK, 50 * MILLI_NANOS);
        }
        for (String engine : List.of("e1", "e2", "e3")) {
            assertTrue(s.actions.stream().filter(a -> a.matches("send b[0-9]+ " + engine + ".*")).count() >= 8, engine);
        }
    }

    @Test
    void withoutLostAnswersNoAttemptIsCutShort() {
        settings.cancel = true;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 60; i++) {
            s.request("a" + i, "small");
            assertEquals(0, s.attemptTimeouts.get("a" + i));
            s.advance(80 * MILLI_NANOS);
            s.finish("a" + i, 0, s.engineOf("a" + i), AttemptStatus.OK, 80 * MILLI_NANOS);
        }
    }

    @Test
    void aRepeatedKeyedLoadNeverLeavesItsWindow() {
        settings.cancel = true;
        settings.retrySafety = RetrySafety.KEYED;
        settings.keyWindow = 2 * SECOND_NANOS;
        settings.maxAttempts = 6;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2", "e3");
        for (int i = 0; i < 200; i++) {
            String id = "a" + i;
            s.request(id, "small");
            long first = s.now;
            for (int n = 0; n < 6 && s.countActions("send " + id + " ") == n + 1; n++) {
                assertTrue(s.now < first + settings.keyWindow, "attempt " + n + " after " + (s.now - first) / MILLI_NANOS + " ms");
                long taken = s.attemptTimeouts.get(id) > 0 ? s.attemptTimeouts.get(id) : 900 * MILLI_NANOS;
                s.advance(taken);
                s.finish(id, n, s.engineOf(id), AttemptStatus.TIMEOUT, taken);
            }
            s.actions.clear();
        }
    }

    @Test
    void aRequestWithHardlyAnyTimeIsAnsweredAtOnce() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines();
        s.request("a", "small", 20 * MILLI_NANOS);
        assertEquals(List.of("refuse a"), s.newActions());
        s.request("b", "small", 100 * MILLI_NANOS);
        s.advance(71 * MILLI_NANOS);
        assertEquals(List.of("refuse b"), s.newActions());
    }

    @Test
    void aFurtherAttemptWaitsForAnEngine() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        s.request("a", "small");
        s.updateEngine(ScriptedFront.engine("e1", EngineStatus.DRAINING, "plain", 0));
        s.finish("a", 0, "e1", AttemptStatus.FULL, MILLI_NANOS);
        s.advance(100 * MILLI_NANOS);
        assertEquals(List.of("send a e1"), s.newActions());
        s.listEngines("e2");
        assertEquals(List.of("send a e2"), s.newActions());
    }

    @Test
    void anEngineWhoseMemoryIsOvercommittedIsFullThoughItsCoresIdle() {
        settings.fronts = FRONTS;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "small");
        String jammed = s.engineOf("a");
        s.advance(50 * MILLI_NANOS);
        Load load = new Load(0.2, 0, Double.NaN, 2, 0.2);
        s.control.onOutcome(s.now, new Outcome("a", 0, jammed, AttemptStatus.OK, 50 * MILLI_NANOS, true, 0, 0, load));
        for (int i = 0; i < 6; i++) {
            s.request("b" + i, "small");
            assertNotEquals(jammed, s.engineOf("b" + i));
        }
    }

    /** Once two thirds of all queries spilt where answers do not tell the memory needed. */
    @Test
    void spillsRaiseTheMemoryGrantedOverEstimatesThatLieTooLow() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 10; i++) {
            s.requestWithMemory("a" + i, "big", 400);
            s.statusUpdate("a" + i, 0, StatusKind.SPILL, 100);
            s.finish("a" + i, 0, s.engineOf("a" + i), AttemptStatus.OK, 300 * MILLI_NANOS);
        }
        s.requestWithMemory("x", "big", 400);
        assertTrue(s.actions.contains("options x 621 1"), s.actions.toString());
    }

    /** Late queries that earned nothing once held their engines until the client's patience ended. */
    @Test
    void workThatEarnsNothingLateIsCalledOffPastItsAim() {
        settings.cancel = true;
        settings.clientsMarkRetries = true;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "small");
        assertEquals(600 * MILLI_NANOS, s.attemptTimeouts.get("a"));
        s.request("b", "big");
        assertEquals(0, s.attemptTimeouts.get("b"), "a late answer of this class still earns something");
    }

    @Test
    void aRepeatWhoseClientHasWaitedPastTheAimIsRefusedAtOnce() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "small");
        s.finish("a", 0, s.engineOf("a"), AttemptStatus.OK, 100 * MILLI_NANOS);
        s.newActions();
        s.control.onRequest(s.now, new ControlApi.Request("b", "small", "one", false, 0, 2 * SECOND_NANOS, 0, 0, -1, true));
        assertEquals(List.of("refuse b"), s.newActions());
        s.control.onRequest(s.now, new ControlApi.Request("c", "small", "one", false, 0, 3 * SECOND_NANOS, 0, 0, -1, true));
        assertEquals(1, s.countActions("send c"), "nothing tells that this one is late");
    }

    @Test
    void anAttemptWhoseNotesStayAwayIsTriedElsewhere() {
        settings.cancel = true;
        settings.statusInterval = 500 * MILLI_NANOS;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "big");
        s.advance(500 * MILLI_NANOS);
        s.progress("a", 0, s.engineOf("a"), 0.2);
        s.advance(600 * MILLI_NANOS);
        assertEquals(0, s.countActions("cancel"), "a note is hardly due");
        s.advance(500 * MILLI_NANOS);
        assertEquals(1, s.countActions("cancel a 0"));
        String silent = s.engineOf("a");
        s.finish("a", 0, silent, AttemptStatus.CANCELLED, 1600 * MILLI_NANOS);
        assertEquals(2, s.countActions("send a"));
        assertNotEquals(silent, s.engineOf("a"));
    }

    @Test
    void timeInWhichTheFrontStoodStillIsNoSilence() {
        settings.cancel = true;
        settings.statusInterval = 500 * MILLI_NANOS;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "big");
        s.now += 2 * SECOND_NANOS;
        s.control.onTimer(s.now, 1);
        s.progress("a", 0, s.engineOf("a"), 0.5);
        assertEquals(0, s.countActions("cancel"));
    }

    /** Loads that stood behind another load were once called off as hopeless, and failed. */
    @Test
    void standingBehindALoadIsNoSlownessOfWhatMayNotBeRepeated() {
        settings.cancel = true;
        settings.retrySafety = RetrySafety.UNSAFE;
        settings.statusInterval = 500 * MILLI_NANOS;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        s.request("a", "small");
        s.statusUpdate("a", 0, StatusKind.WAITS_LOAD, 2);
        for (int i = 0; i < 4; i++) {
            s.advance(500 * MILLI_NANOS);
            s.progress("a", 0, "e1", 0);
        }
        s.advance(500 * MILLI_NANOS);
        s.progress("a", 0, "e1", 0.55);
        assertEquals(0, s.countActions("cancel"));
    }

    @Test
    void aQueryThatStandsBehindALoadIsSentElsewhereOnce() {
        settings.cancel = true;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "big");
        String held = s.engineOf("a");
        s.statusUpdate("a", 0, StatusKind.WAITS_LOAD, 2);
        assertEquals(1, s.countActions("cancel a 0"));
        s.finish("a", 0, held, AttemptStatus.CANCELLED, 5 * MILLI_NANOS);
        assertNotEquals(held, s.engineOf("a"));
        s.statusUpdate("a", 1, StatusKind.WAITS_LOAD, 2);
        assertEquals(0, s.countActions("cancel a 1"));
    }

    /** Engines that report nothing: own delays alone must tell an overload. */
    @Test
    void withoutReportsAnOverloadRefusesSomeAndSendsSome() {
        settings.fronts = FRONTS;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2", "e3");
        for (int i = 0; i < 300; i++) {
            String id = "a" + i;
            s.request(id, "small");
            long rtt = i % 3 == 0 ? 400 * MILLI_NANOS : 900 * MILLI_NANOS;
            s.advance(rtt);
            if (s.countActions("send " + id + " ") == 1) {
                s.finish(id, 0, s.engineOf(id), AttemptStatus.OK, rtt);
            }
        }
        long refused = s.countActions("refuse");
        assertTrue(refused > 0 && refused < 300, "refused " + refused + " of 300");
    }
}
