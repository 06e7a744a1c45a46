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

/** Behaviour that is harmless in one front but harmful when all fronts show it. */
class ManyFrontsTest {
    private static final int ENGINES = 60;
    private final TestSettings settings = new TestSettings();

    private static List<Engine> largeEngines(int count) {
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
            ScriptedFront front = new ScriptedFront(settings, 100 * SECOND_NANOS, 1000 + i);
            front.control.onEngineList(front.now, true, largeEngines(ENGINES));
            all.add(front);
        }
        return all;
    }

    /** Returns the probes of all fronts per 50 ms; each front serves ten queries a second for twenty seconds. */
    private Map<Long, Integer> probes(int fronts, Map<String, Integer> byEngine) {
        settings.probes = true;
        settings.probeCost = 0.075;
        Map<Long, Integer> byTick = new HashMap<>();
        for (ScriptedFront front : fronts(fronts)) {
            for (int i = 0; i < 400; i++) {
                if (i % 2 == 0) {
                    front.request("q" + i, "small");
                }
                long before = front.countActions("probe");
                front.advance(50 * MILLI_NANOS);
                byTick.merge((long) i, (int) (front.countActions("probe") - before), Integer::sum);
                if (i % 2 == 0 && front.countActions("send q" + i + " ") > 0) {
                    front.finish("q" + i, 0, front.engineOf("q" + i), AttemptStatus.OK, 50 * MILLI_NANOS);
                }
            }
            front.actions.stream().filter(a -> a.startsWith("probe"))
                    .forEach(a -> byEngine.merge(a.substring(6), 1, Integer::sum));
        }
        return byTick;
    }

    @Test
    void keepsProbesOfAllFrontsWithinBudget() {
        Map<String, Integer> byEngine = new HashMap<>();
        int all = probes(14, byEngine).values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(all * settings.probeCost <= 0.04 * 14 * 200, all + " probes for " + 14 * 200 + " requests");
        assertEquals(ENGINES, byEngine.size(), "engines probed");
    }

    @Test
    void spreadsProbesOfAllFrontsOverTime() {
        Map<Long, Integer> byTick = probes(14, new HashMap<>());
        double mean = byTick.values().stream().mapToInt(Integer::intValue).average().orElseThrow();
        int maxProbes = byTick.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(maxProbes <= 5 * mean + 3, maxProbes + " probes in one tick, " + mean + " on average");
    }

    /** Guards against every front probing an unreachable engine four times a second for as long as this lasts. */
    @Test
    void backsOffProbesOfUnreachableEngine() {
        settings.probes = true;
        settings.statusInterval = SECOND_NANOS;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        for (int i = 0; i < 8; i++) {
            front.request("a" + i, "small");
            front.advance(250 * MILLI_NANOS);
            front.finish("a" + i, (int) front.countActions("send a" + i + " ") - 1, "e1",
                    AttemptStatus.CONNECT_FAILED, MILLI_NANOS);
        }
        front.actions.clear();
        front.advance(2 * SECOND_NANOS);
        assertTrue(front.countActions("probe e1") <= 5, "probes in two seconds: " + front.countActions("probe e1"));
    }

    /** Guards against four own threads at one engine being extrapolated to fourteen times as many, so that it looks full. */
    @Test
    void doesNotTreatEngineAsFullAfterOneHeavyQuery() {
        settings.fronts = 14;
        ScriptedFront front = new ScriptedFront(settings);
        front.control.onEngineList(front.now, true, largeEngines(30));
        for (int i = 0; i < 12; i++) {
            front.request("b" + i, "big");
        }
        assertEquals(12, front.countActions("send"));
    }

    /** Without load reports, a front's own threads over all engines show how full these are. */
    @Test
    void stopsSendingWhenAllFrontsTogetherFillTheFleet() {
        settings.fronts = 14;
        ScriptedFront front = new ScriptedFront(settings);
        front.control.onEngineList(front.now, true, largeEngines(30));
        for (int i = 0; i < 60; i++) {
            front.request("b" + i, "big");
        }
        long threads = 4 * front.countActions("send");
        assertTrue(threads * 14 < 1.6 * 2.2 * 30 * 16, threads + " threads of one front in flight");
    }

    /** Threads at a draining engine must not count against the engines that stay. */
    @Test
    void ignoresAttemptsAtDrainingEnginesForFleetLoad() {
        settings.fronts = 14;
        ScriptedFront front = new ScriptedFront(settings);
        front.control.onEngineList(front.now, true, largeEngines(30));
        for (int i = 0; i < 12; i++) {
            front.request("b" + i, "big");
        }
        List<Engine> next = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            next.add(ScriptedFront.engine("e" + i, EngineStatus.DRAINING, "large", 0));
            next.add(ScriptedFront.engine("f" + i, EngineStatus.READY, "large", 0));
        }
        front.control.onEngineList(front.now, true, next);
        for (int i = 0; i < 12; i++) {
            front.request("c" + i, "big");
        }
        assertEquals(24, front.countActions("send"));
    }

    /** Guards against all fronts choosing the engine with the best report, which overloads it until its next report. */
    @Test
    void spreadsFrontsWithTheSameReportsOverEngines() {
        settings.probes = true;
        List<ScriptedFront> all = fronts(56);
        int choseIdle = 0;
        for (ScriptedFront front : all) {
            for (int i = 0; i < ENGINES; i++) {
                double utilization = i == 7 ? 0.1 : 0.6;
                front.control.onProbeResult(front.now, "e" + i, true, MILLI_NANOS,
                        new Load(utilization, 0, i == 7 ? 0 : 14, 0.3, 0.3));
            }
            front.request("a", "small");
            choseIdle += front.engineOf("a").equals("e7") ? 1 : 0;
        }
        assertTrue(choseIdle <= 6, "fronts out of 56 that chose the idle engine: " + choseIdle);
    }

    /** Engines that swap memory have idle cores: judged by threads alone, the other engines would seem to have room. */
    @Test
    void appliesReportedMemoryOvercommitToOtherEngines() {
        settings.probes = true;
        settings.fronts = 14;
        ScriptedFront front = new ScriptedFront(settings);
        front.control.onEngineList(front.now, true, largeEngines(30));
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 20; i++) {
                front.control.onProbeResult(front.now, "e" + i, true, MILLI_NANOS, new Load(0.1, 0, 2, 2.5, 0.1));
            }
        }
        for (int i = 0; i < 12; i++) {
            front.request("b" + i, "big");
        }
        assertTrue(front.countActions("send") < 12, "sent: " + front.countActions("send"));
    }

    /** Guards against a cold engine counting with its full capacity in its own load and in that of the fleet. */
    @Test
    void weighsColdEngineByItsPresentCapacity() {
        for (int seed = 0; seed < 20; seed++) {
            ScriptedFront front = new ScriptedFront(settings, 100 * SECOND_NANOS, seed);
            front.control.onEngineList(front.now, true, List.of(ScriptedFront.engine("warm", EngineStatus.READY, "large", 0),
                    ScriptedFront.engine("cold", EngineStatus.READY, "large", 95 * SECOND_NANOS)));
            front.request("a", "small");
            assertEquals("warm", front.engineOf("a"));
        }
    }

    @Test
    void increasesWarmthOnlyWhereStartTimeIsKnown() {
        ControlApi.SafetyRules rules = settings.settings().safetyRules();
        EngineState engine =
                new EngineState(ScriptedFront.engine("e", EngineStatus.READY, "large", 100 * SECOND_NANOS), null);
        engine.coldSince = 100 * SECOND_NANOS;
        assertEquals(0.4, engine.warmthAt(rules, 100 * SECOND_NANOS), 1e-9);
        assertEquals(0.4 + 0.6 * 0.25, engine.warmthAt(rules, 105 * SECOND_NANOS), 1e-9);
        assertEquals(1, engine.warmthAt(rules, 110 * SECOND_NANOS), 1e-9);
        engine.startTimeKnown = false;
        assertEquals(0.4, engine.warmthAt(rules, 109 * SECOND_NANOS), 1e-9);
    }

    @Test
    void movesSlownessWithTheNumberAndAgeOfSamples() {
        RelativeSlowness slowness = new RelativeSlowness();
        assertEquals(1, slowness.factor(SECOND_NANOS), 1e-9);
        slowness.record(4, 1, SECOND_NANOS);
        double afterOne = slowness.factor(SECOND_NANOS);
        assertTrue(afterOne > 1 && afterOne < 2, "factor after one slow answer: " + afterOne);
        for (int i = 0; i < 8; i++) {
            slowness.record(4, 1, SECOND_NANOS);
        }
        assertTrue(slowness.factor(SECOND_NANOS) > 2.5, "factor after nine: " + slowness.factor(SECOND_NANOS));
        assertTrue(slowness.factor(30 * SECOND_NANOS) < 1.1, "factor long afterwards: " + slowness.factor(30 * SECOND_NANOS));
    }
}
