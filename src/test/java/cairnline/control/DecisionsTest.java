package cairnline.control;

import static cairnline.control.ScriptedFront.MILLI_NANOS;
import static cairnline.control.ScriptedFront.SECOND_NANOS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.Outcome;
import cairnline.control.ScriptedFront.TestSettings;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The ordinary path and its defences, driven by scripted events. */
class DecisionsTest {
    private final TestSettings settings = new TestSettings();

    /** Serves one query from send to success. */
    private static void serve(ScriptedFront s, String id, String type, long rtt) {
        s.request(id, type);
        s.advance(rtt);
        s.finish(id, 0, s.engineOf(id), AttemptStatus.OK, rtt);
    }

    @Test
    void aFastFailingEngineDoesNotAttractTraffic() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        int failed = 0;
        for (int i = 0; i < 60; i++) {
            String id = "a" + i;
            s.request(id, "small");
            if (s.engineOf(id).equals("e1")) {
                failed++;
                s.finish(id, 0, "e1", AttemptStatus.ERROR, MILLI_NANOS);
            }
            s.advance(100 * MILLI_NANOS);
            s.finish(id, (int) s.countActions("send " + id + " ") - 1, "e2", AttemptStatus.OK, 100 * MILLI_NANOS);
        }
        assertTrue(failed <= 15, "sent to the failing engine: " + failed);
    }

    @Test
    void oneLongQueryCausesNoRefusals() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 20; i++) {
            serve(s, "a" + i, "small", 80 * MILLI_NANOS);
        }
        serve(s, "long", "small", 2900 * MILLI_NANOS);
        for (int i = 0; i < 20; i++) {
            serve(s, "b" + i, "small", 80 * MILLI_NANOS);
        }
        assertEquals(0, s.countActions("refuse"));
    }

    @Test
    void whenAllEnginesFailTheyAreStillTried() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 20; i++) {
            s.request("a" + i, "small");
            for (int n = 0; n < 3 && s.countActions("send a" + i + " ") == n + 1; n++) {
                s.finish("a" + i, n, s.engineOf("a" + i), AttemptStatus.ERROR, MILLI_NANOS);
            }
        }
        s.request("b", "small");
        assertEquals(1, s.countActions("send b"));
    }

    @Test
    void overTheMarkQueriesAreHeldAndLeaveByDeadline() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        for (int i = 0; i < 6; i++) {
            s.request("big" + i, "big");
        }
        s.finish("big0", 0, "e1", AttemptStatus.FULL, MILLI_NANOS);
        s.newActions();
        for (int i = 6; i < 12; i++) {
            s.request("big" + i, "big");
        }
        s.request("small0", "small");
        s.newActions();
        for (int i = 1; i < 6; i++) {
            s.finish("big" + i, 0, "e1", AttemptStatus.OK, 100 * MILLI_NANOS);
        }
        List<String> sent = new ArrayList<>(s.newActions());
        sent.removeIf(a -> !a.startsWith("send"));
        List<String> order = sent.stream().filter(a -> a.startsWith("send big")).toList();
        List<String> sorted = new ArrayList<>(order);
        sorted.sort((a, b) -> Integer.compare(number(a), number(b)));
        assertEquals(sorted, order);
        assertTrue(!order.isEmpty());
    }

    /** Once missed where the light class's aim was more than a quarter of the heaviest's. */
    @Test
    void theCheaperClassGoesFirstOnShortCoresWhateverTheAims() {
        settings.smallLatencyTarget = 3100 * MILLI_NANOS;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 40; i++) {
            serve(s, "a" + i, "small", 80 * MILLI_NANOS);
        }
        s.request("x", "small");
        assertTrue(s.actions.contains("options x 0 3"), s.actions.toString());
    }

    /** Loads that nobody waits for once went before reports, which then were the worst-served class. */
    @Test
    void loadsGoFirstOnlyWhereOthersWaitForThem() {
        for (boolean wait : new boolean[] {false, true}) {
            settings.bigLocksTables = true;
            settings.smallWaitsForLock = wait;
            ScriptedFront s = new ScriptedFront(settings);
            s.listEngines("e1");
            s.request("x", "big");
            assertEquals(wait ? 1 : 0, s.countActions("options x 0 2"));
        }
    }

    /** Delays once stood for work where answers tell none, so classes grew heavier as engines filled. */
    @Test
    void toldWorkAndNotDelayMakesAClassLight() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 80; i++) {
            s.requestWithWork("a" + i, "small", SECOND_NANOS);
            s.finish("a" + i, 0, s.engineOf("a" + i), AttemptStatus.OK, 100 * MILLI_NANOS);
            s.requestWithWork("b" + i, "big", 50 * MILLI_NANOS);
            s.advance(2 * SECOND_NANOS);
            s.finish("b" + i, 0, s.engineOf("b" + i), AttemptStatus.OK, 2 * SECOND_NANOS);
        }
        s.requestWithWork("x", "big", 50 * MILLI_NANOS);
        assertTrue(s.actions.contains("options x 0 3"), "the last actions: " + s.newActions());
    }

    private static int number(String send) {
        return Integer.parseInt(send.split(" ")[1].substring("big".length()));
    }

    /** A query of a class that usually takes half a second, with its progress after that time. */
    private ScriptedFront afterHalfASecond(double done) {
        settings.cancel = true;
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 30; i++) {
            serve(s, "a" + i, "big", 500 * MILLI_NANOS);
        }
        s.request("x", "big");
        s.advance(500 * MILLI_NANOS);
        s.progress("x", 0, s.engineOf("x"), done);
        return s;
    }

    @Test
    void aRunawayIsCalledOffAndTriedAgain() {
        ScriptedFront s = afterHalfASecond(0.02);
        assertEquals(1, s.countActions("cancel x 0"));
        s.finish("x", 0, s.engineOf("x"), AttemptStatus.CANCELLED, 500 * MILLI_NANOS);
        assertEquals(2, s.countActions("send x"));
    }

    @Test
    void anAttemptThatGetsOnWellIsLeftAlone() {
        ScriptedFront s = afterHalfASecond(0.5);
        assertEquals(0, s.countActions("cancel"));
    }

    @Test
    void aTinyEngineListChangeDoesNotForgetHeldQueries() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines();
        s.request("a", "small");
        s.listEngines("e1");
        assertEquals(List.of("send a e1"), s.newActions());
    }

    @Test
    void anEngineReportedFullLongAgoIsTriedAgain() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        Load full = new Load(Double.NaN, Double.NaN, 60, 1.5, Double.NaN);
        s.request("a", "small");
        String first = s.engineOf("a");
        s.control.onOutcome(s.now, new Outcome("a", 0, first, AttemptStatus.OK, 50 * MILLI_NANOS, true, 0, 0, full));
        s.request("b", "small");
        assertNotEquals(first, s.engineOf("b"));
        s.advance(60 * SECOND_NANOS);
        for (int i = 0; i < 8; i++) {
            s.request("c" + i, "big");
        }
        assertTrue(s.actions.stream().anyMatch(a -> a.startsWith("send c") && a.endsWith(" " + first)));
    }

    @Test
    void aSilentEngineIsPassedOver() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        for (int i = 0; i < 20; i++) {
            serve(s, "a" + i, "small", 80 * MILLI_NANOS);
        }
        s.request("hung", "small");
        String silent = s.engineOf("hung");
        s.advance(SECOND_NANOS);
        for (int i = 0; i < 10; i++) {
            serve(s, "b" + i, "small", 80 * MILLI_NANOS);
            assertNotEquals(silent, s.engineOf("b" + i));
        }
    }

    @Test
    void onFullEnginesTrafficPastItsTenantsShareIsRefusedFirst() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        for (int i = 0; i < 30; i++) {
            s.requestOfTenant("two", "a" + i, "big");
        }
        assertTrue(s.countActions("refuse a") > 0);
        s.requestOfTenant("one", "b", "big");
        assertEquals(0, s.countActions("refuse b"));
    }

    @Test
    void onFullEnginesVeryCostlyQueriesPayForTheirTime() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        for (int i = 0; i < 6; i++) {
            s.request("a" + i, "big");
        }
        s.requestWithWork("dear", "big", 60 * SECOND_NANOS);
        s.request("usual", "big");
        assertEquals(1, s.countActions("refuse dear"));
        assertEquals(0, s.countActions("refuse usual"));
    }

    @Test
    void aBurstSpreadsOverTheEngines() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2", "e3", "e4");
        for (int i = 0; i < 40; i++) {
            s.request("a" + i, "small");
        }
        for (String id : List.of("e1", "e2", "e3", "e4")) {
            long sent = s.actions.stream().filter(a -> a.startsWith("send") && a.endsWith(id)).count();
            assertTrue(sent >= 5 && sent <= 15, id + " got " + sent);
        }
    }

    @Test
    void heldQueriesShareOneTimer() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines();
        for (int i = 0; i < 100; i++) {
            s.request("a" + i, "small");
        }
        assertEquals(1, s.timersSet);
        s.advance(10 * SECOND_NANOS);
        assertEquals(100, s.countActions("refuse"));
        int before = s.timersSet;
        s.advance(60 * SECOND_NANOS);
        assertEquals(before, s.timersSet, "no timer runs while nothing is held");
    }

    @Test
    void aFullyBusyEngineCountsAsFullOfOthers() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1", "e2");
        Load busy = new Load(1.0, 0, Double.NaN, 0.1, 1);
        Load idle = new Load(0.1, 0, Double.NaN, 0.1, 0);
        String first = "e1";
        for (int i = 0; i < 20; i++) {
            String id = "a" + i;
            s.request(id, "small");
            s.request("also" + id, "small");
            s.advance(50 * MILLI_NANOS);
            for (String each : List.of(id, "also" + id)) {
                String at = s.engineOf(each);
                Load load = i == 19 && at.equals(first) ? busy : idle;
                s.control.onOutcome(s.now, new Outcome(each, 0, at, AttemptStatus.OK, 50 * MILLI_NANOS, true, 0, 0, load));
            }
        }
        for (int i = 0; i < 4; i++) {
            s.request("c" + i, "small");
            assertNotEquals(first, s.engineOf("c" + i));
        }
    }

    @Test
    void wrongUseIsRejected() {
        ScriptedFront s = new ScriptedFront(settings);
        s.listEngines("e1");
        s.request("a", "small");
        assertThrows(IllegalArgumentException.class, () -> s.request("a", "small"));
        assertThrows(IllegalArgumentException.class, () -> s.request("b", "unheard of"));
        s.finish("a", 5, "e1", AttemptStatus.OK, MILLI_NANOS);
        s.finish("nobody", 0, "e1", AttemptStatus.OK, MILLI_NANOS);
        s.now -= SECOND_NANOS;
        assertThrows(IllegalArgumentException.class, () -> s.request("c", "small"));
    }

    @Test
    void equalEventsGiveEqualActionsAlsoBesideOtherInstances() {
        List<ScriptedFront> all = List.of(new ScriptedFront(settings), new ScriptedFront(settings), new ScriptedFront(settings));
        for (ScriptedFront s : all) {
            s.listEngines("e1", "e2", "e3");
        }
        for (int i = 0; i < 500; i++) {
            for (ScriptedFront s : all.subList(0, 2)) {
                step(s, i);
            }
        }
        for (int i = 0; i < 500; i++) {
            step(all.get(2), i);
        }
        assertEquals(all.get(0).actions, all.get(1).actions);
        assertEquals(all.get(0).actions, all.get(2).actions);
        assertTrue(all.get(0).countActions("send") > 100);
    }

    private static void step(ScriptedFront s, int i) {
        s.request("q" + i, i % 5 == 0 ? "big" : "small");
        s.advance(7 * MILLI_NANOS);
        if (i >= 10 && s.engineOf("q" + (i - 10)) != null) {
            AttemptStatus end = i % 17 == 0 ? AttemptStatus.ERROR : AttemptStatus.OK;
            s.finish("q" + (i - 10), 0, s.engineOf("q" + (i - 10)), end, 70 * MILLI_NANOS);
        }
    }
}
