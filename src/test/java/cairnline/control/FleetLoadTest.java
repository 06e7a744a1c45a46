package cairnline.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What a front of a hundred believes of the others, from the few reports that it pays for. */
class FleetLoadTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final double MARK = 2.2;
    private static final int CORES = 16;

    /** A fleet of a hundred fronts with 40 engines ready, this front having nothing out. */
    private static FleetLoad ofHundred() {
        FleetLoad fleet = new FleetLoad(100);
        fleet.addCounts(40 * CORES, 0, 0);
        return fleet;
    }

    /** Two reports a second are all that a front pays for: the first ones count, and not twenty of them later. */
    @Test
    void aFewReportsOfFullEnginesSayThatTheFleetIsFull() {
        FleetLoad fleet = ofHundred();
        for (long half = 1; half <= 4; half++) {
            fleet.recordReport(0, 48, CORES, half * SECOND_NANOS / 2);
        }
        assertEquals(2.4, fleet.otherThreadsPerCore(MARK, 2 * SECOND_NANOS), 0.1);
    }

    /** Engines that filled up since: within seconds, not tens of seconds. */
    @Test
    void rareReportsFollowAFleetThatFillsUp() {
        FleetLoad fleet = ofHundred();
        for (long half = 1; half <= 20; half++) {
            fleet.recordReport(0, 8, CORES, half * SECOND_NANOS / 2);
        }
        for (long half = 21; half <= 32; half++) {
            fleet.recordReport(0, 48, CORES, half * SECOND_NANOS / 2);
        }
        assertEquals(3.0, fleet.otherThreadsPerCore(MARK, 16 * SECOND_NANOS), 0.5);
    }
}
