package cairnline.control;

import static cairnline.control.ScriptedFront.MS;
import static cairnline.control.ScriptedFront.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ScriptedFront.TestSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is harmless in one front and harmful when all do it. */
class ManyFrontsTest {
    private static final int ENGINES = 60;
    private final TestSettings site = new TestSettings();

    private static List<Engine> large(int count) {
        List<Engine> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(ScriptedFront.engine("e" + i, EngineStatus.READY, "large", 0));
        }
        return all;
    }

    private List<ScriptedFront> fronts(int count) {
        site.fronts = count;
        List<ScriptedFront> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ScriptedFront s = new ScriptedFront(site, 100 * SECOND, 1000 + i);
            s.control.onEngineList(s.now, true, large(ENGINES));
            all.add(s);
        }
        return all;
    }

    /** Each front takes ten queries a second, all served, for twenty seconds; probes of all fronts, by 50 ms. */
    private Map<Long, Integer> probes(int fronts, Map<String, Integer> byEngine) {
        site.probes = true;
        site.probePrice = 0.075;
        Map<Long, Integer> byTick = new HashMap<>();
        for (ScriptedFront s : fronts(fronts)) {
            for (int i = 0; i < 400; i++) {
                if (i % 2 == 0) {
                    s.take("q" + i, "small");
                }
                long before = s.count("probe");
                s.pass(50 * MS);
                byTick.merge((long) i, (int) (s.count("probe") - before), Integer::sum);
                if (i % 2 == 0 && s.count("send q" + i + " ") > 0) {
                    s.end("q" + i, 0, s.engineOf("q" + i), AttemptStatus.OK, 50 * MS);
                }
            }
            s.actions.stream().filter(a -> a.startsWith("probe"))
                    .forEach(a -> byEngine.merge(a.substring(6), 1, Integer::sum));
        }
        return byTick;
    }

    @Test
    void probesOfAllFrontsTogetherStayWithinWhatTheirRequestsPayFor() {
        Map<String, Integer> byEngine = new HashMap<>();
        int all = probes(14, byEngine).values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(all * site.probePrice <= 0.04 * 14 * 200, all + " probes for " + 14 * 200 + " requests");
        assertEquals(ENGINES, byEngine.size(), "engines asked");
    }

    @Test
    void frontsDoNotAskAllEnginesAtTheSameMoment() {
        Map<Long, Integer> byTick = probes(14, new HashMap<>());
        double mean = byTick.values().stream().mapToInt(Integer::intValue).average().orElseThrow();
        int most = byTick.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(most <= 5 * mean + 3, most + " probes at once, " + mean + " in the mean");
    }

    /** One lost engine was asked four times a second by every front for as long as it was lost. */
    @Test
    void aLostEngineIsAskedLessAndLessOften() {
        site.probes = true;
        site.notePeriod = SECOND;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        for (int i = 0; i < 8; i++) {
            s.take("a" + i, "small");
            s.pass(250 * MS);
            s.end("a" + i, (int) s.count("send a" + i + " ") - 1, "e1", AttemptStatus.CONNECT_FAILED, MS);
        }
        s.actions.clear();
        s.pass(2 * SECOND);
        assertTrue(s.count("probe e1") <= 5, "probes in two seconds: " + s.count("probe e1"));
    }

    /** Four own threads at one engine once stood for fourteen times as many there: it was full, and the query held. */
    @Test
    void oneHeavyQueryOutDoesNotMakeAnEngineFull() {
        site.fronts = 14;
        ScriptedFront s = new ScriptedFront(site);
        s.control.onEngineList(s.now, true, large(30));
        for (int i = 0; i < 12; i++) {
            s.take("b" + i, "big");
        }
        assertEquals(12, s.count("send"));
    }

    /** Where nothing is reported, a front's own threads over all engines tell how full these are. */
    @Test
    void aFleetThatIsFullByAllFrontsTogetherGetsNoMore() {
        site.fronts = 14;
        ScriptedFront s = new ScriptedFront(site);
        s.control.onEngineList(s.now, true, large(30));
        for (int i = 0; i < 60; i++) {
            s.take("b" + i, "big");
        }
        long threads = 4 * s.count("send");
        assertTrue(threads * 14 < 1.6 * 2.2 * 30 * 16, threads + " threads of one front out");
    }

    /** Threads at an engine that drains are no burden of those that stay. */
    @Test
    void whatRunsAtDrainingEnginesDoesNotMakeTheOthersFull() {
        site.fronts = 14;
        ScriptedFront s = new ScriptedFront(site);
        s.control.onEngineList(s.now, true, large(30));
        for (int i = 0; i < 12; i++) {
            s.take("b" + i, "big");
        }
        List<Engine> next = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            next.add(ScriptedFront.engine("e" + i, EngineStatus.DRAINING, "large", 0));
            next.add(ScriptedFront.engine("f" + i, EngineStatus.READY, "large", 0));
        }
        s.control.onEngineList(s.now, true, next);
        for (int i = 0; i < 12; i++) {
            s.take("c" + i, "big");
        }
        assertEquals(24, s.count("send"));
    }

    /** Fronts that all chose the best of all they know once filled the same engine until its next report. */
    @Test
    void frontsThatHearTheSameDoNotAllChooseTheSame() {
        site.probes = true;
        List<ScriptedFront> all = fronts(56);
        int idle = 0;
        for (ScriptedFront s : all) {
            for (int i = 0; i < ENGINES; i++) {
                double busy = i == 7 ? 0.1 : 0.6;
                s.control.onProbeResult(s.now, "e" + i, true, MS, new Load(busy, 0, i == 7 ? 0 : 14, 0.3, 0.3));
            }
            s.take("a", "small");
            idle += s.engineOf("a").equals("e7") ? 1 : 0;
        }
        assertTrue(idle <= 6, "of 56 fronts so many chose the idle engine: " + idle);
    }

    /** Engines that page by memory have idle cores: by their threads alone the others seemed to have room. */
    @Test
    void memoryThatSomeEnginesReportAsOvercommittedCountsForAll() {
        site.probes = true;
        site.fronts = 14;
        ScriptedFront s = new ScriptedFront(site);
        s.control.onEngineList(s.now, true, large(30));
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 20; i++) {
                s.control.onProbeResult(s.now, "e" + i, true, MS, new Load(0.1, 0, 2, 2.5, 0.1));
            }
        }
        for (int i = 0; i < 12; i++) {
            s.take("b" + i, "big");
        }
        assertTrue(s.count("send") < 12, "sent: " + s.count("send"));
    }

    /** An engine that has just started once counted for a warm one in how full it and the fleet are. */
    @Test
    void aColdEngineCountsByItsCapacityOfTheMoment() {
        for (int seed = 0; seed < 20; seed++) {
            ScriptedFront s = new ScriptedFront(site, 100 * SECOND, seed);
            s.control.onEngineList(s.now, true, List.of(ScriptedFront.engine("warm", EngineStatus.READY, "large", 0),
                    ScriptedFront.engine("cold", EngineStatus.READY, "large", 95 * SECOND)));
            s.take("a", "small");
            assertEquals("warm", s.engineOf("a"));
        }
    }

    @Test
    void warmthGrowsFromTheColdShareToAllAndNeverWhereTheStartIsUnknown() {
        ControlApi.SafetyRules rules = site.settings().safetyRules();
        EngineState known = new EngineState(ScriptedFront.engine("e", EngineStatus.READY, "large", 100 * SECOND), null);
        known.coldSince = 100 * SECOND;
        assertEquals(0.4, known.warmth(rules, 100 * SECOND), 1e-9);
        assertEquals(0.4 + 0.6 * 0.25, known.warmth(rules, 105 * SECOND), 1e-9);
        assertEquals(1, known.warmth(rules, 110 * SECOND), 1e-9);
        known.sure = false;
        assertEquals(0.4, known.warmth(rules, 109 * SECOND), 1e-9);
    }

    @Test
    void anEngineIsJudgedByAllClassesTogetherAndTheOthersWhereLittleIsHeard() {
        RelativeSlowness pace = new RelativeSlowness();
        assertEquals(1, pace.factor(SECOND), 1e-9);
        pace.hear(4, 1, SECOND);
        double once = pace.factor(SECOND);
        assertTrue(once > 1 && once < 2, "one slow answer says " + once);
        for (int i = 0; i < 8; i++) {
            pace.hear(4, 1, SECOND);
        }
        assertTrue(pace.factor(SECOND) > 2.5, "nine say " + pace.factor(SECOND));
        assertTrue(pace.factor(30 * SECOND) < 1.1, "long ago: " + pace.factor(30 * SECOND));
    }
}
