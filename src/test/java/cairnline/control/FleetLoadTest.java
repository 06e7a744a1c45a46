package cairnline.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Estimates of the other fronts' threads by one of a hundred fronts, from the few load reports that it probes for. */
class FleetLoadTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final double CONCURRENCY_LIMIT = 2.2;
    private static final int CORES = 16;

    /** Returns the load of 40 ready engines shared by a hundred fronts, this front having no attempt in flight. */
    private static FleetLoad fleetOfHundredFronts() {
        FleetLoad fleet = new FleetLoad(100);
        fleet.addCounts(40 * CORES, 0, 0);
        return fleet;
    }

    /** A front affords two reports a second, so the first few must count, not only twenty of them. */
    @Test
    void estimatesFullFleetFromAFewReportsOfFullEngines() {
        FleetLoad fleet = fleetOfHundredFronts();
        for (long halfSeconds = 1; halfSeconds <= 4; halfSeconds++) {
            fleet.recordReport(0, 48, CORES, halfSeconds * SECOND_NANOS / 2);
        }
        assertEquals(2.4, fleet.otherThreadsPerCore(CONCURRENCY_LIMIT, 2 * SECOND_NANOS), 0.1);
    }

    /** Engines that fill up must show within seconds, not tens of seconds. */
    @Test
    void followsFleetThatFillsUpFromRareReports() {
        FleetLoad fleet = fleetOfHundredFronts();
        for (long halfSeconds = 1; halfSeconds <= 20; halfSeconds++) {
            fleet.recordReport(0, 8, CORES, halfSeconds * SECOND_NANOS / 2);
        }
        for (long halfSeconds = 21; halfSeconds <= 32; halfSeconds++) {
            fleet.recordReport(0, 48, CORES, halfSeconds * SECOND_NANOS / 2);
        }
        assertEquals(3.0, fleet.otherThreadsPerCore(CONCURRENCY_LIMIT, 16 * SECOND_NANOS), 0.5);
    }
}
