package cairnline.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Turns wall times that others tell into times of the program's monotonic clock, though the system's wall clock may be
 * stepped while the program runs. It keeps the periods between steps, each with its offset, and places a wall time in a
 * period to which it can belong. Safe for any thread.
 */
public final class WallClock {
    /** Offsets that differ by less are one: the clock is slewed, or was read late. */
    private static final long STEP_LEAST_MICROS = 250_000;
    private static final int PERIODS_MOST = 64;

    private final Clock clock;
    private final LongSupplier unixMicros;
    private final List<Period> periods = new ArrayList<>();
    /** The start that was first told of each engine, since the same one must not move with a later step. */
    private final Map<String, Start> starts = new HashMap<>();

    /**
     * A time between steps.
     *
     * @param from the last look at the clock before it; the step came after
     * @param seen the last look at which the offset held
     * @param offset wall time less the program's, in microseconds
     */
    private record Period(long from, long seen, long offset) { }

    private record Start(long wall, long at) { }

    /** A converter by the system's wall clock. */
    public WallClock(Clock clock) {
        this(clock, () -> Clock.ofMillis(System.currentTimeMillis()));
    }

    /** A converter by a wall clock that is given, in microseconds. */
    WallClock(Clock clock, LongSupplier unixMicros) {
        this.clock = clock;
        this.unixMicros = unixMicros;
        sample();
    }

    /** Looks at the clock; the more often this is called, the better a step is placed. */
    public synchronized void sample() {
        long now = clock.micros();
        long offset = unixMicros.getAsLong() - now;
        Period last = periods.isEmpty() ? null : periods.get(periods.size() - 1);
        if (last == null) {
            periods.add(new Period(Long.MIN_VALUE, now, offset));
        } else if (Math.abs(offset - last.offset) < STEP_LEAST_MICROS) {
            periods.set(periods.size() - 1, new Period(last.from, now, last.offset));
        } else {
            periods.add(new Period(last.seen, now, offset));
            if (periods.size() > PERIODS_MOST) {
                periods.remove(0);
            }
        }
    }

    /**
     * When an engine started on the program's clock, never later than now; {@code wall} is what is told of it in
     * microseconds from the Unix epoch, where 0 stands for long ago and stays so.
     */
    public synchronized long startOf(String engine, long wall) {
        if (wall == 0) {
            starts.remove(engine);
            return 0;
        }
        Start known = starts.get(engine);
        if (known == null || known.wall != wall) {
            sample();
            known = new Start(wall, place(wall));
            starts.put(engine, known);
        }
        return known.at;
    }

    /** The engine has gone: nothing more is kept of it. */
    public synchronized void forget(String engine) {
        starts.remove(engine);
    }

    /** The latest time that the wall time can stand for; a younger engine is treated with more care. */
    private long place(long wall) {
        long now = clock.micros();
        long latest = Long.MIN_VALUE;
        for (int i = 0; i < periods.size(); i++) {
            Period period = periods.get(i);
            long end = i + 1 < periods.size() ? periods.get(i + 1).seen : now;
            long at = wall - period.offset;
            if (at >= period.from && at <= end) {
                latest = Math.max(latest, at);
            }
        }
        return latest > Long.MIN_VALUE ? latest : Math.min(now, wall - periods.get(periods.size() - 1).offset);
    }
}
