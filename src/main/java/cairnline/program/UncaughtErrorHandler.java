package cairnline.program;

import cairnline.routing.Clock;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.function.IntConsumer;

/**
 * What becomes of errors that nobody foresaw: each leaves a line, written before anything else is done, with its thread,
 * time and reason. A fault of one letter or one connection ends no more than that. What leaves the program standing
 * without serving ends the process: the end of a thread that it can't do without, an error of the virtual machine, or
 * one shortage of memory after another.
 */
final class UncaughtErrorHandler implements Thread.UncaughtExceptionHandler {
    /** Exit code of a process that can't go on. */
    static final int CODE = 70;
    /** So many shortages of memory within this time, in microseconds, are no passing ones. */
    private static final int SHORTAGES = 5;
    private static final long TOGETHER = 1_000_000;

    private final Clock clock;
    private final PrintStream to;
    private final IntConsumer end;
    private final ArrayDeque<Long> shortages = new ArrayDeque<>();

    /** {@code end} ends the process with a code. */
    UncaughtErrorHandler(Clock clock, PrintStream to, IntConsumer end) {
        this.clock = clock;
        this.to = to;
        this.end = end;
    }

    @Override
    public synchronized void uncaughtException(Thread thread, Throwable e) {
        long now = clock.micros();
        boolean last = e instanceof OutOfMemoryError ? isLasting(now)
                : e instanceof Error && !(e instanceof StackOverflowError);
        to.println("cairnline: " + now + " thread " + thread.getName() + ": " + e
                + (last ? "; the process can't go on and ends with " + CODE : ""));
        for (StackTraceElement frame : e.getStackTrace()) {
            to.println("\tat " + frame);
        }
        to.flush();
        if (last) {
            end.accept(CODE);
        }
    }

    private boolean isLasting(long now) {
        shortages.addLast(now);
        while (now - shortages.peekFirst() > TOGETHER) {
            shortages.removeFirst();
        }
        return shortages.size() >= SHORTAGES;
    }
}
