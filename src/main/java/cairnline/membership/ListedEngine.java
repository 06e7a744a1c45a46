package cairnline.membership;

import cairnline.control.ControlApi.EngineStatus;

/**
 * An engine as the engine list describes it.
 *
 * @param id the engine's unique id
 * @param address host and port
 * @param status whether it is ready, draining or removed
 * @param zone location of the engine
 * @param kind machine type
 * @param cell group of engines that recognise each other's idempotency keys where the deduplication scope is the cell
 * @param size relative size, as the feed reports it
 * @param startedAt when it started, in microseconds on the program's clock; 0 for long ago
 * @param startTimeKnown false if {@code startedAt} is only when the engine was first observed: it may be as cold as one
 *     that started then
 */
public record ListedEngine(String id, String address, EngineStatus status, String zone, String kind, int cell, double size,
                           long startedAt, boolean startTimeKnown) {
    /** Creates an engine whose start time is known. */
    public ListedEngine(String id, String address, EngineStatus status, String zone, String kind, int cell, double size,
                        long startedAt) {
        this(id, address, status, zone, kind, cell, size, startedAt, true);
    }

    /** Returns a copy with another start time. */
    ListedEngine withStartedAt(long time) {
        return new ListedEngine(id, address, status, zone, kind, cell, size, time, startTimeKnown);
    }

    /** Returns a copy with another status. */
    public ListedEngine withStatus(EngineStatus newStatus) {
        return new ListedEngine(id, address, newStatus, zone, kind, cell, size, startedAt, startTimeKnown);
    }
}
