package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.routing.Clock;
import cairnline.routing.CriticalThread;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UncaughtErrorHandlerTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final List<Integer> exitCodes = new ArrayList<>();
    private final UncaughtErrorHandler handler =
            new UncaughtErrorHandler(new Clock(), new PrintStream(output), exitCodes::add);

    private void runInThread(Runnable task) throws InterruptedException {
        Thread thread = new Thread(task, "some");
        thread.setUncaughtExceptionHandler(handler);
        thread.start();
        thread.join();
    }

    @Test
    void logsExceptionOfOrdinaryThreadAndContinues() throws Exception {
        runInThread(() -> {
            throw new IllegalStateException("odd");
        });
        assertTrue(output.toString().contains("thread some: java.lang.IllegalStateException: odd"), output.toString());
        assertEquals(List.of(), exitCodes);
    }

    @Test
    void exitsWhenCriticalThreadTerminates() throws Exception {
        runInThread(CriticalThread.wrap(() -> {
            throw new IllegalStateException("odd");
        }));
        assertTrue(output.toString().contains("java.lang.IllegalStateException: odd"), output.toString());
        assertEquals(List.of(UncaughtErrorHandler.EXIT_CODE), exitCodes);
    }

    @Test
    void exitsOnVirtualMachineError() throws Exception {
        runInThread(() -> {
            throw new InternalError("broken");
        });
        assertEquals(List.of(UncaughtErrorHandler.EXIT_CODE), exitCodes);
    }

    @Test
    void exitsOnlyAfterRepeatedOutOfMemoryErrors() {
        for (int i = 0; i < 4; i++) {
            handler.uncaughtException(Thread.currentThread(), new OutOfMemoryError("Java heap space"));
        }
        assertEquals(List.of(), exitCodes);
        handler.uncaughtException(Thread.currentThread(), new OutOfMemoryError("Java heap space"));
        assertEquals(List.of(UncaughtErrorHandler.EXIT_CODE), exitCodes);
    }
}
