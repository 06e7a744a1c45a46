package cairnline.control;

import static cairnline.control.ScriptedFront.MS;
import static cairnline.control.ScriptedFront.SECOND;
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
    private final TestSettings site = new TestSettings();

    /** Serves one query from send to success. */
    private static void serve(ScriptedFront s, String id, String type, long rtt) {
        s.take(id, type);
        s.pass(rtt);
        s.end(id, 0, s.engineOf(id), AttemptStatus.OK, rtt);
    }

    @Test
    void aFastFailingEngineDoesNotAttractTraffic() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        int failed = 0;
        for (int i = 0; i < 60; i++) {
            String id = "a" + i;
            s.take(id, "small");
            if (s.engineOf(id).equals("e1")) {
                failed++;
                s.end(id, 0, "e1", AttemptStatus.ERROR, MS);
            }
            s.pass(100 * MS);
            s.end(id, (int) s.count("send " + id + " ") - 1, "e2", AttemptStatus.OK, 100 * MS);
        }
        assertTrue(failed <= 15, "sent to the failing engine: " + failed);
    }

    @Test
    void oneLongQueryCausesNoRefusals() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 20; i++) {
            serve(s, "a" + i, "small", 80 * MS);
        }
        serve(s, "long", "small", 2900 * MS);
        for (int i = 0; i < 20; i++) {
            serve(s, "b" + i, "small", 80 * MS);
        }
        assertEquals(0, s.count("refuse"));
    }

    @Test
    void whenAllEnginesFailTheyAreStillTried() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 20; i++) {
            s.take("a" + i, "small");
            for (int n = 0; n < 3 && s.count("send a" + i + " ") == n + 1; n++) {
                s.end("a" + i, n, s.engineOf("a" + i), AttemptStatus.ERROR, MS);
            }
        }
        s.take("b", "small");
        assertEquals(1, s.count("send b"));
    }

    @Test
    void overTheMarkQueriesAreHeldAndLeaveByDeadline() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        for (int i = 0; i < 6; i++) {
            s.take("big" + i, "big");
        }
        s.end("big0", 0, "e1", AttemptStatus.FULL, MS);
        s.fresh();
        for (int i = 6; i < 12; i++) {
            s.take("big" + i, "big");
        }
        s.take("small0", "small");
        s.fresh();
        for (int i = 1; i < 6; i++) {
            s.end("big" + i, 0, "e1", AttemptStatus.OK, 100 * MS);
        }
        List<String> sent = new ArrayList<>(s.fresh());
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
        site.smallAim = 3100 * MS;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 40; i++) {
            serve(s, "a" + i, "small", 80 * MS);
        }
        s.take("x", "small");
        assertTrue(s.actions.contains("terms x 0 3"), s.actions.toString());
    }

    /** Loads that nobody waits for once went before reports, which then were the worst-served class. */
    @Test
    void loadsGoFirstOnlyWhereOthersWaitForThem() {
        for (boolean wait : new boolean[] {false, true}) {
            site.bigHolds = true;
            site.smallWaits = wait;
            ScriptedFront s = new ScriptedFront(site);
            s.list("e1");
            s.take("x", "big");
            assertEquals(wait ? 1 : 0, s.count("terms x 0 2"));
        }
    }

    /** Delays once stood for work where answers tell none, so classes grew heavier as engines filled. */
    @Test
    void toldWorkAndNotDelayMakesAClassLight() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 80; i++) {
            s.takeTold("a" + i, "small", SECOND);
            s.end("a" + i, 0, s.engineOf("a" + i), AttemptStatus.OK, 100 * MS);
            s.takeTold("b" + i, "big", 50 * MS);
            s.pass(2 * SECOND);
            s.end("b" + i, 0, s.engineOf("b" + i), AttemptStatus.OK, 2 * SECOND);
        }
        s.takeTold("x", "big", 50 * MS);
        assertTrue(s.actions.contains("terms x 0 3"), "the last actions: " + s.fresh());
    }

    private static int number(String send) {
        return Integer.parseInt(send.split(" ")[1].substring("big".length()));
    }

    /** A query of a class that usually takes half a second, with its progress after that time. */
    private ScriptedFront afterHalfASecond(double done) {
        site.cancel = true;
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 30; i++) {
            serve(s, "a" + i, "big", 500 * MS);
        }
        s.take("x", "big");
        s.pass(500 * MS);
        s.progress("x", 0, s.engineOf("x"), done);
        return s;
    }

    @Test
    void aRunawayIsCalledOffAndTriedAgain() {
        ScriptedFront s = afterHalfASecond(0.02);
        assertEquals(1, s.count("cancel x 0"));
        s.end("x", 0, s.engineOf("x"), AttemptStatus.CANCELLED, 500 * MS);
        assertEquals(2, s.count("send x"));
    }

    @Test
    void anAttemptThatGetsOnWellIsLeftAlone() {
        ScriptedFront s = afterHalfASecond(0.5);
        assertEquals(0, s.count("cancel"));
    }

    @Test
    void aTinyEngineListChangeDoesNotForgetHeldQueries() {
        ScriptedFront s = new ScriptedFront(site);
        s.list();
        s.take("a", "small");
        s.list("e1");
        assertEquals(List.of("send a e1"), s.fresh());
    }

    @Test
    void anEngineReportedFullLongAgoIsTriedAgain() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        Load full = new Load(Double.NaN, Double.NaN, 60, 1.5, Double.NaN);
        s.take("a", "small");
        String first = s.engineOf("a");
        s.control.onOutcome(s.now, new Outcome("a", 0, first, AttemptStatus.OK, 50 * MS, true, 0, 0, full));
        s.take("b", "small");
        assertNotEquals(first, s.engineOf("b"));
        s.pass(60 * SECOND);
        for (int i = 0; i < 8; i++) {
            s.take("c" + i, "big");
        }
        assertTrue(s.actions.stream().anyMatch(a -> a.startsWith("send c") && a.endsWith(" " + first)));
    }

    @Test
    void aSilentEngineIsPassedOver() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        for (int i = 0; i < 20; i++) {
            serve(s, "a" + i, "small", 80 * MS);
        }
        s.take("hung", "small");
        String silent = s.engineOf("hung");
        s.pass(SECOND);
        for (int i = 0; i < 10; i++) {
            serve(s, "b" + i, "small", 80 * MS);
            assertNotEquals(silent, s.engineOf("b" + i));
        }
    }

    @Test
    void onFullEnginesTrafficPastItsTenantsShareIsRefusedFirst() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        for (int i = 0; i < 30; i++) {
            s.takeOf("two", "a" + i, "big");
        }
        assertTrue(s.count("refuse a") > 0);
        s.takeOf("one", "b", "big");
        assertEquals(0, s.count("refuse b"));
    }

    @Test
    void onFullEnginesVeryCostlyQueriesPayForTheirTime() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        for (int i = 0; i < 6; i++) {
            s.take("a" + i, "big");
        }
        s.takeTold("dear", "big", 60 * SECOND);
        s.take("usual", "big");
        assertEquals(1, s.count("refuse dear"));
        assertEquals(0, s.count("refuse usual"));
    }

    @Test
    void aBurstSpreadsOverTheEngines() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2", "e3", "e4");
        for (int i = 0; i < 40; i++) {
            s.take("a" + i, "small");
        }
        for (String id : List.of("e1", "e2", "e3", "e4")) {
            long sent = s.actions.stream().filter(a -> a.startsWith("send") && a.endsWith(id)).count();
            assertTrue(sent >= 5 && sent <= 15, id + " got " + sent);
        }
    }

    @Test
    void heldQueriesShareOneTimer() {
        ScriptedFront s = new ScriptedFront(site);
        s.list();
        for (int i = 0; i < 100; i++) {
            s.take("a" + i, "small");
        }
        assertEquals(1, s.wakes);
        s.pass(10 * SECOND);
        assertEquals(100, s.count("refuse"));
        int before = s.wakes;
        s.pass(60 * SECOND);
        assertEquals(before, s.wakes, "no timer runs while nothing is held");
    }

    @Test
    void aFullyBusyEngineCountsAsFullOfOthers() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1", "e2");
        Load busy = new Load(1.0, 0, Double.NaN, 0.1, 1);
        Load idle = new Load(0.1, 0, Double.NaN, 0.1, 0);
        String first = "e1";
        for (int i = 0; i < 20; i++) {
            String id = "a" + i;
            s.take(id, "small");
            s.take("also" + id, "small");
            s.pass(50 * MS);
            for (String each : List.of(id, "also" + id)) {
                String at = s.engineOf(each);
                Load load = i == 19 && at.equals(first) ? busy : idle;
                s.control.onOutcome(s.now, new Outcome(each, 0, at, AttemptStatus.OK, 50 * MS, true, 0, 0, load));
            }
        }
        for (int i = 0; i < 4; i++) {
            s.take("c" + i, "small");
            assertNotEquals(first, s.engineOf("c" + i));
        }
    }

    @Test
    void wrongUseIsRejected() {
        ScriptedFront s = new ScriptedFront(site);
        s.list("e1");
        s.take("a", "small");
        assertThrows(IllegalArgumentException.class, () -> s.take("a", "small"));
        assertThrows(IllegalArgumentException.class, () -> s.take("b", "unheard of"));
        s.end("a", 5, "e1", AttemptStatus.OK, MS);
        s.end("nobody", 0, "e1", AttemptStatus.OK, MS);
        s.now -= SECOND;
        assertThrows(IllegalArgumentException.class, () -> s.take("c", "small"));
    }

    @Test
    void equalEventsGiveEqualActionsAlsoBesideOtherInstances() {
        List<ScriptedFront> all = List.of(new ScriptedFront(site), new ScriptedFront(site), new ScriptedFront(site));
        for (ScriptedFront s : all) {
            s.list("e1", "e2", "e3");
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
        assertTrue(all.get(0).count("send") > 100);
    }

    private static void step(ScriptedFront s, int i) {
        s.take("q" + i, i % 5 == 0 ? "big" : "small");
        s.pass(7 * MS);
        if (i >= 10 && s.engineOf("q" + (i - 10)) != null) {
            AttemptStatus end = i % 17 == 0 ? AttemptStatus.ERROR : AttemptStatus.OK;
            s.end("q" + (i - 10), 0, s.engineOf("q" + (i - 10)), end, 70 * MS);
        }
    }
}
