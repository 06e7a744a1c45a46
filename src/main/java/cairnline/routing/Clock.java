package cairnline.routing;

import cairnline.control.ControlApi;
import cairnline.membership.ListedEngine;

/**
 * Whole microseconds on the monotonic clock, counted from the Unix epoch as the system had it at start, so that
 * Unix times need no other conversion and a step of the system's clock moves nothing.
 */
public final class Clock {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final long unixAtStart = System.currentTimeMillis() * MICROS_PER_MILLI;
    private final long nanosAtStart = System.nanoTime();

    /** The time now; for the loops only, which read it once a turn. */
    public long micros() {
        return unixAtStart + (System.nanoTime() - nanosAtStart) / NANOS_PER_MICRO;
    }

    /** The module's time, in nanoseconds. */
    static long toModule(long micros) {
        return micros * NANOS_PER_MICRO;
    }

    /** A span told by the module; what is not 0 stays so. */
    static long fromModule(long nanos) {
        return (nanos + NANOS_PER_MICRO - 1) / NANOS_PER_MICRO;
    }

    /** A Unix time in milliseconds on this clock; 0, long ago, stays 0. */
    public static long ofUnix(long millis) {
        return millis * MICROS_PER_MILLI;
    }

    /** Span of whole milliseconds. */
    public static long ofMillis(long millis) {
        return millis * MICROS_PER_MILLI;
    }

    /** Whole milliseconds in a span, rounded up: a peer must not be told less than it has. */
    public static long toMillis(long micros) {
        return (micros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    }

    /** An engine as the module is told of it. */
    static ControlApi.Engine toModule(ListedEngine e) {
        return new ControlApi.Engine(e.id(), e.status(), e.zone(), e.kind(), e.cell(), e.size(),
                toModule(e.startedAt()), e.startTimeKnown());
    }
}
