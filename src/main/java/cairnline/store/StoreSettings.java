package cairnline.store;

/**
 * The limits of the kept list; times in microseconds, sizes in bytes.
 *
 * @param generations files that are kept
 * @param every between two writes while nothing urgent happens
 * @param writesPerMinute writes at most, urgent ones and failed ones included
 * @param maxBytes of one file; a larger one is neither written nor read
 * @param clocksDiffer a file dated later than now by more than this is skipped
 * @param pauseLeast after a failed write, the first time
 * @param pauseMost to which such pauses grow
 */
public record StoreSettings(int generations, long every, int writesPerMinute, int maxBytes, long clocksDiffer,
                            long pauseLeast, long pauseMost) {
    private static final long SECOND = 1_000_000;

    /** Rejects what contradicts itself; the settings' schema tells it first, with its place. */
    public StoreSettings {
        if (generations < 1 || every <= 0 || writesPerMinute < 1 || maxBytes < 1 || clocksDiffer < 0 || pauseLeast <= 0
                || pauseMost < pauseLeast) {
            throw new IllegalArgumentException("store settings out of range: " + generations + " " + every + " "
                    + writesPerMinute + " " + maxBytes + " " + clocksDiffer + " " + pauseLeast + " " + pauseMost);
        }
    }

    /** What holds where nothing is set. */
    public static StoreSettings usual() {
        return new StoreSettings(4, 10 * SECOND, 30, 16 << 20, 7_200 * SECOND, SECOND, 60 * SECOND);
    }
}
