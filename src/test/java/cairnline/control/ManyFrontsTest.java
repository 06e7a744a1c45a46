package cairnline.control;

import static cairnline.control.ScriptedFront.MILLI_NANOS;
import static cairnline.control.ScriptedFront.SECOND_NANOS;
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
    private final TestSettings settings = new TestSettings();

    private static List<Engine> large(int count) {
        List<Engine> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(ScriptedFront.engine("e" + i, EngineStatus.READY, "large", 0));
        }
        return all;
    }

    private List<ScriptedFront> fronts(int count) {
        settings.fronts = count;
        List<ScriptedFront> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ScriptedFront s = new ScriptedFront(settings, 100 * SECOND_NANOS, 1000 + i);
            s.control.onEngineList(s.now, true, large(ENGINES));
            all.add(s);
        }
        return all;
    }

    /** Each front takes ten queries a second, all served, for twenty seconds; probes of all fronts, by 50 ms. */
    private Map<Long, Integer> probes(int fronts, Map<String, Integer> byEngine) {
        settings.probes = true;
        settings.probeCost = 0.075;
        Map<Long, Integer> byTick = new HashMap<>();
        for (ScriptedFront s : fronts(fronts)) {
            for (int i = 0; i < 400; i++) {
                if (i % 2 == 0) {
                    s.request("q" + i, "small");
                }
                long before = s.countActions("probe");
                s.advance(50 * MILLI_NANOS);
                byTick.merge((long) i, (int) (s.countActions("probe") - before), Integer::sum);
                if (i % 2 == 0 && s.countActions("send q" + i + " ") > 0) {
                    s.finish("q" + i, 0, s.engineOf("q" + i), AttemptStatus.OK, 50 * MILLI_NANOS);
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
        assertTrue(all * settings.probeCost <= 0.04 * 14 * 200, all + " probes for " + 14 * 200 + " requests");
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
        settings.probes = true;
        settings.statusInterval = SECOND_NANOS;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        for (int i = 0; i < 8; i++) {
            s.request("a" + i, "small");
            s.advance(250 * MILLI_NANOS);
            s.finish("a" + i, (int) s.countActions("send a" + i + " ") - 1, "e1", AttemptStatus.CONNECT_FAILED, MILLI_NANOS);
        }
        s.actions.clear();
        s.advance(2 * SECOND_NANOS);
        assertTrue(s.countActions("probe e1") <= 5, "probes in two seconds: " + s.countActions("probe e1"));
    }

    /** Four own threads at one engine once stood for fourteen times as many there: it was full, and the query held. */
    @Test
    void oneHeavyQueryOutDoesNotMakeAnEngineFull() {
        settings.fronts = 14;
        ScriptedFront s = new ScriptedFront(settings);
        s.control.onEngineList(s.now, true, large(30));
        for (int i = 0; i < 12; i++) {
            s.request("b" + i, "big");
        }
        assertEquals(12, s.countActions("send"));
    }

    /** Where nothing is reported, a front's own threads over all engines tell how full these are. */
    @Test
    void aFleetThatIsFullByAllFrontsTogetherGetsNoMore() {
        settings.fronts = 14;
        ScriptedFront s = new ScriptedFront(settings);
        s.control.onEngineList(s.now, true, large(30));
        for (int i = 0; i < 60; i++) {
            s.request("b" + i, "big");
        }
        long threads = 4 * s.countActions("send");
        assertTrue(threads * 14 < 1.6 * 2.2 * 30 * 16, threads + " threads of one front out");
    }

    /** Threads at an engine that drains are no burden of those that stay. */
    @Test
    void whatRunsAtDrainingEnginesDoesNotMakeTheOthersFull() {
        settings.fronts = 14;
        ScriptedFront s = new ScriptedFront(settings);
        s.control.onEngineList(s.now, true, large(30));
        for (int i = 0; i < 12; i++) {
            s.request("b" + i, "big");
        }
        List<Engine> next = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            next.add(ScriptedFront.engine("e" + i, EngineStatus.DRAINING, "large", 0));
            next.add(ScriptedFront.engine("f" + i, EngineStatus.READY, "large", 0));
        }
        s.control.onEngineList(s.now, true, next);
        for (int i = 0; i < 12; i++) {
            s.request("c" + i, "big");
        }
        assertEquals(24, s.countActions("send"));
    }

    /** Fronts that all chose the best of all they know once filled the same engine until its next report. */
    @Test
    void frontsThatHearTheSameDoNotAllChooseTheSame() {
        settings.probes = true;
        List<ScriptedFront> all = fronts(56);
        int idle = 0;
        for (ScriptedFront s : all) {
            for (int i = 0; i < ENGINES; i++) {
                double busy = i == 7 ? 0.1 : 0.6;
                s.control.onProbeResult(s.now, "e" + i, true, MILLI_NANOS, new Load(busy, 0, i == 7 ? 0 : 14, 0.3, 0.3));
            }
            s.request("a", "small");
            idle += s.engineOf("a").equals("e7") ? 1 : 0;
        }
        assertTrue(idle <= 6, "of 56 fronts so many chose the idle engine: " + idle);
    }

    /** Engines that page by memory have idle cores: by their threads alone the others seemed to have room. */
    @Test
    void memoryThatSomeEnginesReportAsOvercommittedCountsForAll() {
        settings.probes = true;
        settings.fronts = 14;
        ScriptedFront s = new ScriptedFront(settings);
        s.control.onEngineList(s.now, true, large(30));
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 20; i++) {
                s.control.onProbeResult(s.now, "e" + i, true, MILLI_NANOS, new Load(0.1, 0, 2, 2.5, 0.1));
            }
        }
        for (int i = 0; i < 12; i++) {
            s.request("b" + i, "big");
        }
        assertTrue(s.countActions("send") < 12, "sent: " + s.countActions("send"));
    }

    /** An engine that has just started once counted for a warm one in how full it and the fleet are. */
    @Test
    void aColdEngineCountsByItsCapacityOfTheMoment() {
        for (int seed = 0; seed < 20; seed++) {
            ScriptedFront s = new ScriptedFront(settings, 100 * SECOND_NANOS, seed);
            s.control.onEngineList(s.now, true, List.of(ScriptedFront.engine("warm", EngineStatus.READY, "large", 0),
                    ScriptedFront.engine("cold", EngineStatus.READY, "large", 95 * SECOND_NANOS)));
            s.request("a", "small");
            assertEquals("warm", s.engineOf("a"));
        }
    }

    @Test
    void warmthGrowsFromTheColdShareToAllAndNeverWhereTheStartIsUnknown() {
        ControlApi.SafetyRules rules = settings.settings().safetyRules();
        EngineState known = new EngineState(ScriptedFront.engine("e", EngineStatus.READY, "large", 100 * SECOND_NANOS), null);
        known.coldSince = 100 * SECOND_NANOS;
        assertEquals(0.4, known.warmthAt(rules, 100 * SECOND_NANOS), 1e-9);
        assertEquals(0.4 + 0.6 * 0.25, known.warmthAt(rules, 105 * SECOND_NANOS), 1e-9);
        assertEquals(1, known.warmthAt(rules, 110 * SECOND_NANOS), 1e-9);
        known.startTimeKnown = false;
        assertEquals(0.4, known.warmthAt(rules, 109 * SECOND_NANOS), 1e-9);
    }

    @Test
    void anEngineIsJudgedByAllClassesTogetherAndTheOthersWhereLittleIsHeard() {
        RelativeSlowness slowness = new RelativeSlowness();
        assertEquals(1, slowness.factor(SECOND_NANOS), 1e-9);
        slowness.record(4, 1, SECOND_NANOS);
        double once = slowness.factor(SECOND_NANOS);
        assertTrue(once > 1 && once < 2, "one slow answer says " + once);
        for (int i = 0; i < 8; i++) {
            slowness.record(4, 1, SECOND_NANOS);
        }
        assertTrue(slowness.factor(SECOND_NANOS) > 2.5, "nine say " + slowness.factor(SECOND_NANOS));
        assertTrue(slowness.factor(30 * SECOND_NANOS) < 1.1, "long ago: " + slowness.factor(30 * SECOND_NANOS));
    }
}
