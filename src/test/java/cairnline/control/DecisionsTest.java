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

/** Decisions on the normal path and under failures, driven by scripted events. */
class DecisionsTest {
    private final TestSettings settings = new TestSettings();

    /** Sends one query and finishes it with success after {@code rtt}. */
    private static void serve(ScriptedFront front, String id, String requestClass, long rtt) {
        front.request(id, requestClass);
        front.advance(rtt);
        front.finish(id, 0, front.engineOf(id), AttemptStatus.OK, rtt);
    }

    @Test
    void avoidsEngineThatFailsFast() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        int failed = 0;
        for (int i = 0; i < 60; i++) {
            String id = "a" + i;
            front.request(id, "small");
            if (front.engineOf(id).equals("e1")) {
                failed++;
                front.finish(id, 0, "e1", AttemptStatus.ERROR, MILLI_NANOS);
            }
            front.advance(100 * MILLI_NANOS);
            front.finish(id, (int) front.countActions("send " + id + " ") - 1, "e2", AttemptStatus.OK, 100 * MILLI_NANOS);
        }
        assertTrue(failed <= 15, "sent to the failing engine: " + failed);
    }

    @Test
    void doesNotRefuseQueriesAfterOneLongQuery() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 20; i++) {
            serve(front, "a" + i, "small", 80 * MILLI_NANOS);
        }
        serve(front, "long", "small", 2900 * MILLI_NANOS);
        for (int i = 0; i < 20; i++) {
            serve(front, "b" + i, "small", 80 * MILLI_NANOS);
        }
        assertEquals(0, front.countActions("refuse"));
    }

    @Test
    void triesEnginesWhenAllOfThemFail() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 20; i++) {
            front.request("a" + i, "small");
            for (int n = 0; n < 3 && front.countActions("send a" + i + " ") == n + 1; n++) {
                front.finish("a" + i, n, front.engineOf("a" + i), AttemptStatus.ERROR, MILLI_NANOS);
            }
        }
        front.request("b", "small");
        assertEquals(1, front.countActions("send b"));
    }

    @Test
    void holdsQueriesOverConcurrencyLimitAndSendsThemByLatencyTarget() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        for (int i = 0; i < 6; i++) {
            front.request("big" + i, "big");
        }
        front.finish("big0", 0, "e1", AttemptStatus.FULL, MILLI_NANOS);
        front.newActions();
        for (int i = 6; i < 12; i++) {
            front.request("big" + i, "big");
        }
        front.request("small0", "small");
        front.newActions();
        for (int i = 1; i < 6; i++) {
            front.finish("big" + i, 0, "e1", AttemptStatus.OK, 100 * MILLI_NANOS);
        }
        List<String> sent = new ArrayList<>(front.newActions());
        sent.removeIf(a -> !a.startsWith("send"));
        List<String> order = sent.stream().filter(a -> a.startsWith("send big")).toList();
        List<String> sorted = new ArrayList<>(order);
        sorted.sort((a, b) -> Integer.compare(number(a), number(b)));
        assertEquals(sorted, order);
        assertTrue(!order.isEmpty());
    }

    /**
     * Guards against a priority that depends on the latency target: a cheap class would miss it where its target exceeds a
     * quarter of the most expensive class's.
     */
    @Test
    void givesCheaperClassPriorityWhateverItsLatencyTarget() {
        settings.smallLatencyTarget = 3100 * MILLI_NANOS;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 40; i++) {
            serve(front, "a" + i, "small", 80 * MILLI_NANOS);
        }
        front.request("x", "small");
        assertTrue(front.actions.contains("options x 0 3"), front.actions.toString());
    }

    /** Guards against loads displacing a class that does not wait for them, which then is served worst of all. */
    @Test
    void givesLoadsPriorityOnlyWhereOtherClassesWaitForThem() {
        for (boolean wait : new boolean[] {false, true}) {
            settings.bigLocksTables = true;
            settings.smallWaitsForLock = wait;
            ScriptedFront front = new ScriptedFront(settings);
            front.listEngines("e1");
            front.request("x", "big");
            assertEquals(wait ? 1 : 0, front.countActions("options x 0 2"));
        }
    }

    /** Guards against delays used as work where answers report none: classes then look heavier as engines fill. */
    @Test
    void ranksClassesByEstimatedWorkAndNotByDelay() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 80; i++) {
            front.requestWithWork("a" + i, "small", SECOND_NANOS);
            front.finish("a" + i, 0, front.engineOf("a" + i), AttemptStatus.OK, 100 * MILLI_NANOS);
            front.requestWithWork("b" + i, "big", 50 * MILLI_NANOS);
            front.advance(2 * SECOND_NANOS);
            front.finish("b" + i, 0, front.engineOf("b" + i), AttemptStatus.OK, 2 * SECOND_NANOS);
        }
        front.requestWithWork("x", "big", 50 * MILLI_NANOS);
        assertTrue(front.actions.contains("options x 0 3"), "latest actions: " + front.newActions());
    }

    private static int number(String send) {
        return Integer.parseInt(send.split(" ")[1].substring("big".length()));
    }

    /** Runs a query of a class that usually takes half a second and reports its progress after that time. */
    private ScriptedFront reportProgressAfterHalfASecond(double progress) {
        settings.cancel = true;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 30; i++) {
            serve(front, "a" + i, "big", 500 * MILLI_NANOS);
        }
        front.request("x", "big");
        front.advance(500 * MILLI_NANOS);
        front.progress("x", 0, front.engineOf("x"), progress);
        return front;
    }

    @Test
    void cancelsAndRetriesRunawayAttempt() {
        ScriptedFront front = reportProgressAfterHalfASecond(0.02);
        assertEquals(1, front.countActions("cancel x 0"));
        front.finish("x", 0, front.engineOf("x"), AttemptStatus.CANCELLED, 500 * MILLI_NANOS);
        assertEquals(2, front.countActions("send x"));
    }

    @Test
    void doesNotCancelAttemptWithGoodProgress() {
        ScriptedFront front = reportProgressAfterHalfASecond(0.5);
        assertEquals(0, front.countActions("cancel"));
    }

    @Test
    void sendsHeldQueriesWhenEngineListChanges() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines();
        front.request("a", "small");
        front.listEngines("e1");
        assertEquals(List.of("send a e1"), front.newActions());
    }

    @Test
    void usesEngineAgainLongAfterItReportedFull() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        Load full = new Load(Double.NaN, Double.NaN, 60, 1.5, Double.NaN);
        front.request("a", "small");
        String first = front.engineOf("a");
        front.control.onOutcome(front.now, new Outcome("a", 0, first, AttemptStatus.OK, 50 * MILLI_NANOS, true, 0, 0, full));
        front.request("b", "small");
        assertNotEquals(first, front.engineOf("b"));
        front.advance(60 * SECOND_NANOS);
        for (int i = 0; i < 8; i++) {
            front.request("c" + i, "big");
        }
        assertTrue(front.actions.stream().anyMatch(a -> a.startsWith("send c") && a.endsWith(" " + first)));
    }

    @Test
    void avoidsSilentEngine() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        for (int i = 0; i < 20; i++) {
            serve(front, "a" + i, "small", 80 * MILLI_NANOS);
        }
        front.request("hung", "small");
        String silent = front.engineOf("hung");
        front.advance(SECOND_NANOS);
        for (int i = 0; i < 10; i++) {
            serve(front, "b" + i, "small", 80 * MILLI_NANOS);
            assertNotEquals(silent, front.engineOf("b" + i));
        }
    }

    @Test
    void refusesTrafficOverTenantShareFirstWhenEnginesAreFull() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        for (int i = 0; i < 30; i++) {
            front.requestOfTenant("two", "a" + i, "big");
        }
        assertTrue(front.countActions("refuse a") > 0);
        front.requestOfTenant("one", "b", "big");
        assertEquals(0, front.countActions("refuse b"));
    }

    @Test
    void refusesVeryExpensiveQueryWhenEnginesAreFull() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        for (int i = 0; i < 6; i++) {
            front.request("a" + i, "big");
        }
        front.requestWithWork("dear", "big", 60 * SECOND_NANOS);
        front.request("usual", "big");
        assertEquals(1, front.countActions("refuse dear"));
        assertEquals(0, front.countActions("refuse usual"));
    }

    @Test
    void spreadsBurstOverEngines() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2", "e3", "e4");
        for (int i = 0; i < 40; i++) {
            front.request("a" + i, "small");
        }
        for (String id : List.of("e1", "e2", "e3", "e4")) {
            long sent = front.actions.stream().filter(a -> a.startsWith("send") && a.endsWith(id)).count();
            assertTrue(sent >= 5 && sent <= 15, id + " got " + sent);
        }
    }

    @Test
    void sharesOneTimerAmongHeldQueries() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines();
        for (int i = 0; i < 100; i++) {
            front.request("a" + i, "small");
        }
        assertEquals(1, front.timersSet);
        front.advance(10 * SECOND_NANOS);
        assertEquals(100, front.countActions("refuse"));
        int before = front.timersSet;
        front.advance(60 * SECOND_NANOS);
        assertEquals(before, front.timersSet, "no timer is set while no query is held");
    }

    @Test
    void treatsFullyBusyEngineAsFull() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1", "e2");
        Load busy = new Load(1.0, 0, Double.NaN, 0.1, 1);
        Load idle = new Load(0.1, 0, Double.NaN, 0.1, 0);
        String first = "e1";
        for (int i = 0; i < 20; i++) {
            String id = "a" + i;
            front.request(id, "small");
            front.request("also" + id, "small");
            front.advance(50 * MILLI_NANOS);
            for (String each : List.of(id, "also" + id)) {
                String engine = front.engineOf(each);
                Load load = i == 19 && engine.equals(first) ? busy : idle;
                front.control.onOutcome(front.now,
                        new Outcome(each, 0, engine, AttemptStatus.OK, 50 * MILLI_NANOS, true, 0, 0, load));
            }
        }
        for (int i = 0; i < 4; i++) {
            front.request("c" + i, "small");
            assertNotEquals(first, front.engineOf("c" + i));
        }
    }

    @Test
    void rejectsWrongUse() {
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        front.request("a", "small");
        assertThrows(IllegalArgumentException.class, () -> front.request("a", "small"));
        assertThrows(IllegalArgumentException.class, () -> front.request("b", "unheard of"));
        front.finish("a", 5, "e1", AttemptStatus.OK, MILLI_NANOS);
        front.finish("nobody", 0, "e1", AttemptStatus.OK, MILLI_NANOS);
        front.now -= SECOND_NANOS;
        assertThrows(IllegalArgumentException.class, () -> front.request("c", "small"));
    }

    @Test
    void actsEquallyOnEqualEventsBesideOtherInstances() {
        List<ScriptedFront> all = List.of(new ScriptedFront(settings), new ScriptedFront(settings),
                new ScriptedFront(settings));
        for (ScriptedFront front : all) {
            front.listEngines("e1", "e2", "e3");
        }
        for (int i = 0; i < 500; i++) {
            for (ScriptedFront front : all.subList(0, 2)) {
                sendAndFinishQuery(front, i);
            }
        }
        for (int i = 0; i < 500; i++) {
            sendAndFinishQuery(all.get(2), i);
        }
        assertEquals(all.get(0).actions, all.get(1).actions);
        assertEquals(all.get(0).actions, all.get(2).actions);
        assertTrue(all.get(0).countActions("send") > 100);
    }

    private static void sendAndFinishQuery(ScriptedFront front, int i) {
        front.request("q" + i, i % 5 == 0 ? "big" : "small");
        front.advance(7 * MILLI_NANOS);
        if (i >= 10 && front.engineOf("q" + (i - 10)) != null) {
            AttemptStatus status = i % 17 == 0 ? AttemptStatus.ERROR : AttemptStatus.OK;
            front.finish("q" + (i - 10), 0, front.engineOf("q" + (i - 10)), status, 70 * MILLI_NANOS);
        }
    }
}
