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
import cairnline.control.ControlApi.Request;
import cairnline.control.ControlApi.DeduplicationScope;
import cairnline.control.ScriptedFront.TestSettings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The safety rules, driven by scripted events. */
class SafetyRulesTest {
    private final TestSettings settings = new TestSettings();

    @Test
    void refusesHeldRequestOnceBeforeItsDeadline() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines();
        front.request("a", "small");
        assertEquals(List.of(), front.newActions());
        front.advance(3 * SECOND_NANOS);
        assertEquals(List.of("refuse a"), front.newActions());
    }

    @Test
    void failsRequestOnceAfterTimeoutAtDeadline() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        front.request("a", "small");
        front.advance(3 * SECOND_NANOS);
        front.newActions();
        front.finish("a", 0, "e1", AttemptStatus.TIMEOUT, 3 * SECOND_NANOS);
        front.control.onAbandoned(front.now, "a");
        assertEquals(List.of("fail a"), front.newActions());
    }

    @Test
    void sendsNothingForAbandonedRequest() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        front.request("a", "small");
        front.newActions();
        front.control.onAbandoned(front.now, "a");
        front.finish("a", 0, "e1", AttemptStatus.ERROR, MILLI_NANOS);
        assertEquals(List.of(), front.newActions());
    }

    @Test
    void retriesSafeRequestElsewhereAfterError() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "small");
        String first = front.engineOf("a");
        front.finish("a", 0, first, AttemptStatus.ERROR, MILLI_NANOS);
        assertNotEquals(first, front.engineOf("a"));
        assertEquals(2, front.countActions("send a"));
    }

    @Test
    void waitsForOutcomeOfCancelledAttemptBeforeRetry() {
        settings.cancel = true;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "big");
        front.advance(14 * SECOND_NANOS);
        front.progress("a", 0, front.engineOf("a"), 0.01);
        assertEquals(1, front.countActions("cancel a 0"));
        front.listEngines("e1", "e2", "e3");
        front.advance(500 * MILLI_NANOS);
        assertEquals(1, front.countActions("send a"));
    }

    @Test
    void keepsAttemptsWithinLimit() {
        settings.maxAttempts = 2;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2", "e3");
        front.request("a", "small");
        front.finish("a", 0, front.engineOf("a"), AttemptStatus.ERROR, MILLI_NANOS);
        front.finish("a", 1, front.engineOf("a"), AttemptStatus.ERROR, MILLI_NANOS);
        assertEquals(2, front.countActions("send a"));
        assertEquals(1, front.countActions("refuse a"));
    }

    @Test
    void keepsRetriesWithinBudgetOfWindow() {
        settings.retryAllowance = 1;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2", "e3");
        for (String id : List.of("a", "b")) {
            front.request(id, "small");
            front.finish(id, 0, front.engineOf(id), AttemptStatus.FULL, MILLI_NANOS);
        }
        assertEquals(2, front.countActions("send a"));
        assertEquals(1, front.countActions("send b"));
        assertEquals(1, front.countActions("refuse b"));
        front.advance(11 * SECOND_NANOS);
        front.request("c", "small");
        front.finish("c", 0, front.engineOf("c"), AttemptStatus.FULL, MILLI_NANOS);
        assertEquals(2, front.countActions("send c"));
    }

    @Test
    void failsUnsafeRequestThatMayHaveRun() {
        settings.retrySafety = RetrySafety.UNSAFE;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "small");
        front.finish("a", 0, front.engineOf("a"), AttemptStatus.RESET, MILLI_NANOS);
        assertEquals(1, front.countActions("send a"));
        assertEquals(1, front.countActions("fail a"));
    }

    @Test
    void retriesUnsafeRequestThatNeverRan() {
        settings.retrySafety = RetrySafety.UNSAFE;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "small");
        front.finish("a", 0, front.engineOf("a"), AttemptStatus.FULL, MILLI_NANOS);
        assertEquals(2, front.countActions("send a"));
    }

    @Test
    void retriesKeyedRequestOnlyWithinItsWindow() {
        settings.retrySafety = RetrySafety.KEYED;
        settings.keyWindow = SECOND_NANOS / 2;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "small");
        front.finish("a", 0, front.engineOf("a"), AttemptStatus.ERROR, MILLI_NANOS);
        assertEquals(2, front.countActions("send a"));
        front.advance(300 * MILLI_NANOS);
        front.finish("a", 1, front.engineOf("a"), AttemptStatus.ERROR, MILLI_NANOS);
        assertEquals(2, front.countActions("send a"));
        assertEquals(1, front.countActions("refuse a"), "all engines drop repeats, so a retry after the refusal is safe");
    }

    @Test
    void failsKeyedRequestOfOneCellThatMayHaveRun() {
        settings.retrySafety = RetrySafety.KEYED;
        settings.keyScope = DeduplicationScope.CELL;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        front.request("a", "small");
        front.updateEngine(ScriptedFront.engine("e1", EngineStatus.REMOVED, "plain", 0));
        front.finish("a", 0, "e1", AttemptStatus.RESET, MILLI_NANOS);
        assertEquals(List.of("send a e1", "fail a"), front.newActions());
    }

    @Test
    void sendsNothingToDrainingOrRemovedEngine() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        front.updateEngine(ScriptedFront.engine("e1", EngineStatus.DRAINING, "plain", 0));
        front.request("a", "small");
        front.advance(SECOND_NANOS);
        front.updateEngine(ScriptedFront.engine("e1", EngineStatus.REMOVED, "plain", 0));
        front.request("b", "small");
        front.advance(4 * SECOND_NANOS);
        assertEquals(0, front.countActions("send"));
        assertEquals(2, front.countActions("refuse"));
    }

    @Test
    void removesEngineMissingFromCompleteList() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.listEngines("e2");
        front.request("a", "small");
        front.request("b", "small");
        assertEquals(List.of("send a e2", "send b e2"), front.newActions());
    }

    @Test
    void keepsPlacementRuleWithoutAnAllowedEngine() {
        settings.machineTypes = List.of("large");
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.request("a", "small");
        front.advance(4 * SECOND_NANOS);
        assertEquals(List.of("refuse a"), front.newActions());
    }

    @Test
    void runsRequestsOfOneKeyInTurnWithCooldownAfterUnknownResult() {
        settings.serialByKey = true;
        settings.retrySafety = RetrySafety.KEYED;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.requestWithKey("a", 7);
        front.requestWithKey("b", 7);
        front.requestWithKey("c", 8);
        assertEquals(0, front.countActions("send b"));
        assertEquals(1, front.countActions("send c"));
        front.control.onAbandoned(front.now, "a");
        assertEquals(0, front.countActions("send b"), "an attempt of the first request is in flight");
        front.finish("a", 0, front.engineOf("a"), AttemptStatus.TIMEOUT, MILLI_NANOS);
        front.advance(450 * MILLI_NANOS);
        assertEquals(0, front.countActions("send b"), "the key is in its cool-down");
        front.advance(100 * MILLI_NANOS);
        assertEquals(1, front.countActions("send b") + front.countActions("refuse b"));
    }

    @Test
    void sendsNextRequestOfKeyAfterRefusal() {
        settings.serialByKey = true;
        settings.retrySafety = RetrySafety.KEYED;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines();
        front.requestWithKey("a", 7);
        front.advance(2900 * MILLI_NANOS);
        front.requestWithKey("b", 7);
        front.advance(200 * MILLI_NANOS);
        front.listEngines("e1");
        front.advance(50 * MILLI_NANOS);
        assertEquals(List.of("refuse a", "send b e1"), front.newActions());
    }

    @Test
    void limitsWorkSentToColdEngineInAnyWindow() {
        settings.fronts = 2;
        ScriptedFront front = new ScriptedFront(settings);
        front.updateEngine(ScriptedFront.engine("e1", EngineStatus.READY, "plain", front.now));
        for (int i = 0; i < 200; i++) {
            front.request("a" + i, "big");
            front.advance(5 * MILLI_NANOS);
        }
        // The initial work of "big" is 0.5 x 3 s x 4 threads = 6 s; the engine can do 0.4 x 0.85 x 8 x 2 s = 5.4 s.
        assertTrue(front.countActions("send") <= 1, "sent " + front.countActions("send"));
    }

    @Test
    void waitsOneWindowBeforeUsingColdEngineAfterOwnStart() {
        ScriptedFront front = new ScriptedFront(settings);
        front.updateEngine(ScriptedFront.engine("e1", EngineStatus.READY, "plain", front.now - SECOND_NANOS));
        front.request("a", "small");
        front.advance(1900 * MILLI_NANOS);
        assertEquals(0, front.countActions("send"));
        front.request("b", "small");
        front.advance(200 * MILLI_NANOS);
        assertEquals(1, front.countActions("send"));
    }

    /** Guards against a request that waits for others of its key being held until just before its deadline. */
    @Test
    void refusesHopelessRequestThatWaitsForItsKeyAtOnce() {
        settings.serialByKey = true;
        settings.retrySafety = RetrySafety.UNSAFE;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 40; i++) {
            front.request("w" + i, "small");
            front.finish("w" + i, 0, front.engineOf("w" + i), AttemptStatus.OK, 100 * MILLI_NANOS);
        }
        front.requestWithKey("a", 7);
        front.requestWithKey("b", 7);
        front.advance(1500 * MILLI_NANOS);
        assertEquals(0, front.countActions("send b"));
        assertEquals(1, front.countActions("refuse b"),
                "its latency target of 600 ms has passed and a late answer earns nothing");
    }

    @Test
    void failsUnsafeRequestAfterAnyUncertainOutcome() {
        settings.retrySafety = RetrySafety.UNSAFE;
        settings.cancel = true;
        for (AttemptStatus status : List.of(AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET,
                AttemptStatus.CANCELLED)) {
            ScriptedFront front = new ScriptedFront(settings);
            front.listEngines("e1", "e2");
            front.request("a", "small");
            front.newActions();
            front.finish("a", 0, front.engineOf("a"), status, 300 * MILLI_NANOS);
            front.advance(4 * SECOND_NANOS);
            assertEquals(List.of("fail a"), front.newActions(), status.toString());
        }
    }

    @Test
    void keepsRetryBudgetAtEdgesOfWindow() {
        settings.retryAllowance = 0;
        settings.retriesPerRequest = 0.5;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2", "e3");
        front.request("a", "small");
        front.request("b", "small");
        front.advance(10 * SECOND_NANOS);
        front.request("c", "small");
        front.finish("c", 0, front.engineOf("c"), AttemptStatus.FULL, MILLI_NANOS);
        assertEquals(1, front.countActions("send c"), "the first two requests are at the edge of the window and may not count");
    }

    /** A front that was stalled gets requests, a drain and timers in one batch. */
    @Test
    void keepsSafetyRulesInBurstAfterOwnStall() {
        settings.serialByKey = true;
        settings.retrySafety = RetrySafety.UNSAFE;
        settings.fronts = 2;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        front.requestWithKey("k0", 7);
        front.now += 2 * SECOND_NANOS;
        front.updateEngine(ScriptedFront.engine("e1", EngineStatus.DRAINING, "plain", 0));
        front.updateEngine(ScriptedFront.engine("e2", EngineStatus.READY, "plain", front.now));
        front.newActions();
        front.requestWithKey("k1", 7);
        for (int i = 0; i < 60; i++) {
            front.request("a" + i, "small");
        }
        front.control.onTimer(front.now, 1);
        List<String> sent = front.newActions();
        sent.removeIf(a -> !a.startsWith("send"));
        assertTrue(sent.stream().noneMatch(a -> a.endsWith(" e1")), "e1 is draining");
        assertEquals(0, front.countActions("send k1"), "an attempt of the first request of its key is in flight");
        // A small query counts 0.5 x 0.6 s; this front's half of 0.8 x 0.4 x 8 x 2 s is 2.56 s: at most nine queries.
        assertTrue(sent.size() <= 9, "sent to the cold engine: " + sent.size());
    }

    /** Without a known start time, an engine may stay cold for as long as the rules allow; with one it warms up. */
    @Test
    void treatsEngineWithUnknownStartTimeAsCold() {
        long[] sent = new long[2];
        for (int startKnown = 0; startKnown < 2; startKnown++) {
            TestSettings settings = new TestSettings();
            ScriptedFront front = new ScriptedFront(settings);
            long start = front.now;
            front.updateEngine(new Engine("e", EngineStatus.READY, "north", "plain", 0, 1, start, startKnown == 1));
            // In one window near the end of the warm-up time, far more is requested than a cold engine may get.
            front.now = start + 9 * SECOND_NANOS;
            for (int i = 0; i < 100; i++) {
                front.control.onRequest(front.now, new Request("q" + i, "small", "one", false, 0, 3 * SECOND_NANOS,
                        500 * MILLI_NANOS, 0, -1, false));
            }
            sent[startKnown] = front.countActions("send");
        }
        assertTrue(sent[0] > 0 && 3 * sent[0] <= 2 * sent[1],
                sent[0] + " with an unknown start time, " + sent[1] + " with a known one");
    }

    /** A query too large for one window's share is sent alone; all fronts together stay within half the overload limit. */
    @Test
    void limitsLargeQueriesToColdEngineToShareOfAllFronts() {
        TestSettings settings = new TestSettings();
        settings.coldCapacity = 0.8;
        ScriptedFront front = new ScriptedFront(settings);
        front.updateEngine(new Engine("e", EngineStatus.READY, "north", "plain", 0, 1, front.now, false));
        double maxWork = 0.5 * 2 * 0.8 * 8 * 2;
        for (int i = 0; i < 20; i++) {
            front.control.onRequest(front.now, new Request("b" + i, "big", "one", false, 0, 15 * SECOND_NANOS,
                    5 * SECOND_NANOS, 0, -1, false));
        }
        // Each counts as at least 6 s: the initial work of its class.
        assertTrue(front.countActions("send") >= 1 && front.countActions("send") * 6.0 <= maxWork,
                front.countActions("send") + " sent");
    }
}
