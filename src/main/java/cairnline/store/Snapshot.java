package cairnline.store;

import cairnline.membership.StoredEngine;
import java.util.List;

/**
 * A stored engine list.
 *
 * @param savedAt when it was saved, in microseconds since the Unix epoch
 * @param engines the stored engines
 */
public record Snapshot(long savedAt, List<StoredEngine> engines) { }
