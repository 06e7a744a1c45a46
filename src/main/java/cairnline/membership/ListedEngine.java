package cairnline.membership;

import cairnline.control.ControlApi.EngineStatus;

/**
 * An engine as the list has it; {@code startedAt} is 0 for long ago. Unless {@code startTimeKnown}, that is only when it was first
 * seen: it may be as cold as one that starts then.
 */
public record ListedEngine(String id, String address, EngineStatus status, String zone, String kind, int cell, double size,
                           long startedAt, boolean startTimeKnown) {
    /** One whose start is known. */
    public ListedEngine(String id, String address, EngineStatus status, String zone, String kind, int cell, double size,
                        long startedAt) {
        this(id, address, status, zone, kind, cell, size, startedAt, true);
    }

    /** The same engine with another start. */
    ListedEngine startedAt(long at) {
        return new ListedEngine(id, address, status, zone, kind, cell, size, at, startTimeKnown);
    }

    /** The same engine, listed otherwise. */
    public ListedEngine as(EngineStatus other) {
        return new ListedEngine(id, address, other, zone, kind, cell, size, startedAt, startTimeKnown);
    }
}
