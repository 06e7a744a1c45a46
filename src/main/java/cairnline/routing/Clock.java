package cairnline.routing;

import cairnline.control.ControlApi;
import cairnline.membership.ListedEngine;

/**
 * The program's clock: microseconds of the monotonic clock, counted from the Unix epoch as the system's clock had it at
 * start-up. Unix times therefore need no conversion other than of units, and steps of the system's clock have no effect.
 */
public final class Clock {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final long unixMicrosAtStart = System.currentTimeMillis() * MICROS_PER_MILLI;
    private final long nanosAtStart = System.nanoTime();

    /** Returns the current time in microseconds. Intended for event loops and actors, which read it once a turn. */
    public long micros() {
        return unixMicrosAtStart + (System.nanoTime() - nanosAtStart) / NANOS_PER_MICRO;
    }

    /** Converts to the time of the decision module, in nanoseconds. */
    static long toModuleNanos(long micros) {
        return micros * NANOS_PER_MICRO;
    }

    /** Converts a duration from the decision module to microseconds, rounded up so that only 0 becomes 0. */
    static long fromModuleNanos(long nanos) {
        return (nanos + NANOS_PER_MICRO - 1) / NANOS_PER_MICRO;
    }

    /** Converts a Unix time in milliseconds to the time of this clock; 0, which means long ago, stays 0. */
    public static long ofUnix(long millis) {
        return millis * MICROS_PER_MILLI;
    }

    /** Converts a duration in milliseconds to microseconds. */
    public static long ofMillis(long millis) {
        return millis * MICROS_PER_MILLI;
    }

    /** Converts a duration to milliseconds, rounded up so that no peer is granted less time than it has. */
    public static long toMillis(long micros) {
        return (micros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    }

    /** Converts an entry of the engine list to the decision module's type. */
    static ControlApi.Engine toModuleEngine(ListedEngine engine) {
        return new ControlApi.Engine(engine.id(), engine.status(), engine.zone(), engine.kind(), engine.cell(), engine.size(),
                toModuleNanos(engine.startedAt()), engine.startTimeKnown());
    }
}
