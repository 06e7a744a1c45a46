package cairnline.store;

/**
 * Settings of the stored engine list; times in microseconds, sizes in bytes.
 *
 * @param generations number of snapshot files that are kept
 * @param writeInterval time between two writes that are not urgent
 * @param maxWritesPerMinute limit that includes urgent and failed writes
 * @param maxFileBytes maximum size of a snapshot file; larger ones are neither written nor read
 * @param maxClockSkew snapshots dated further in the future are skipped
 * @param minBackoff back-off after the first failed write
 * @param maxBackoff limit to which the back-off doubles
 */
public record StoreSettings(int generations, long writeInterval, int maxWritesPerMinute, int maxFileBytes, long maxClockSkew,
                            long minBackoff, long maxBackoff) {
    private static final long SECOND_MICROS = 1_000_000;

    /** Rejects values out of range; the settings schema reports them earlier, with their position in the file. */
    public StoreSettings {
        if (generations < 1 || writeInterval <= 0 || maxWritesPerMinute < 1 || maxFileBytes < 1 || maxClockSkew < 0
                || minBackoff <= 0 || maxBackoff < minBackoff) {
            throw new IllegalArgumentException("store settings out of range: " + generations + " " + writeInterval + " "
                    + maxWritesPerMinute + " " + maxFileBytes + " " + maxClockSkew + " " + minBackoff + " " + maxBackoff);
        }
    }

    /** Returns the defaults of the settings schema. */
    public static StoreSettings defaults() {
        return new StoreSettings(4, 10 * SECOND_MICROS, 30, 16 << 20, 7_200 * SECOND_MICROS, SECOND_MICROS, 60 * SECOND_MICROS);
    }
}
