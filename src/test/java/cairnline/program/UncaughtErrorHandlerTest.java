package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.routing.Clock;
import cairnline.routing.Vital;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UncaughtErrorHandlerTest {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final List<Integer> codes = new ArrayList<>();
    private final UncaughtErrorHandler faults = new UncaughtErrorHandler(new Clock(), new PrintStream(written), codes::add);

    private void ends(Runnable task) throws InterruptedException {
        Thread thread = new Thread(task, "some");
        thread.setUncaughtExceptionHandler(faults);
        thread.start();
        thread.join();
    }

    @Test
    void aFaultOfOneThreadLeavesALineAndNoMore() throws Exception {
        ends(() -> {
            throw new IllegalStateException("odd");
        });
        assertTrue(written.toString().contains("thread some: java.lang.IllegalStateException: odd"), written.toString());
        assertEquals(List.of(), codes);
    }

    @Test
    void theEndOfAThreadThatIsNeededEndsTheProcess() throws Exception {
        ends(Vital.task(() -> {
            throw new IllegalStateException("odd");
        }));
        assertTrue(written.toString().contains("java.lang.IllegalStateException: odd"), written.toString());
        assertEquals(List.of(UncaughtErrorHandler.CODE), codes);
    }

    @Test
    void anErrorOfTheVirtualMachineEndsTheProcess() throws Exception {
        ends(() -> {
            throw new InternalError("broken");
        });
        assertEquals(List.of(UncaughtErrorHandler.CODE), codes);
    }

    @Test
    void oneShortageOfMemoryIsSurvivedAndManyInARowAreNot() {
        for (int i = 0; i < 4; i++) {
            faults.uncaughtException(Thread.currentThread(), new OutOfMemoryError("Java heap space"));
        }
        assertEquals(List.of(), codes);
        faults.uncaughtException(Thread.currentThread(), new OutOfMemoryError("Java heap space"));
        assertEquals(List.of(UncaughtErrorHandler.CODE), codes);
    }
}
