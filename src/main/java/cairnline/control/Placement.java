package cairnline.control;

import java.util.List;
import java.util.SplittableRandom;

/**
 * In which order engines are looked at for a group of tables, by rendezvous hashing (highest random weight, Thaler and
 * Ravishankar 1998); pure functions.
 *
 * <p>Fronts that each spread a group over all engines make every engine read every group, so that none stays warm, and
 * let every load hold up the others' queries. With the same order everywhere, without a word between them, a group's
 * queries meet on a few engines that keep it warm, and its loads keep away from there. The order
 * covers all engines evenly over all groups, and an engine that comes or goes moves only its own part.
 */
final class Placement {
    /** Odd constants of the 64-bit finalizer of MurmurHash3. */
    private static final long MIX_1 = 0xff51afd7ed558ccdL, MIX_2 = 0xc4ceb9fe1a85ec53L;

    /** Engines drawn where fronts are many: a group that is a quarter of all then loads none above 1.8 times the mean. */
    private static final int DRAWS = 4;

    private Placement() { }

    /** An engine's own part of its rank: the same at all fronts, from nothing but its id. */
    static long seed(String engine) {
        long hash = 0;
        for (int i = 0; i < engine.length(); i++) {
            hash = mix(hash * 31 + engine.charAt(i));
        }
        return hash;
    }

    /** Its rank for this group: queries of the group look at the engines of least rank first. */
    static long rank(long engineSeed, int tables) {
        return mix(engineSeed ^ mix(tables + 1L));
    }

    /** Whether queries of this group look at the first engine before the second. */
    static boolean before(long first, long second, int tables) {
        return rank(first, tables) < rank(second, tables);
    }

    /** The index, from there on, of the engine that queries of this group look at first. */
    static int first(List<? extends EngineState> engines, int from, int tables) {
        int first = from;
        long least = rank(engines.get(from).seed, tables);
        for (int i = from + 1; i < engines.size(); i++) {
            long rank = rank(engines.get(i).seed, tables);
            if (rank < least) {
                least = rank;
                first = i;
            }
        }
        return first;
    }

    /**
     * The index, from there on, of the first in the group's order among a few engines drawn, one of them already.
     * Fronts so many that each
     * hears of an engine once in tens of seconds can't see that it is full: where all of them look at the same one
     * first, the engine of a group that is much read gets all of that. Of N engines none gets more than DRAWS / N of a
     * group so, and all groups together spread evenly.
     */
    static int drawn(List<? extends EngineState> engines, int from, int drawn, int tables, SplittableRandom random) {
        int first = drawn;
        for (int i = 1; i < DRAWS; i++) {
            int other = from + random.nextInt(engines.size() - from);
            first = before(engines.get(other).seed, engines.get(first).seed, tables) ? other : first;
        }
        return first;
    }

    private static long mix(long value) {
        long x = (value ^ (value >>> 33)) * MIX_1;
        x = (x ^ (x >>> 33)) * MIX_2;
        return x ^ (x >>> 33);
    }
}
