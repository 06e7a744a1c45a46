package cairnline.control;

import static cairnline.control.ScriptedFront.SECOND_NANOS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Request;
import cairnline.control.ScriptedFront.TestSettings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The order of engines by table group, and the combined effect of several fronts that follow it. */
class PlacementTest {
    private static final int FRONTS = 14;
    private static final int ENGINES = 60;
    private static final int GROUPS = 2_000;

    private static List<String> firstThree(List<String> engines, int group) {
        return engines.stream().sorted(Comparator.comparingLong(e -> Placement.rank(Placement.seed(e), group)))
                .limit(3).toList();
    }

    private static List<String> ids(int count) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add("s-" + i);
        }
        return ids;
    }

    @Test
    void coversEnginesEvenlyOverAllGroups() {
        Map<String, Integer> groups = new HashMap<>();
        for (int g = 0; g < GROUPS; g++) {
            firstThree(ids(ENGINES), g).forEach(e -> groups.merge(e, 1, Integer::sum));
        }
        assertEquals(ENGINES, groups.size());
        double mean = 3.0 * GROUPS / ENGINES;
        groups.forEach((e, n) -> assertTrue(n > mean / 2 && n < mean * 2, e + " has " + n + " of " + mean));
    }

    @Test
    void movesOnlyGroupsOfRemovedEngine() {
        List<String> fewer = new ArrayList<>(ids(ENGINES));
        fewer.remove("s-17");
        for (int g = 0; g < GROUPS; g++) {
            List<String> before = firstThree(ids(ENGINES), g);
            if (!before.contains("s-17")) {
                assertEquals(before, firstThree(fewer, g));
            }
        }
    }

    /** Returns a front with all engines in its list. */
    private static ScriptedFront front(TestSettings settings, int seed) {
        ScriptedFront front = new ScriptedFront(settings, 100 * SECOND_NANOS, seed);
        front.control.onEngineList(front.now, true,
                ids(ENGINES).stream().map(id -> ScriptedFront.engine(id, EngineStatus.READY, "large", 0)).toList());
        return front;
    }

    /** Returns the engines that get {@code each} requests of one class and one table group from every front. */
    private static Set<String> enginesUsed(TestSettings settings, String requestClass, int each) {
        settings.fronts = FRONTS;
        Set<String> used = new HashSet<>();
        for (int f = 0; f < FRONTS; f++) {
            ScriptedFront front = front(settings, 70 + f);
            for (int i = 0; i < each; i++) {
                front.control.onRequest(front.now,
                        new Request("q" + i, requestClass, "one", false, 0, 3 * SECOND_NANOS, 0, 0, 5, false));
                used.add(front.engineOf("q" + i));
            }
        }
        return used;
    }

    /** Guards against each front spreading a group over all engines, so that none keeps its tables warm. */
    @Test
    void sendsQueriesOfAGroupToAFewEngines() {
        Set<String> used = enginesUsed(new TestSettings(), "small", 1);
        assertTrue(used.size() <= 3 && firstThree(ids(ENGINES), 5).containsAll(used), "engines: " + used);
    }

    @Test
    void spreadsLoadsAwayFromQueriesOfTheirGroup() {
        TestSettings settings = new TestSettings();
        settings.bigLocksTables = true;
        Set<String> used = enginesUsed(settings, "big", 2);
        assertTrue(used.size() >= 14, "engines with its loads: " + used.size());
        long withLoad = firstThree(ids(ENGINES), 5).stream().filter(used::contains).count();
        assertTrue(withLoad <= 1, "engines among the first three of the group that have a load: " + withLoad);
    }

    /** A hot group must not overload its engines while others have room. */
    @Test
    void sendsHotGroupToFurtherEngines() {
        TestSettings settings = new TestSettings();
        settings.fronts = FRONTS;
        ScriptedFront front = front(settings, 3);
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 120; i++) {
            front.control.onRequest(front.now,
                    new Request("q" + i, "small", "one", false, 0, 3 * SECOND_NANOS, 0, 0, 5, false));
            if (front.countActions("send q" + i + " ") > 0) {
                sent.merge(front.engineOf("q" + i), 1, Integer::sum);
            }
        }
        assertTrue(sent.size() >= 5, "engines used: " + sent);
    }

    /** Guards against many fronts, none of which gets enough reports to notice, sending a hot group to one engine. */
    @Test
    void spreadsHotGroupOfAHundredFronts() {
        TestSettings settings = new TestSettings();
        settings.fronts = 100;
        Map<String, Integer> sent = new HashMap<>();
        for (int f = 0; f < settings.fronts; f++) {
            ScriptedFront front = front(settings, 500 + f);
            front.control.onRequest(front.now,
                    new Request("q", "small", "one", false, 0, 3 * SECOND_NANOS, 0, 0, 5, false));
            sent.merge(front.engineOf("q"), 1, Integer::sum);
        }
        assertTrue(Collections.max(sent.values()) <= 25, "queries by engine: " + sent);
        assertTrue(sent.size() >= 15, "engines used: " + sent.size());
    }
}
