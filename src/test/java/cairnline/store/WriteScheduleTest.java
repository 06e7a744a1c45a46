package cairnline.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WriteScheduleTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1_000 * SECOND;

    private final WriteSchedule cadence = new WriteSchedule(StoreSettings.defaults());

    private void write(long now) {
        cadence.begin(now);
        cadence.succeeded(now);
    }

    @Test
    void nothingIsWrittenUnasked() {
        assertEquals(Long.MAX_VALUE, cadence.due());
        cadence.want(false);
        assertTrue(cadence.due() <= NOW, "the first waits for nothing");
        write(NOW);
        assertEquals(Long.MAX_VALUE, cadence.due());
    }

    @Test
    void ordinaryWritesKeepTheirPaceAndUrgentOnesDoNotWait() {
        cadence.want(false);
        write(NOW);
        cadence.want(false);
        assertEquals(NOW + StoreSettings.defaults().every(), cadence.due());
        cadence.want(true);
        assertTrue(cadence.due() <= NOW);
        write(NOW + 1);
        cadence.want(false);
        assertEquals(NOW + 1 + StoreSettings.defaults().every(), cadence.due(), "what was urgent is done");
    }

    @Test
    void urgencyThatComesWhileAWriteIsOnOutlivesIt() {
        cadence.want(false);
        cadence.begin(NOW);
        cadence.want(true);
        cadence.succeeded(NOW);
        assertTrue(cadence.due() <= NOW);
    }

    @Test
    void writesAMinuteAreBoundUrgentOrNot() {
        int most = StoreSettings.defaults().writesPerMinute();
        for (int i = 0; i < most; i++) {
            cadence.want(true);
            assertTrue(cadence.due() <= NOW + i);
            write(NOW + i);
        }
        cadence.want(true);
        assertEquals(NOW + WriteSchedule.MINUTE, cadence.due());
    }

    @Test
    void pausesGrowAndEachCauseIsToldOnceUntilASuccess() {
        cadence.want(true);
        List<Long> pauses = new ArrayList<>();
        long now = NOW;
        for (int i = 0; i < 8; i++) {
            cadence.begin(now);
            assertEquals(i == 0, cadence.failed(now, "No space left after " + i + " bytes"));
            pauses.add((cadence.due() - now) / SECOND);
            now = cadence.due();
        }
        assertEquals(List.of(1L, 2L, 4L, 8L, 16L, 32L, 60L, 60L), pauses);
        assertTrue(cadence.failed(now, "Read-only file system"));
        cadence.begin(now);
        assertTrue(cadence.succeeded(now), "it is worth an event that it can be written again");
        assertFalse(cadence.succeeded(now));
        assertTrue(cadence.failed(now, "No space left after 1 bytes"));
    }
}
