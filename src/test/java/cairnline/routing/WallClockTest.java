package cairnline.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A wall clock that is stepped while engines start. */
class WallClockTest {
    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;

    private long step;
    private final Clock clock = new Clock();
    private final WallClock wall = new WallClock(clock, () -> clock.micros() + step);

    private void assertNear(long expected, long actual) {
        assertTrue(Math.abs(expected - actual) < SECOND, () -> "off by " + (actual - expected) / SECOND + " s");
    }

    @Test
    void anEngineThatStartsAfterTheClockWasSetBackDoesNotLookAnHourOld() {
        step = -HOUR;
        wall.sample();
        long now = clock.micros();
        assertNear(now, wall.startOf("s-1", now - HOUR));
    }

    @Test
    void anEngineThatStartsAfterTheClockWasSetForwardDoesNotLookUnborn() {
        step = HOUR;
        wall.sample();
        long now = clock.micros();
        assertNear(now, wall.startOf("s-1", now + HOUR));
    }

    @Test
    void anEngineThatStartedBeforeTheStepKeepsItsAge() {
        long born = clock.micros() - 30 * SECOND;
        for (long by : new long[] {HOUR, -HOUR}) {
            step = by;
            wall.sample();
            assertNear(born, wall.startOf("s" + by, born));
        }
    }

    @Test
    void aStartThatWasToldBeforeTheStepStaysWhereItIs() {
        long born = clock.micros() - 2 * SECOND;
        long before = wall.startOf("s-1", born);
        step = 3 * SECOND;
        wall.sample();
        assertEquals(before, wall.startOf("s-1", born));
    }

    @Test
    void nobodyStartsInTheFutureAndLongAgoStaysSo() {
        assertTrue(wall.startOf("s-1", clock.micros() + HOUR) <= clock.micros());
        assertEquals(0, wall.startOf("s-2", 0));
    }
}
