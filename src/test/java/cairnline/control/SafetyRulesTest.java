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

/** The rules, driven by scripted events. */
class SafetyRulesTest {
    private final TestSettings settings = new TestSettings();

    @Test
    void aHeldRequestIsAnsweredOnceBeforeItsTimeIsUp() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines();
        s.request("a", "small");
        assertEquals(List.of(), s.newActions());
        s.advance(3 * SECOND_NANOS);
        assertEquals(List.of("refuse a"), s.newActions());
    }

    @Test
    void aTimeoutAtTheDeadlineIsFailedOnce() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        s.request("a", "small");
        s.advance(3 * SECOND_NANOS);
        s.newActions();
        s.finish("a", 0, "e1", AttemptStatus.TIMEOUT, 3 * SECOND_NANOS);
        s.control.onAbandoned(s.now, "a");
        assertEquals(List.of("fail a"), s.newActions());
    }

    @Test
    void nothingIsSentForARequestWhoseClientHasLeft() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        s.request("a", "small");
        s.newActions();
        s.control.onAbandoned(s.now, "a");
        s.finish("a", 0, "e1", AttemptStatus.ERROR, MILLI_NANOS);
        assertEquals(List.of(), s.newActions());
    }

    @Test
    void aSafeRequestIsTriedElsewhereAfterAnError() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "small");
        String first = s.engineOf("a");
        s.finish("a", 0, first, AttemptStatus.ERROR, MILLI_NANOS);
        assertNotEquals(first, s.engineOf("a"));
        assertEquals(2, s.countActions("send a"));
    }

    @Test
    void noSecondAttemptGoesOutWhileACancelledOneHasNoOutcome() {
        settings.cancel = true;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "big");
        s.advance(14 * SECOND_NANOS);
        s.progress("a", 0, s.engineOf("a"), 0.01);
        assertEquals(1, s.countActions("cancel a 0"));
        s.listEngines("e1", "e2", "e3");
        s.advance(500 * MILLI_NANOS);
        assertEquals(1, s.countActions("send a"));
    }

    @Test
    void attemptsStayWithinTheLimit() {
        settings.maxAttempts = 2;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2", "e3");
        s.request("a", "small");
        s.finish("a", 0, s.engineOf("a"), AttemptStatus.ERROR, MILLI_NANOS);
        s.finish("a", 1, s.engineOf("a"), AttemptStatus.ERROR, MILLI_NANOS);
        assertEquals(2, s.countActions("send a"));
        assertEquals(1, s.countActions("refuse a"));
    }

    @Test
    void furtherAttemptsStayWithinTheBudgetOfTheWindow() {
        settings.retryAllowance = 1;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2", "e3");
        for (String id : List.of("a", "b")) {
            s.request(id, "small");
            s.finish(id, 0, s.engineOf(id), AttemptStatus.FULL, MILLI_NANOS);
        }
        assertEquals(2, s.countActions("send a"));
        assertEquals(1, s.countActions("send b"));
        assertEquals(1, s.countActions("refuse b"));
        s.advance(11 * SECOND_NANOS);
        s.request("c", "small");
        s.finish("c", 0, s.engineOf("c"), AttemptStatus.FULL, MILLI_NANOS);
        assertEquals(2, s.countActions("send c"));
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsFailedAndNotRepeated() {
        settings.retrySafety = RetrySafety.UNSAFE;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "small");
        s.finish("a", 0, s.engineOf("a"), AttemptStatus.RESET, MILLI_NANOS);
        assertEquals(1, s.countActions("send a"));
        assertEquals(1, s.countActions("fail a"));
    }

    @Test
    void anUnsafeRequestThatNeverRanIsSentAgain() {
        settings.retrySafety = RetrySafety.UNSAFE;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "small");
        s.finish("a", 0, s.engineOf("a"), AttemptStatus.FULL, MILLI_NANOS);
        assertEquals(2, s.countActions("send a"));
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyInsideItsWindow() {
        settings.retrySafety = RetrySafety.KEYED;
        settings.keyWindow = SECOND_NANOS / 2;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "small");
        s.finish("a", 0, s.engineOf("a"), AttemptStatus.ERROR, MILLI_NANOS);
        assertEquals(2, s.countActions("send a"));
        s.advance(300 * MILLI_NANOS);
        s.finish("a", 1, s.engineOf("a"), AttemptStatus.ERROR, MILLI_NANOS);
        assertEquals(2, s.countActions("send a"));
        assertEquals(1, s.countActions("refuse a"), "all engines drop repeats, so a refusal is honest");
    }

    @Test
    void aKeyedRequestOfOneCellIsNeverRefusedOnceItMayHaveRun() {
        settings.retrySafety = RetrySafety.KEYED;
        settings.keyScope = DeduplicationScope.CELL;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        s.request("a", "small");
        s.updateEngine(ScriptedFront.engine("e1", EngineStatus.REMOVED, "plain", 0));
        s.finish("a", 0, "e1", AttemptStatus.RESET, MILLI_NANOS);
        assertEquals(List.of("send a e1", "fail a"), s.newActions());
    }

    @Test
    void nothingNewGoesToADrainingOrGoneEngine() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        s.updateEngine(ScriptedFront.engine("e1", EngineStatus.DRAINING, "plain", 0));
        s.request("a", "small");
        s.advance(SECOND_NANOS);
        s.updateEngine(ScriptedFront.engine("e1", EngineStatus.REMOVED, "plain", 0));
        s.request("b", "small");
        s.advance(4 * SECOND_NANOS);
        assertEquals(0, s.countActions("send"));
        assertEquals(2, s.countActions("refuse"));
    }

    @Test
    void anEngineMissingFromACompleteListIsGone() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.listEngines("e2");
        s.request("a", "small");
        s.request("b", "small");
        assertEquals(List.of("send a e2", "send b e2"), s.newActions());
    }

    @Test
    void placementHoldsEvenWhenAllAllowedEnginesAreGone() {
        settings.machineTypes = List.of("large");
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.request("a", "small");
        s.advance(4 * SECOND_NANOS);
        assertEquals(List.of("refuse a"), s.newActions());
    }

    @Test
    void requestsOfOneKeyRunInTurnAndRestAfterADoubtfulEnd() {
        settings.serialByKey = true;
        settings.retrySafety = RetrySafety.KEYED;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.requestWithKey("a", 7);
        s.requestWithKey("b", 7);
        s.requestWithKey("c", 8);
        assertEquals(0, s.countActions("send b"));
        assertEquals(1, s.countActions("send c"));
        s.control.onAbandoned(s.now, "a");
        assertEquals(0, s.countActions("send b"), "an attempt of the first is still out");
        s.finish("a", 0, s.engineOf("a"), AttemptStatus.TIMEOUT, MILLI_NANOS);
        s.advance(450 * MILLI_NANOS);
        assertEquals(0, s.countActions("send b"), "the key rests");
        s.advance(100 * MILLI_NANOS);
        assertEquals(1, s.countActions("send b") + s.countActions("refuse b"));
    }

    @Test
    void aRefusedHeadLetsTheNextOfItsKeyGo() {
        settings.serialByKey = true;
        settings.retrySafety = RetrySafety.KEYED;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines();
        s.requestWithKey("a", 7);
        s.advance(2900 * MILLI_NANOS);
        s.requestWithKey("b", 7);
        s.advance(200 * MILLI_NANOS);
        s.listEngines("e1");
        s.advance(50 * MILLI_NANOS);
        assertEquals(List.of("refuse a", "send b e1"), s.newActions());
    }

    @Test
    void aColdEngineIsSentNoMoreThanItsShareInAnyWindow() {
        settings.fronts = 2;
        ScriptedFront s = new ScriptedFront(settings);
        s.updateEngine(ScriptedFront.engine("e1", EngineStatus.READY, "plain", s.now));
        for (int i = 0; i < 200; i++) {
            s.request("a" + i, "big");
            s.advance(5 * MILLI_NANOS);
        }
        // Prior work of "big" is 0.5 x 3 s x 4 threads = 6 s; the engine can do 0.4 x 0.85 x 8 x 2 s = 5.4 s.
        assertTrue(s.countActions("send") <= 1, "sent " + s.countActions("send"));
    }

    @Test
    void aFrontThatHasJustStartedSparesEnginesThatStartedBeforeIt() {
        ScriptedFront s = new ScriptedFront(settings);
        s.updateEngine(ScriptedFront.engine("e1", EngineStatus.READY, "plain", s.now - SECOND_NANOS));
        s.request("a", "small");
        s.advance(1900 * MILLI_NANOS);
        assertEquals(0, s.countActions("send"));
        s.request("b", "small");
        s.advance(200 * MILLI_NANOS);
        assertEquals(1, s.countActions("send"));
    }

    /** A request behind others of its key was once held until just before its client's time was up. */
    @Test
    void aHopelessRequestBehindItsKeyIsAnsweredAtOnce() {
        settings.serialByKey = true;
        settings.retrySafety = RetrySafety.UNSAFE;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 40; i++) {
            s.request("w" + i, "small");
            s.finish("w" + i, 0, s.engineOf("w" + i), AttemptStatus.OK, 100 * MILLI_NANOS);
        }
        s.requestWithKey("a", 7);
        s.requestWithKey("b", 7);
        s.advance(1500 * MILLI_NANOS);
        assertEquals(0, s.countActions("send b"));
        assertEquals(1, s.countActions("refuse b"), "its aim of 600 ms is past and a late answer earns nothing");
    }

    @Test
    void anUnsafeRequestThatMayHaveRunEndsInAFailureHoweverItsAttemptEnded() {
        settings.retrySafety = RetrySafety.UNSAFE;
        settings.cancel = true;
        for (AttemptStatus end : List.of(AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)) {
            ScriptedFront s = new ScriptedFront(settings);
            s.listEngines("e1", "e2");
            s.request("a", "small");
            s.newActions();
            s.finish("a", 0, s.engineOf("a"), end, 300 * MILLI_NANOS);
            s.advance(4 * SECOND_NANOS);
            assertEquals(List.of("fail a"), s.newActions(), end.toString());
        }
    }

    @Test
    void theRationHoldsAtTheEdgesOfItsWindow() {
        settings.retryAllowance = 0;
        settings.retriesPerRequest = 0.5;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2", "e3");
        s.request("a", "small");
        s.request("b", "small");
        s.advance(10 * SECOND_NANOS);
        s.request("c", "small");
        s.finish("c", 0, s.engineOf("c"), AttemptStatus.FULL, MILLI_NANOS);
        assertEquals(1, s.countActions("send c"), "the first two lie on the window's edge and may not be counted");
    }

    /** A front that stood still finds requests, a drain and timers in one batch. */
    @Test
    void aStalledFrontsBurstKeepsDrainColdAndKeyRules() {
        settings.serialByKey = true;
        settings.retrySafety = RetrySafety.UNSAFE;
        settings.fronts = 2;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        s.requestWithKey("k0", 7);
        s.now += 2 * SECOND_NANOS;
        s.updateEngine(ScriptedFront.engine("e1", EngineStatus.DRAINING, "plain", 0));
        s.updateEngine(ScriptedFront.engine("e2", EngineStatus.READY, "plain", s.now));
        s.newActions();
        s.requestWithKey("k1", 7);
        for (int i = 0; i < 60; i++) {
            s.request("a" + i, "small");
        }
        s.control.onTimer(s.now, 1);
        List<String> sent = s.newActions();
        sent.removeIf(a -> !a.startsWith("send"));
        assertTrue(sent.stream().noneMatch(a -> a.endsWith(" e1")), "e1 drains");
        assertEquals(0, s.countActions("send k1"), "an attempt of the first of its key is out");
        // The small class counts 0.5 x 0.6 s; half of 0.8 x 0.4 x 8 x 2 s are 2.56 s: nine whole queries at most.
        assertTrue(sent.size() <= 9, "sent to the cold engine: " + sent.size());
    }

    /** Shown by its first sight alone, an engine may stay cold until the rules' last moment; a known start warms it. */
    @Test
    void anEngineWhoseStartIsNotKnownIsTakenForColdUntilItMustBeWarm() {
        long[] sent = new long[2];
        for (int sure = 0; sure < 2; sure++) {
            ScriptedFront.TestSettings settings = new ScriptedFront.TestSettings();
            ScriptedFront script = new ScriptedFront(settings);
            long start = script.now;
            script.updateEngine(new Engine("e", EngineStatus.READY, "north", "plain", 0, 1, start, sure == 1));
            // In one window near the end of the time to warm up, far more is asked than a cold engine may get.
            script.now = start + 9 * ScriptedFront.SECOND_NANOS;
            for (int i = 0; i < 100; i++) {
                script.control.onRequest(script.now, new Request("q" + i, "small", "one", false, 0, 3 * ScriptedFront.SECOND_NANOS,
                        500 * ScriptedFront.MILLI_NANOS, 0, -1, false));
            }
            sent[sure] = script.countActions("send");
        }
        assertTrue(sent[0] > 0 && 3 * sent[0] <= 2 * sent[1], sent[0] + " to a doubtful one, " + sent[1] + " to the other");
    }

    /** A query too large for the part of one window goes alone: all fronts' together stay within the rule's half. */
    @Test
    void aLargeQueryGoesToAColdEngineOnlyWhileNoMoreIsSentThanAllFrontsMay() {
        ScriptedFront.TestSettings settings = new ScriptedFront.TestSettings();
        settings.coldCapacity = 0.8;
        ScriptedFront script = new ScriptedFront(settings);
        script.updateEngine(new Engine("e", EngineStatus.READY, "north", "plain", 0, 1, script.now, false));
        double bound = 0.5 * 2 * 0.8 * 8 * 2;
        for (int i = 0; i < 20; i++) {
            script.control.onRequest(script.now, new Request("b" + i, "big", "one", false, 0, 15 * ScriptedFront.SECOND_NANOS,
                    5 * ScriptedFront.SECOND_NANOS, 0, -1, false));
        }
        // Each counts as 6 s at least: what is usual for its class before any has been heard of.
        assertTrue(script.countActions("send") >= 1 && script.countActions("send") * 6.0 <= bound, script.countActions("send") + " sent");
    }
}
