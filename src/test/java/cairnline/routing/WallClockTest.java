package cairnline.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the conversion of engines' start times while the wall clock is stepped. */
class WallClockTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long HOUR_MICROS = 3_600 * SECOND_MICROS;

    private long stepMicros;
    private final Clock clock = new Clock();
    private final WallClock wallClock = new WallClock(clock, () -> clock.micros() + stepMicros);

    private void assertNear(long expected, long actual) {
        assertTrue(Math.abs(expected - actual) < SECOND_MICROS,
                () -> "off by " + (actual - expected) / SECOND_MICROS + " s");
    }

    @Test
    void startAfterBackwardStepIsNotConvertedToAnHourAgo() {
        stepMicros = -HOUR_MICROS;
        wallClock.sample();
        long now = clock.micros();
        assertNear(now, wallClock.startOf("s-1", now - HOUR_MICROS));
    }

    @Test
    void startAfterForwardStepIsNotConvertedToTheFuture() {
        stepMicros = HOUR_MICROS;
        wallClock.sample();
        long now = clock.micros();
        assertNear(now, wallClock.startOf("s-1", now + HOUR_MICROS));
    }

    @Test
    void startBeforeStepKeepsItsAge() {
        long startedAt = clock.micros() - 30 * SECOND_MICROS;
        for (long step : new long[] {HOUR_MICROS, -HOUR_MICROS}) {
            stepMicros = step;
            wallClock.sample();
            assertNear(startedAt, wallClock.startOf("s" + step, startedAt));
        }
    }

    @Test
    void startReportedBeforeStepDoesNotMoveWithIt() {
        long startedAt = clock.micros() - 2 * SECOND_MICROS;
        long beforeStep = wallClock.startOf("s-1", startedAt);
        stepMicros = 3 * SECOND_MICROS;
        wallClock.sample();
        assertEquals(beforeStep, wallClock.startOf("s-1", startedAt));
    }

    @Test
    void futureStartIsLimitedToNowAndZeroStaysZero() {
        assertTrue(wallClock.startOf("s-1", clock.micros() + HOUR_MICROS) <= clock.micros());
        assertEquals(0, wallClock.startOf("s-2", 0));
    }
}
