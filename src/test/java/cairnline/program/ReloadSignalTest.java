package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ReloadSignalTest {
    private int reloads;

    @Test
    void defersSignalsReceivedBeforeReloadTaskIsSet() {
        ReloadSignal signal = new ReloadSignal();
        signal.onSignal();
        signal.onSignal();
        signal.setReloadTask(() -> reloads++);
        assertEquals(1, reloads);
        signal.onSignal();
        assertEquals(2, reloads);
    }
}
