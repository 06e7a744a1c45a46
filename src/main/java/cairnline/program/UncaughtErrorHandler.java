package cairnline.program;

import cairnline.routing.Clock;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.function.IntConsumer;

/**
 * Handles errors that no code expected. Each is first written as a line with its time, thread and reason. An error in one
 * task or one connection has no further consequence. An error after which the program would run on without serving ends
 * the process: the termination of a critical thread, an error of the virtual machine, or repeated memory exhaustion.
 */
final class UncaughtErrorHandler implements Thread.UncaughtExceptionHandler {
    /** Exit code after an unrecoverable error. */
    static final int EXIT_CODE = 70;
    /** This many out-of-memory errors within the window are treated as lasting memory exhaustion. */
    private static final int MAX_MEMORY_ERRORS = 5;
    private static final long MEMORY_ERROR_WINDOW_MICROS = 1_000_000;

    private final Clock clock;
    private final PrintStream output;
    private final IntConsumer exit;
    private final ArrayDeque<Long> memoryErrorTimes = new ArrayDeque<>();

    /** Creates a handler that writes to {@code output} and ends the process by passing {@code exit} the exit code. */
    UncaughtErrorHandler(Clock clock, PrintStream output, IntConsumer exit) {
        this.clock = clock;
        this.output = output;
        this.exit = exit;
    }

    @Override
    public synchronized void uncaughtException(Thread thread, Throwable error) {
        long now = clock.micros();
        boolean fatal = error instanceof OutOfMemoryError ? isMemoryExhausted(now)
                : error instanceof Error && !(error instanceof StackOverflowError);
        output.println("cairnline: " + now + " thread " + thread.getName() + ": " + error
                + (fatal ? "; unrecoverable, the process exits with code " + EXIT_CODE : ""));
        for (StackTraceElement frame : error.getStackTrace()) {
            output.println("\tat " + frame);
        }
        output.flush();
        if (fatal) {
            exit.accept(EXIT_CODE);
        }
    }

    private boolean isMemoryExhausted(long now) {
        memoryErrorTimes.addLast(now);
        while (now - memoryErrorTimes.peekFirst() > MEMORY_ERROR_WINDOW_MICROS) {
            memoryErrorTimes.removeFirst();
        }
        return memoryErrorTimes.size() >= MAX_MEMORY_ERRORS;
    }
}
