package cairnline.control;

import static cairnline.control.ScriptedFront.MS;
import static cairnline.control.ScriptedFront.SECOND;
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
class FleetTest {
    private static final int FRONTS = 300;
    private static final int ENGINES = 60;
    private final TestSettings site = new TestSettings();

    private List<ScriptedFront> fronts() {
        site.fronts = FRONTS;
        List<ScriptedFront> all = new ArrayList<>();
        for (int i = 0; i < FRONTS; i++) {
            all.add(new ScriptedFront(site, 100 * SECOND, 1000 + i));
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
                s.now += 5 * MS;
                if (random.nextInt(40) == 0) {
                    String id = "q" + tick;
                    s.take(id, "small");
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
            while (at.get(from) <= at.get(to) - 2 * SECOND) {
                from++;
            }
            assertTrue(to - from + 1 <= most, (to - from + 1) + " sends in a window");
        }
    }

    @Test
    void newEnginesGetTheirPartOfAllFrontsInEveryWindow() {
        List<Engine> list = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            list.add(ScriptedFront.engine("e" + i, EngineStatus.READY, "plain", i % 3 == 0 ? 100 * SECOND : 0));
        }
        Map<String, List<Long>> sends = sends(fronts(), list);
        for (int i = 0; i < ENGINES; i += 3) {
            assertTrue(sends.containsKey("e" + i), "e" + i + " got nothing");
            assertUnderTheColdRule(sends.get("e" + i));
        }
    }

    @Test
    void newEnginesAreNotPushedOverWhenTheyAreAllThereIs() {
        List<Engine> list = List.of(ScriptedFront.engine("e0", EngineStatus.READY, "plain", 100 * SECOND));
        assertUnderTheColdRule(sends(fronts(), list).get("e0"));
        site.fronts = 3;
        List<ScriptedFront> few = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            few.add(new ScriptedFront(site, 100 * SECOND, i));
        }
        assertUnderTheColdRule(sends(few, list).get("e0"));
    }

    @Test
    void frontsThatHaveHeardNothingSpreadOverTheEngines() {
        Map<String, Integer> sends = new HashMap<>();
        for (ScriptedFront s : fronts()) {
            s.list(engines(ENGINES));
            s.take("a", "small");
            sends.merge(s.engineOf("a"), 1, Integer::sum);
        }
        assertTrue(sends.size() > ENGINES * 3 / 4, "engines used: " + sends.size());
        sends.forEach((engine, count) -> assertTrue(count <= 20, engine + " got " + count));
    }

    @Test
    void oneLightQueryOutDoesNotMakeAnEngineFull() {
        site.fronts = FRONTS;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        for (int i = 0; i < 5; i++) {
            s.take("a" + i, "small");
        }
        assertEquals(5, s.count("send"));
    }

    @Test
    void aThirdOfAnswersResetLeavesTheFleetInUse() {
        site.fronts = FRONTS;
        ScriptedFront s = new ScriptedFront(site);
        s.list(engines(12));
        Map<String, Integer> late = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            String id = "a" + i;
            s.take(id, "small");
            for (int n = 0; n < 3 && s.count("send " + id + " ") == n + 1; n++) {
                String engine = s.engineOf(id);
                if (i >= 300) {
                    late.merge(engine, 1, Integer::sum);
                }
                s.pass(50 * MS);
                boolean reset = (i + n) % 3 == 0;
                s.end(id, n, engine, reset ? AttemptStatus.RESET : AttemptStatus.OK, 50 * MS);
            }
            s.actions.clear();
        }
        assertTrue(late.size() >= 11, "engines in use: " + late.size());
        late.forEach((engine, count) -> assertTrue(count <= 120, engine + " got " + count));
    }

    /** Takes eight, lets those at one engine end so at once, and counts what it gets of the next forty. */
    private long afterLossAt(ScriptedFront s, AttemptStatus end, boolean probed) {
        s.list("e1", "e2");
        for (int i = 0; i < 8; i++) {
            s.take("a" + i, "small");
        }
        s.pass(50 * MS);
        for (int i = 0; i < 8; i++) {
            if (s.engineOf("a" + i).equals("e1")) {
                s.end("a" + i, 0, "e1", end, 50 * MS);
            }
        }
        if (probed) {
            s.control.onProbeResult(s.now, "e1", true, MS, Load.NONE);
        }
        s.actions.clear();
        for (int i = 0; i < 40; i++) {
            s.take("b" + i, "small");
            s.pass(50 * MS);
            s.end("b" + i, 0, s.engineOf("b" + i), AttemptStatus.OK, 50 * MS);
        }
        return s.actions.stream().filter(a -> a.matches("send b[0-9]+ e1.*")).count();
    }

    @Test
    void attemptsLostTogetherWithTheirConnectionLeaveTheEngineInUse() {
        site.attempts = 1;
        assertTrue(afterLossAt(new ScriptedFront(site), AttemptStatus.RESET, false) >= 8);
    }

    @Test
    void anEngineThatAnswersAProbeIsThere() {
        site.attempts = 1;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 4; i++) {
            s.take("c" + i, "small");
            s.pass(300 * MS);
            s.end("c" + i, 0, s.engineOf("c" + i), s.engineOf("c" + i).equals("e1") ? AttemptStatus.CONNECT_FAILED : AttemptStatus.OK, MS);
        }
        assertTrue(afterLossAt(s, AttemptStatus.CONNECT_FAILED, true) >= 8);
    }

    @Test
    void eachEngineIsAskedForItsLoadNowAndThen() {
        site.probes = true;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.pass(10 * SECOND);
        assertTrue(Math.abs(s.count("probe e1") - 10) <= 2, "probes of e1: " + s.count("probe e1"));
        assertTrue(Math.abs(s.count("probe e2") - 10) <= 2, "probes of e2: " + s.count("probe e2"));
    }

    @Test
    void whatNoEngineCanUseSpeaksAgainstNone() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2", "e3");
        for (int i = 0; i < 10; i++) {
            s.take("a" + i, "small");
            for (int n = 0; n < 3 && s.count("send a" + i + " ") == n + 1; n++) {
                s.pass(5 * MS);
                s.end("a" + i, n, s.engineOf("a" + i), AttemptStatus.ERROR, 5 * MS);
            }
        }
        s.actions.clear();
        for (int i = 0; i < 60; i++) {
            s.take("b" + i, "small");
            s.pass(50 * MS);
            s.end("b" + i, 0, s.engineOf("b" + i), AttemptStatus.OK, 50 * MS);
        }
        for (String engine : List.of("e1", "e2", "e3")) {
            assertTrue(s.actions.stream().filter(a -> a.matches("send b[0-9]+ " + engine + ".*")).count() >= 8, engine);
        }
    }

    @Test
    void withoutLostAnswersNoAttemptIsCutShort() {
        site.cancel = true;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 60; i++) {
            s.take("a" + i, "small");
            assertEquals(0, s.timeOuts.get("a" + i));
            s.pass(80 * MS);
            s.end("a" + i, 0, s.engineOf("a" + i), AttemptStatus.OK, 80 * MS);
        }
    }

    @Test
    void aRepeatedKeyedLoadNeverLeavesItsWindow() {
        site.cancel = true;
        site.effect = RetrySafety.KEYED;
        site.window = 2 * SECOND;
        site.attempts = 6;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2", "e3");
        for (int i = 0; i < 200; i++) {
            String id = "a" + i;
            s.take(id, "small");
            long first = s.now;
            for (int n = 0; n < 6 && s.count("send " + id + " ") == n + 1; n++) {
                assertTrue(s.now < first + site.window, "attempt " + n + " after " + (s.now - first) / MS + " ms");
                long taken = s.timeOuts.get(id) > 0 ? s.timeOuts.get(id) : 900 * MS;
                s.pass(taken);
                s.end(id, n, s.engineOf(id), AttemptStatus.TIMEOUT, taken);
            }
            s.actions.clear();
        }
    }

    @Test
    void aRequestWithHardlyAnyTimeIsAnsweredAtOnce() {
        ScriptedFront s = new ScriptedFront(site);
        s.list();
        s.take("a", "small", 20 * MS);
        assertEquals(List.of("refuse a"), s.fresh());
        s.take("b", "small", 100 * MS);
        s.pass(71 * MS);
        assertEquals(List.of("refuse b"), s.fresh());
    }

    @Test
    void aFurtherAttemptWaitsForAnEngine() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        s.take("a", "small");
        s.change(ScriptedFront.engine("e1", EngineStatus.DRAINING, "plain", 0));
        s.end("a", 0, "e1", AttemptStatus.FULL, MS);
        s.pass(100 * MS);
        assertEquals(List.of("send a e1"), s.fresh());
        s.list("e2");
        assertEquals(List.of("send a e2"), s.fresh());
    }

    @Test
    void anEngineWhoseMemoryIsOvercommittedIsFullThoughItsCoresIdle() {
        site.fronts = FRONTS;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "small");
        String jammed = s.engineOf("a");
        s.pass(50 * MS);
        Load load = new Load(0.2, 0, Double.NaN, 2, 0.2);
        s.control.onOutcome(s.now, new Outcome("a", 0, jammed, AttemptStatus.OK, 50 * MS, true, 0, 0, load));
        for (int i = 0; i < 6; i++) {
            s.take("b" + i, "small");
            assertNotEquals(jammed, s.engineOf("b" + i));
        }
    }

    /** Once two thirds of all queries spilt where answers do not tell the memory needed. */
    @Test
    void spillsRaiseTheMemoryGrantedOverEstimatesThatLieTooLow() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 10; i++) {
            s.takeWithMemory("a" + i, "big", 400);
            s.note("a" + i, 0, StatusKind.SPILL, 100);
            s.end("a" + i, 0, s.engineOf("a" + i), AttemptStatus.OK, 300 * MS);
        }
        s.takeWithMemory("x", "big", 400);
        assertTrue(s.actions.contains("terms x 621 1"), s.actions.toString());
    }

    /** Late queries that earned nothing once held their engines until the client's patience ended. */
    @Test
    void workThatEarnsNothingLateIsCalledOffPastItsAim() {
        site.cancel = true;
        site.marksRepeats = true;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "small");
        assertEquals(600 * MS, s.timeOuts.get("a"));
        s.take("b", "big");
        assertEquals(0, s.timeOuts.get("b"), "a late answer of this class still earns something");
    }

    @Test
    void aRepeatWhoseClientHasWaitedPastTheAimIsRefusedAtOnce() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "small");
        s.end("a", 0, s.engineOf("a"), AttemptStatus.OK, 100 * MS);
        s.fresh();
        s.control.onRequest(s.now, new ControlApi.Request("b", "small", "one", false, 0, 2 * SECOND, 0, 0, -1, true));
        assertEquals(List.of("refuse b"), s.fresh());
        s.control.onRequest(s.now, new ControlApi.Request("c", "small", "one", false, 0, 3 * SECOND, 0, 0, -1, true));
        assertEquals(1, s.count("send c"), "nothing tells that this one is late");
    }

    @Test
    void anAttemptWhoseNotesStayAwayIsTriedElsewhere() {
        site.cancel = true;
        site.notePeriod = 500 * MS;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "big");
        s.pass(500 * MS);
        s.progress("a", 0, s.engineOf("a"), 0.2);
        s.pass(600 * MS);
        assertEquals(0, s.count("cancel"), "a note is hardly due");
        s.pass(500 * MS);
        assertEquals(1, s.count("cancel a 0"));
        String silent = s.engineOf("a");
        s.end("a", 0, silent, AttemptStatus.CANCELLED, 1600 * MS);
        assertEquals(2, s.count("send a"));
        assertNotEquals(silent, s.engineOf("a"));
    }

    @Test
    void timeInWhichTheFrontStoodStillIsNoSilence() {
        site.cancel = true;
        site.notePeriod = 500 * MS;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "big");
        s.now += 2 * SECOND;
        s.control.onTimer(s.now, 1);
        s.progress("a", 0, s.engineOf("a"), 0.5);
        assertEquals(0, s.count("cancel"));
    }

    /** Loads that stood behind another load were once called off as hopeless, and failed. */
    @Test
    void standingBehindALoadIsNoSlownessOfWhatMayNotBeRepeated() {
        site.cancel = true;
        site.effect = RetrySafety.UNSAFE;
        site.notePeriod = 500 * MS;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        s.take("a", "small");
        s.note("a", 0, StatusKind.WAITS_LOAD, 2);
        for (int i = 0; i < 4; i++) {
            s.pass(500 * MS);
            s.progress("a", 0, "e1", 0);
        }
        s.pass(500 * MS);
        s.progress("a", 0, "e1", 0.55);
        assertEquals(0, s.count("cancel"));
    }

    @Test
    void aQueryThatStandsBehindALoadIsSentElsewhereOnce() {
        site.cancel = true;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "big");
        String held = s.engineOf("a");
        s.note("a", 0, StatusKind.WAITS_LOAD, 2);
        assertEquals(1, s.count("cancel a 0"));
        s.end("a", 0, held, AttemptStatus.CANCELLED, 5 * MS);
        assertNotEquals(held, s.engineOf("a"));
        s.note("a", 1, StatusKind.WAITS_LOAD, 2);
        assertEquals(0, s.count("cancel a 1"));
    }

    /** Engines that report nothing: own delays alone must tell an overload. */
    @Test
    void withoutReportsAnOverloadRefusesSomeAndSendsSome() {
        site.fronts = FRONTS;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2", "e3");
        for (int i = 0; i < 300; i++) {
            String id = "a" + i;
            s.take(id, "small");
            long rtt = i % 3 == 0 ? 400 * MS : 900 * MS;
            s.pass(rtt);
            if (s.count("send " + id + " ") == 1) {
                s.end(id, 0, s.engineOf(id), AttemptStatus.OK, rtt);
            }
        }
        long refused = s.count("refuse");
        assertTrue(refused > 0 && refused < 300, "refused " + refused + " of 300");
    }
}
