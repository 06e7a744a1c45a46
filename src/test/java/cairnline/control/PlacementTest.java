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

/** The order of engines by group of tables, and what fourteen fronts that keep it do together. */
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
    void allEnginesAreCoveredEvenlyOverAllGroups() {
        Map<String, Integer> groups = new HashMap<>();
        for (int g = 0; g < GROUPS; g++) {
            firstThree(ids(ENGINES), g).forEach(e -> groups.merge(e, 1, Integer::sum));
        }
        assertEquals(ENGINES, groups.size());
        double mean = 3.0 * GROUPS / ENGINES;
        groups.forEach((e, n) -> assertTrue(n > mean / 2 && n < mean * 2, e + " has " + n + " of " + mean));
    }

    @Test
    void anEngineThatGoesMovesOnlyItsOwnPart() {
        List<String> fewer = new ArrayList<>(ids(ENGINES));
        fewer.remove("s-17");
        for (int g = 0; g < GROUPS; g++) {
            List<String> before = firstThree(ids(ENGINES), g);
            if (!before.contains("s-17")) {
                assertEquals(before, firstThree(fewer, g));
            }
        }
    }

    /** A front that has all engines listed. */
    private static ScriptedFront front(TestSettings settings, int seed) {
        ScriptedFront s = new ScriptedFront(settings, 100 * SECOND_NANOS, seed);
        s.control.onEngineList(s.now, true,
                ids(ENGINES).stream().map(id -> ScriptedFront.engine(id, EngineStatus.READY, "large", 0)).toList());
        return s;
    }

    /** Engines that get a group's requests of this class from all fronts, each of which sends this many. */
    private static Set<String> used(TestSettings settings, String type, int each) {
        settings.fronts = FRONTS;
        Set<String> used = new HashSet<>();
        for (int f = 0; f < FRONTS; f++) {
            ScriptedFront s = front(settings, 70 + f);
            for (int i = 0; i < each; i++) {
                s.control.onRequest(s.now, new Request("q" + i, type, "one", false, 0, 3 * SECOND_NANOS, 0, 0, 5, false));
                used.add(s.engineOf("q" + i));
            }
        }
        return used;
    }

    /** Each front once spread each group over all engines: none stayed warm for it. */
    @Test
    void aGroupsQueriesOfAllFrontsMeetOnAFewEngines() {
        Set<String> used = used(new TestSettings(), "small", 1);
        assertTrue(used.size() <= 3 && firstThree(ids(ENGINES), 5).containsAll(used), "engines: " + used);
    }

    @Test
    void aGroupsLoadsKeepAwayFromItsQueriesAndFromEachOther() {
        TestSettings settings = new TestSettings();
        settings.bigLocksTables = true;
        Set<String> used = used(settings, "big", 2);
        assertTrue(used.size() >= 14, "engines with its loads: " + used.size());
        long met = firstThree(ids(ENGINES), 5).stream().filter(used::contains).count();
        assertTrue(met <= 1, "of its first three so many have a load: " + met);
    }

    /** A hot group must not jam its engines while others have room. */
    @Test
    void aHotGroupSpillsToTheNextEngines() {
        TestSettings settings = new TestSettings();
        settings.fronts = FRONTS;
        ScriptedFront s = front(settings, 3);
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 120; i++) {
            s.control.onRequest(s.now, new Request("q" + i, "small", "one", false, 0, 3 * SECOND_NANOS, 0, 0, 5, false));
            if (s.countActions("send q" + i + " ") > 0) {
                sent.merge(s.engineOf("q" + i), 1, Integer::sum);
            }
        }
        assertTrue(sent.size() >= 5, "engines used: " + sent);
    }

    /** A hundred fronts, none of which hears enough to see it, once sent all queries of a hot group to one engine. */
    @Test
    void aHundredFrontsSpreadAHotGroup() {
        TestSettings settings = new TestSettings();
        settings.fronts = 100;
        Map<String, Integer> sent = new HashMap<>();
        for (int f = 0; f < settings.fronts; f++) {
            ScriptedFront s = front(settings, 500 + f);
            s.control.onRequest(s.now, new Request("q", "small", "one", false, 0, 3 * SECOND_NANOS, 0, 0, 5, false));
            sent.merge(s.engineOf("q"), 1, Integer::sum);
        }
        assertTrue(Collections.max(sent.values()) <= 25, "queries by engine: " + sent);
        assertTrue(sent.size() >= 15, "engines used: " + sent.size());
    }
}
