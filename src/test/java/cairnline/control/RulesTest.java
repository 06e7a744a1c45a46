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
import cairnline.control.ControlApi.Request;
import cairnline.control.ControlApi.DeduplicationScope;
import cairnline.control.ScriptedFront.TestSettings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules, driven by scripted events. */
class RulesTest {
    private final TestSettings site = new TestSettings();

    @Test
    void aHeldRequestIsAnsweredOnceBeforeItsTimeIsUp() {
        ScriptedFront s = new ScriptedFront(site);
        s.list();
        s.take("a", "small");
        assertEquals(List.of(), s.fresh());
        s.pass(3 * SECOND);
        assertEquals(List.of("refuse a"), s.fresh());
    }

    @Test
    void aTimeoutAtTheDeadlineIsFailedOnce() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        s.take("a", "small");
        s.pass(3 * SECOND);
        s.fresh();
        s.end("a", 0, "e1", AttemptStatus.TIMEOUT, 3 * SECOND);
        s.control.onAbandoned(s.now, "a");
        assertEquals(List.of("fail a"), s.fresh());
    }

    @Test
    void nothingIsSentForARequestWhoseClientHasLeft() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        s.take("a", "small");
        s.fresh();
        s.control.onAbandoned(s.now, "a");
        s.end("a", 0, "e1", AttemptStatus.ERROR, MS);
        assertEquals(List.of(), s.fresh());
    }

    @Test
    void aSafeRequestIsTriedElsewhereAfterAnError() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "small");
        String first = s.engineOf("a");
        s.end("a", 0, first, AttemptStatus.ERROR, MS);
        assertNotEquals(first, s.engineOf("a"));
        assertEquals(2, s.count("send a"));
    }

    @Test
    void noSecondAttemptGoesOutWhileACancelledOneHasNoOutcome() {
        site.cancel = true;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "big");
        s.pass(14 * SECOND);
        s.progress("a", 0, s.engineOf("a"), 0.01);
        assertEquals(1, s.count("cancel a 0"));
        s.list("e1", "e2", "e3");
        s.pass(500 * MS);
        assertEquals(1, s.count("send a"));
    }

    @Test
    void attemptsStayWithinTheLimit() {
        site.attempts = 2;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2", "e3");
        s.take("a", "small");
        s.end("a", 0, s.engineOf("a"), AttemptStatus.ERROR, MS);
        s.end("a", 1, s.engineOf("a"), AttemptStatus.ERROR, MS);
        assertEquals(2, s.count("send a"));
        assertEquals(1, s.count("refuse a"));
    }

    @Test
    void furtherAttemptsStayWithinTheBudgetOfTheWindow() {
        site.spare = 1;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2", "e3");
        for (String id : List.of("a", "b")) {
            s.take(id, "small");
            s.end(id, 0, s.engineOf(id), AttemptStatus.FULL, MS);
        }
        assertEquals(2, s.count("send a"));
        assertEquals(1, s.count("send b"));
        assertEquals(1, s.count("refuse b"));
        s.pass(11 * SECOND);
        s.take("c", "small");
        s.end("c", 0, s.engineOf("c"), AttemptStatus.FULL, MS);
        assertEquals(2, s.count("send c"));
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsFailedAndNotRepeated() {
        site.effect = RetrySafety.UNSAFE;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "small");
        s.end("a", 0, s.engineOf("a"), AttemptStatus.RESET, MS);
        assertEquals(1, s.count("send a"));
        assertEquals(1, s.count("fail a"));
    }

    @Test
    void anUnsafeRequestThatNeverRanIsSentAgain() {
        site.effect = RetrySafety.UNSAFE;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "small");
        s.end("a", 0, s.engineOf("a"), AttemptStatus.FULL, MS);
        assertEquals(2, s.count("send a"));
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyInsideItsWindow() {
        site.effect = RetrySafety.KEYED;
        site.window = SECOND / 2;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "small");
        s.end("a", 0, s.engineOf("a"), AttemptStatus.ERROR, MS);
        assertEquals(2, s.count("send a"));
        s.pass(300 * MS);
        s.end("a", 1, s.engineOf("a"), AttemptStatus.ERROR, MS);
        assertEquals(2, s.count("send a"));
        assertEquals(1, s.count("refuse a"), "all engines drop repeats, so a refusal is honest");
    }

    @Test
    void aKeyedRequestOfOneCellIsNeverRefusedOnceItMayHaveRun() {
        site.effect = RetrySafety.KEYED;
        site.scope = DeduplicationScope.CELL;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        s.take("a", "small");
        s.change(ScriptedFront.engine("e1", EngineStatus.REMOVED, "plain", 0));
        s.end("a", 0, "e1", AttemptStatus.RESET, MS);
        assertEquals(List.of("send a e1", "fail a"), s.fresh());
    }

    @Test
    void nothingNewGoesToADrainingOrGoneEngine() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        s.change(ScriptedFront.engine("e1", EngineStatus.DRAINING, "plain", 0));
        s.take("a", "small");
        s.pass(SECOND);
        s.change(ScriptedFront.engine("e1", EngineStatus.REMOVED, "plain", 0));
        s.take("b", "small");
        s.pass(4 * SECOND);
        assertEquals(0, s.count("send"));
        assertEquals(2, s.count("refuse"));
    }

    @Test
    void anEngineMissingFromACompleteListIsGone() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.list("e2");
        s.take("a", "small");
        s.take("b", "small");
        assertEquals(List.of("send a e2", "send b e2"), s.fresh());
    }

    @Test
    void placementHoldsEvenWhenAllAllowedEnginesAreGone() {
        site.kinds = List.of("large");
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.take("a", "small");
        s.pass(4 * SECOND);
        assertEquals(List.of("refuse a"), s.fresh());
    }

    @Test
    void requestsOfOneKeyRunInTurnAndRestAfterADoubtfulEnd() {
        site.serial = true;
        site.effect = RetrySafety.KEYED;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.takeKeyed("a", 7);
        s.takeKeyed("b", 7);
        s.takeKeyed("c", 8);
        assertEquals(0, s.count("send b"));
        assertEquals(1, s.count("send c"));
        s.control.onAbandoned(s.now, "a");
        assertEquals(0, s.count("send b"), "an attempt of the first is still out");
        s.end("a", 0, s.engineOf("a"), AttemptStatus.TIMEOUT, MS);
        s.pass(450 * MS);
        assertEquals(0, s.count("send b"), "the key rests");
        s.pass(100 * MS);
        assertEquals(1, s.count("send b") + s.count("refuse b"));
    }

    @Test
    void aRefusedHeadLetsTheNextOfItsKeyGo() {
        site.serial = true;
        site.effect = RetrySafety.KEYED;
        ScriptedFront s = new ScriptedFront(site);
        s.list();
        s.takeKeyed("a", 7);
        s.pass(2900 * MS);
        s.takeKeyed("b", 7);
        s.pass(200 * MS);
        s.list("e1");
        s.pass(50 * MS);
        assertEquals(List.of("refuse a", "send b e1"), s.fresh());
    }

    @Test
    void aColdEngineIsSentNoMoreThanItsShareInAnyWindow() {
        site.fronts = 2;
        ScriptedFront s = new ScriptedFront(site);
        s.change(ScriptedFront.engine("e1", EngineStatus.READY, "plain", s.now));
        for (int i = 0; i < 200; i++) {
            s.take("a" + i, "big");
            s.pass(5 * MS);
        }
        // Prior work of "big" is 0.5 x 3 s x 4 threads = 6 s; the engine can do 0.4 x 0.85 x 8 x 2 s = 5.4 s.
        assertTrue(s.count("send") <= 1, "sent " + s.count("send"));
    }

    @Test
    void aFrontThatHasJustStartedSparesEnginesThatStartedBeforeIt() {
        ScriptedFront s = new ScriptedFront(site);
        s.change(ScriptedFront.engine("e1", EngineStatus.READY, "plain", s.now - SECOND));
        s.take("a", "small");
        s.pass(1900 * MS);
        assertEquals(0, s.count("send"));
        s.take("b", "small");
        s.pass(200 * MS);
        assertEquals(1, s.count("send"));
    }

    /** A request behind others of its key was once held until just before its client's time was up. */
    @Test
    void aHopelessRequestBehindItsKeyIsAnsweredAtOnce() {
        site.serial = true;
        site.effect = RetrySafety.UNSAFE;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 40; i++) {
            s.take("w" + i, "small");
            s.end("w" + i, 0, s.engineOf("w" + i), AttemptStatus.OK, 100 * MS);
        }
        s.takeKeyed("a", 7);
        s.takeKeyed("b", 7);
        s.pass(1500 * MS);
        assertEquals(0, s.count("send b"));
        assertEquals(1, s.count("refuse b"), "its aim of 600 ms is past and a late answer earns nothing");
    }

    @Test
    void anUnsafeRequestThatMayHaveRunEndsInAFailureHoweverItsAttemptEnded() {
        site.effect = RetrySafety.UNSAFE;
        site.cancel = true;
        for (AttemptStatus end : List.of(AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)) {
            ScriptedFront s = new ScriptedFront(site);
            s.list("e1", "e2");
            s.take("a", "small");
            s.fresh();
            s.end("a", 0, s.engineOf("a"), end, 300 * MS);
            s.pass(4 * SECOND);
            assertEquals(List.of("fail a"), s.fresh(), end.toString());
        }
    }

    @Test
    void theRationHoldsAtTheEdgesOfItsWindow() {
        site.spare = 0;
        site.perRequest = 0.5;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2", "e3");
        s.take("a", "small");
        s.take("b", "small");
        s.pass(10 * SECOND);
        s.take("c", "small");
        s.end("c", 0, s.engineOf("c"), AttemptStatus.FULL, MS);
        assertEquals(1, s.count("send c"), "the first two lie on the window's edge and may not be counted");
    }

    /** A front that stood still finds requests, a drain and timers in one batch. */
    @Test
    void aStalledFrontsBurstKeepsDrainColdAndKeyRules() {
        site.serial = true;
        site.effect = RetrySafety.UNSAFE;
        site.fronts = 2;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        s.takeKeyed("k0", 7);
        s.now += 2 * SECOND;
        s.change(ScriptedFront.engine("e1", EngineStatus.DRAINING, "plain", 0));
        s.change(ScriptedFront.engine("e2", EngineStatus.READY, "plain", s.now));
        s.fresh();
        s.takeKeyed("k1", 7);
        for (int i = 0; i < 60; i++) {
            s.take("a" + i, "small");
        }
        s.control.onTimer(s.now, 1);
        List<String> sent = s.fresh();
        sent.removeIf(a -> !a.startsWith("send"));
        assertTrue(sent.stream().noneMatch(a -> a.endsWith(" e1")), "e1 drains");
        assertEquals(0, s.count("send k1"), "an attempt of the first of its key is out");
        // The small class counts 0.5 x 0.6 s; half of 0.8 x 0.4 x 8 x 2 s are 2.56 s: nine whole queries at most.
        assertTrue(sent.size() <= 9, "sent to the cold engine: " + sent.size());
    }

    /** Shown by its first sight alone, an engine may stay cold until the rules' last moment; a known start warms it. */
    @Test
    void anEngineWhoseStartIsNotKnownIsTakenForColdUntilItMustBeWarm() {
        long[] sent = new long[2];
        for (int sure = 0; sure < 2; sure++) {
            ScriptedFront.TestSettings site = new ScriptedFront.TestSettings();
            ScriptedFront script = new ScriptedFront(site);
            long start = script.now;
            script.change(new Engine("e", EngineStatus.READY, "north", "plain", 0, 1, start, sure == 1));
            // In one window near the end of the time to warm up, far more is asked than a cold engine may get.
            script.now = start + 9 * ScriptedFront.SECOND;
            for (int i = 0; i < 100; i++) {
                script.control.onRequest(script.now, new Request("q" + i, "small", "one", false, 0, 3 * ScriptedFront.SECOND,
                        500 * ScriptedFront.MS, 0, -1, false));
            }
            sent[sure] = script.count("send");
        }
        assertTrue(sent[0] > 0 && 3 * sent[0] <= 2 * sent[1], sent[0] + " to a doubtful one, " + sent[1] + " to the other");
    }

    /** A query too large for the part of one window goes alone: all fronts' together stay within the rule's half. */
    @Test
    void aLargeQueryGoesToAColdEngineOnlyWhileNoMoreIsSentThanAllFrontsMay() {
        ScriptedFront.TestSettings site = new ScriptedFront.TestSettings();
        site.coldFrom = 0.8;
        ScriptedFront script = new ScriptedFront(site);
        script.change(new Engine("e", EngineStatus.READY, "north", "plain", 0, 1, script.now, false));
        double bound = 0.5 * 2 * 0.8 * 8 * 2;
        for (int i = 0; i < 20; i++) {
            script.control.onRequest(script.now, new Request("b" + i, "big", "one", false, 0, 15 * ScriptedFront.SECOND,
                    5 * ScriptedFront.SECOND, 0, -1, false));
        }
        // Each counts as 6 s at least: what is usual for its class before any has been heard of.
        assertTrue(script.count("send") >= 1 && script.count("send") * 6.0 <= bound, script.count("send") + " sent");
    }
}
