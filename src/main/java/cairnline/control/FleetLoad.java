package cairnline.control;

/**
 * This front's threads in flight at all engines of one machine type, and its share of the threads of all fronts there;
 * plain state of {@link Control}.
 *
 * <p>One of many fronts seldom uses the same engine twice: its own threads there are a handful at most, and are no
 * evidence of how many the other fronts have. Over all engines its own threads are many; the other fronts' threads then
 * follow from the number of fronts, or from the engines' load reports taken together.
 */
final class FleetLoad {
    /** Least weight of a report in the means: about twenty reports, since each covers only a handful of own threads. */
    private static final double MIN_REPORT_WEIGHT = 0.05;
    /** Time constant (decay to 1/e) of reports of others' threads: engines fill and empty within seconds. */
    private static final double OTHER_THREADS_DECAY_NANOS = 3e9;
    /** Greatest weight of one such report, after a silence: one engine must not determine the mean of all. */
    private static final double MAX_REPORT_WEIGHT = 0.2;
    /** Number of reports that the expected share counts for at the start. */
    private static final double PRIOR_REPORTS = 1;

    /** Own threads at the concurrency limit at which they weigh as much as reports do; a few queries. */
    private static final double EQUAL_WEIGHT_THREADS = 6;
    /** Age of the last report at which reports count half. */
    private static final long REPORT_HALF_LIFE_NANOS = 2_000_000_000L;

    private final double expectedShare;
    private double reportedOwnThreads, reportedThreads, reportedOtherThreadsPerCore;
    private long lastReportAt;
    private int reportCount;
    double meanThreads, meanAttempts;
    /** In flight at the engines listed as ready, and the cores of these, weighted by their warmth. */
    private int threads, attempts;
    private double cores;

    FleetLoad(int fronts) {
        this.expectedShare = 1.0 / fronts;
    }

    /** Resets the counts before a recount. */
    void resetCounts() {
        threads = 0;
        attempts = 0;
        cores = 0;
    }

    /** Adds to the counts of engines that are listed as ready. */
    void addCounts(double moreCores, int moreAttempts, int moreThreads) {
        cores += moreCores;
        attempts += moreAttempts;
        threads += moreThreads;
    }

    /** Records the threads of this front ({@code own}) and of all fronts at an engine that has reported its load. */
    void recordReport(double own, double all, int engineCores, long now) {
        reportedOwnThreads += MIN_REPORT_WEIGHT * (own - reportedOwnThreads);
        reportedThreads += MIN_REPORT_WEIGHT * (all - reportedThreads);
        // The rarer reports are, the more each one counts: one of a hundred fronts gets twenty of them in ten seconds.
        double ageWeight = reportCount == 0 ? 0
                : Math.min(MAX_REPORT_WEIGHT, 1 - StrictMath.exp((lastReportAt - now) / OTHER_THREADS_DECAY_NANOS));
        double weight = Math.max(Math.max(MIN_REPORT_WEIGHT, ageWeight), 1.0 / (++reportCount + PRIOR_REPORTS));
        reportedOtherThreadsPerCore += weight * ((all - own) / engineCores - reportedOtherThreadsPerCore);
        meanThreads += MIN_REPORT_WEIGHT * (threads - meanThreads);
        meanAttempts += MIN_REPORT_WEIGHT * (attempts - meanAttempts);
        lastReportAt = now;
    }

    /** Returns this front's share of all threads: the expected one, corrected by reports. */
    double frontShare() {
        return Math.min(1, (reportedOwnThreads + PRIOR_REPORTS * expectedShare) / (reportedThreads + PRIOR_REPORTS));
    }

    /** Estimates the other fronts' threads per core from own threads, or from reports where own ones are too few. */
    double otherThreadsPerCore(double concurrencyLimit, long now) {
        if (cores == 0) {
            return 0;
        }
        double weight = ownWeight(frontShare() * cores * concurrencyLimit);
        double reported = reportedOtherThreadsPerCore / (1 + (double) (now - lastReportAt) / REPORT_HALF_LIFE_NANOS);
        return weight * threads * (1 / frontShare() - 1) / cores + (1 - weight) * reported;
    }

    /** Returns the weight of own threads as evidence of all, given their number at the concurrency limit. */
    static double ownWeight(double ownThreads) {
        double ratio = EQUAL_WEIGHT_THREADS / ownThreads;
        return 1 / (1 + ratio * ratio * ratio * ratio);
    }
}
