package cairnline.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the write interval, rate limit and back-off of snapshot writes. */
class WriteScheduleTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long NOW_MICROS = 1_000 * SECOND_MICROS;

    private final WriteSchedule schedule = new WriteSchedule(StoreSettings.defaults());

    private void write(long now) {
        schedule.writeStarted(now);
        schedule.writeSucceeded(now);
    }

    @Test
    void writesOnlyWhenRequested() {
        assertEquals(Long.MAX_VALUE, schedule.nextWriteAt());
        schedule.requestWrite(false);
        assertTrue(schedule.nextWriteAt() <= NOW_MICROS, "the first write is not delayed");
        write(NOW_MICROS);
        assertEquals(Long.MAX_VALUE, schedule.nextWriteAt());
    }

    @Test
    void delaysOrdinaryWritesByTheIntervalButNotUrgentOnes() {
        schedule.requestWrite(false);
        write(NOW_MICROS);
        schedule.requestWrite(false);
        assertEquals(NOW_MICROS + StoreSettings.defaults().writeInterval(), schedule.nextWriteAt());
        schedule.requestWrite(true);
        assertTrue(schedule.nextWriteAt() <= NOW_MICROS);
        write(NOW_MICROS + 1);
        schedule.requestWrite(false);
        assertEquals(NOW_MICROS + 1 + StoreSettings.defaults().writeInterval(), schedule.nextWriteAt(),
                "the urgent request was satisfied by the previous write");
    }

    @Test
    void keepsUrgentRequestMadeDuringAWrite() {
        schedule.requestWrite(false);
        schedule.writeStarted(NOW_MICROS);
        schedule.requestWrite(true);
        schedule.writeSucceeded(NOW_MICROS);
        assertTrue(schedule.nextWriteAt() <= NOW_MICROS);
    }

    @Test
    void limitsWritesPerMinuteEvenIfUrgent() {
        int limit = StoreSettings.defaults().maxWritesPerMinute();
        for (int i = 0; i < limit; i++) {
            schedule.requestWrite(true);
            assertTrue(schedule.nextWriteAt() <= NOW_MICROS + i);
            write(NOW_MICROS + i);
        }
        schedule.requestWrite(true);
        assertEquals(NOW_MICROS + WriteSchedule.MINUTE_MICROS, schedule.nextWriteAt());
    }

    @Test
    void backsOffExponentiallyAndReportsEachCauseOnceUntilSuccess() {
        schedule.requestWrite(true);
        List<Long> backoffSeconds = new ArrayList<>();
        long now = NOW_MICROS;
        for (int i = 0; i < 8; i++) {
            schedule.writeStarted(now);
            assertEquals(i == 0, schedule.writeFailed(now, "No space left after " + i + " bytes"));
            backoffSeconds.add((schedule.nextWriteAt() - now) / SECOND_MICROS);
            now = schedule.nextWriteAt();
        }
        assertEquals(List.of(1L, 2L, 4L, 8L, 16L, 32L, 60L, 60L), backoffSeconds);
        assertTrue(schedule.writeFailed(now, "Read-only file system"));
        schedule.writeStarted(now);
        assertTrue(schedule.writeSucceeded(now), "recovery after a failure is reported");
        assertFalse(schedule.writeSucceeded(now));
        assertTrue(schedule.writeFailed(now, "No space left after 1 bytes"));
    }
}
