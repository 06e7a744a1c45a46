package cairnline.membership;

/**
 * An entry of the stored engine list. Times are microseconds on the program's clock, which counts from the Unix epoch.
 *
 * @param engine the engine as the feed last reported it
 * @param lastState the believed state when the entry was written
 * @param reportedAt when the feed last reported the engine
 * @param aliveAt when the engine was last observed alive, to within a second; 0 for never
 */
public record StoredEngine(ListedEngine engine, State lastState, long reportedAt, long aliveAt) {
    /** Returns when the entry was last confirmed, by the feed or by an observation. */
    public long confirmedAt() {
        return Math.max(reportedAt, aliveAt);
    }
}
