package cairnline.store;

import cairnline.membership.StoredEngine;
import java.util.List;

/** A list as it was kept: when, in microseconds from the Unix epoch, and what of each engine. */
public record Snapshot(long savedAt, List<StoredEngine> engines) { }
