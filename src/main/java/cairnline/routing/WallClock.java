package cairnline.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Converts wall-clock times received from other processes to the program's monotonic clock, even if the system's wall clock
 * is stepped while the program runs. It records the periods between steps, each with its offset, and assigns a wall-clock
 * time to a period in which it can lie. Thread-safe.
 */
public final class WallClock {
    /** Smaller differences of the offset are no step: the clock is slewed, or was read late. */
    private static final long MIN_STEP_MICROS = 250_000;
    private static final int MAX_PERIODS = 64;

    private final Clock clock;
    private final LongSupplier unixMicros;
    private final List<Period> periods = new ArrayList<>();
    /** The first conversion of each engine's start time, since a later step must not move the same start. */
    private final Map<String, Start> starts = new HashMap<>();

    /**
     * A period between two steps of the wall clock. All times are in microseconds on the program's clock.
     *
     * @param from the last sample before the period; the step came after it
     * @param lastSampledAt the last sample at which the offset was valid
     * @param offset wall-clock time minus the program's time
     */
    private record Period(long from, long lastSampledAt, long offset) { }

    private record Start(long wallMicros, long at) { }

    /** Creates a converter for the system's wall clock. */
    public WallClock(Clock clock) {
        this(clock, () -> Clock.ofMillis(System.currentTimeMillis()));
    }

    /** Creates a converter for the given wall clock, which returns microseconds since the Unix epoch. */
    WallClock(Clock clock, LongSupplier unixMicros) {
        this.clock = clock;
        this.unixMicros = unixMicros;
        sample();
    }

    /** Samples the wall clock. The more often this is called, the more precisely the time of a step is known. */
    public synchronized void sample() {
        long now = clock.micros();
        long offset = unixMicros.getAsLong() - now;
        Period last = periods.isEmpty() ? null : periods.get(periods.size() - 1);
        if (last == null) {
            periods.add(new Period(Long.MIN_VALUE, now, offset));
        } else if (Math.abs(offset - last.offset) < MIN_STEP_MICROS) {
            periods.set(periods.size() - 1, new Period(last.from, now, last.offset));
        } else {
            periods.add(new Period(last.lastSampledAt, now, offset));
            if (periods.size() > MAX_PERIODS) {
                periods.remove(0);
            }
        }
    }

    /**
     * Returns when an engine started, on the program's clock and never later than now.
     *
     * @param wallMicros the reported start in microseconds since the Unix epoch; 0 means long ago and is returned as 0
     */
    public synchronized long startOf(String engine, long wallMicros) {
        if (wallMicros == 0) {
            starts.remove(engine);
            return 0;
        }
        Start known = starts.get(engine);
        if (known == null || known.wallMicros != wallMicros) {
            sample();
            known = new Start(wallMicros, convert(wallMicros));
            starts.put(engine, known);
        }
        return known.at;
    }

    /** Discards what is recorded about an engine that was removed. */
    public synchronized void forget(String engine) {
        starts.remove(engine);
    }

    /** Returns the latest time that the wall-clock time can mean, since slow start treats a younger engine with more care. */
    private long convert(long wallMicros) {
        long now = clock.micros();
        long latest = Long.MIN_VALUE;
        for (int i = 0; i < periods.size(); i++) {
            Period period = periods.get(i);
            long end = i + 1 < periods.size() ? periods.get(i + 1).lastSampledAt : now;
            long at = wallMicros - period.offset;
            if (at >= period.from && at <= end) {
                latest = Math.max(latest, at);
            }
        }
        return latest > Long.MIN_VALUE ? latest : Math.min(now, wallMicros - periods.get(periods.size() - 1).offset);
    }
}
