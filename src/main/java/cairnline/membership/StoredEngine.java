package cairnline.membership;

/**
 * What the disk keeps of one engine. Times are microseconds on the program's clock, which counts from the Unix epoch.
 *
 * @param engine as the feed last listed it
 * @param last what was believed of it when this was written
 * @param reportedAt when the feed last told of it
 * @param aliveAt when it was last seen alive, to within a second; 0 for never
 */
public record StoredEngine(ListedEngine engine, State last, long reportedAt, long aliveAt) {
    /** When this was last confirmed, by the feed or by what was seen. */
    public long confirmedAt() {
        return Math.max(reportedAt, aliveAt);
    }
}
