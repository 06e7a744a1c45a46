package cairnline.control;

/**
 * What this front has out at all engines of one kind, and its part of what all fronts have there; plain state of
 * {@link Control}.
 *
 * <p>A front of many meets an engine seldom: its own threads there are a handful at most, and say nothing of those of
 * the others. Over all engines together they are many, and the others' are as many times more as there are others, or as
 * the reports of engines say together.
 */
final class FleetLoad {
    /** Least weight of a report in the means: some twenty reports, since one holds a handful of own threads at most. */
    private static final double GAIN = 0.05;
    /** Time in which reports of others' threads come down to 1/e: engines fill and empty in seconds. */
    private static final double OTHERS_LIFE = 3e9;
    /** Most weight of one of them, after a silence: one engine must not speak for all. */
    private static final double OTHERS_GAIN = 0.2;
    /** Reports that the expected share counts for at the start. */
    private static final double PRIOR = 1;

    /** Own threads at the mark at which they say as much of all fronts as reports do; a few queries. */
    private static final double OWN_FEW = 6;
    /** Silence after which what reports say counts half. */
    private static final long LIFE = 2_000_000_000L;

    private final double expected;
    private double ownReported, allReported, othersReported;
    private long heardAt;
    private int heard;
    double meanThreads, meanAttempts;
    /** Out at the engines listed as ready, and their cores, as warm as they are. */
    private int threads, attempts;
    private double cores;

    FleetLoad(int fronts) {
        this.expected = 1.0 / fronts;
    }

    /** Starts to count anew. */
    void clear() {
        threads = 0;
        attempts = 0;
        cores = 0;
    }

    /** Counts what is at an engine that is listed as ready. */
    void count(double moreCores, int moreAttempts, int moreThreads) {
        cores += moreCores;
        attempts += moreAttempts;
        threads += moreThreads;
    }

    /** An engine of so many cores has reported how many threads of all fronts run there, and so many are own. */
    void hear(double own, double all, int itsCores, long now) {
        ownReported += GAIN * (own - ownReported);
        allReported += GAIN * (all - allReported);
        // The fewer reports there are in a second, the more each says: a front of a hundred waits ten seconds for twenty.
        double fresh = heard == 0 ? 0 : Math.min(OTHERS_GAIN, 1 - StrictMath.exp((heardAt - now) / OTHERS_LIFE));
        double gain = Math.max(Math.max(GAIN, fresh), 1.0 / (++heard + PRIOR));
        othersReported += gain * ((all - own) / itsCores - othersReported);
        meanThreads += GAIN * (threads - meanThreads);
        meanAttempts += GAIN * (attempts - meanAttempts);
        heardAt = now;
    }

    /** This front's part of all threads: as expected, moved by what reports say. */
    double share() {
        return Math.min(1, (ownReported + PRIOR * expected) / (allReported + PRIOR));
    }

    /** Threads of the other fronts for each core, by this front's own; by reports where its own would be too few. */
    double others(double mark, long now) {
        if (cores == 0) {
            return 0;
        }
        double trust = trust(share() * cores * mark);
        double reported = othersReported / (1 + (double) (now - heardAt) / LIFE);
        return trust * threads * (1 / share() - 1) / cores + (1 - trust) * reported;
    }

    /** How far own threads tell of all, where they are so many when the cores are at the mark. */
    static double trust(double ownThreads) {
        double few = OWN_FEW / ownThreads;
        return 1 / (1 + few * few * few * few);
    }
}
