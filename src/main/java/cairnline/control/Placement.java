package cairnline.control;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The order in which engines are examined for a table group, by rendezvous hashing (highest random weight, Thaler and
 * Ravishankar 1998); pure functions.
 *
 * <p>If each front spread a group over all engines, every engine would read every group, none would keep it in its
 * caches, and each load would delay the queries of all others. With the same order at every front, without any
 * communication, a group's queries meet on a few engines that keep it warm, and its loads avoid these engines. The order
 * spreads all groups evenly over all engines, and an engine that joins or leaves moves only its own part.
 */
final class Placement {
    /** Odd constants of the 64-bit finalizer of MurmurHash3. */
    private static final long MIX_1 = 0xff51afd7ed558ccdL, MIX_2 = 0xc4ceb9fe1a85ec53L;

    /** Engines drawn where fronts are many: a group with a quarter of all queries then loads none above 1.8 times the mean. */
    private static final int DRAWN_ENGINES = 4;

    private Placement() { }

    /** Returns an engine's own part of its rank: the same at all fronts, computed from its id alone. */
    static long seed(String engineId) {
        long hash = 0;
        for (int i = 0; i < engineId.length(); i++) {
            hash = mix(hash * 31 + engineId.charAt(i));
        }
        return hash;
    }

    /** Returns an engine's rank for a group: queries of the group prefer the engines of lowest rank. */
    static long rank(long engineSeed, int tableGroup) {
        return mix(engineSeed ^ mix(tableGroup + 1L));
    }

    /** Returns whether queries of this group prefer the first engine to the second. */
    static boolean ranksBefore(long firstSeed, long secondSeed, int tableGroup) {
        return rank(firstSeed, tableGroup) < rank(secondSeed, tableGroup);
    }

    /** Returns the index, from {@code from} on, of the engine that queries of this group prefer. */
    static int firstRanked(List<? extends EngineState> engines, int from, int tableGroup) {
        int first = from;
        long lowest = rank(engines.get(from).placementSeed, tableGroup);
        for (int i = from + 1; i < engines.size(); i++) {
            long rank = rank(engines.get(i).placementSeed, tableGroup);
            if (rank < lowest) {
                lowest = rank;
                first = i;
            }
        }
        return first;
    }

    /**
     * Returns the index, from {@code from} on, of the first in the group's order among a few engines drawn at random,
     * {@code drawn} being one of them. When each of very many fronts gets a report on an engine only once in tens of seconds,
     * it can't see that the engine is full: if all fronts preferred the same engine, that engine would get all queries of a
     * hot group. With the draw, none of N engines gets more than DRAWN_ENGINES / N of a group, and all groups together
     * spread evenly.
     */
    static int firstRankedOfSample(List<? extends EngineState> engines, int from, int drawn, int tableGroup,
                                   SplittableRandom random) {
        int first = drawn;
        for (int i = 1; i < DRAWN_ENGINES; i++) {
            int other = from + random.nextInt(engines.size() - from);
            first = ranksBefore(engines.get(other).placementSeed, engines.get(first).placementSeed, tableGroup)
                    ? other : first;
        }
        return first;
    }

    private static long mix(long value) {
        long x = (value ^ (value >>> 33)) * MIX_1;
        x = (x ^ (x >>> 33)) * MIX_2;
        return x ^ (x >>> 33);
    }
}
