package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ReloadSignalTest {
    private int reloads;

    @Test
    void aSignalDuringTheStartIsNotLost() {
        ReloadSignal signal = new ReloadSignal();
        signal.received();
        signal.received();
        signal.answerBy(() -> reloads++);
        assertEquals(1, reloads);
        signal.received();
        assertEquals(2, reloads);
    }
}
