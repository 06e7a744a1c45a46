package cairnline.transport;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.protocol.FeedEvent;
import cairnline.routing.Clock;
import cairnline.routing.WallClock;
import java.util.List;

/** Converts the entries of the control feed's events to those of the engine list. */
public final class EngineListEntries {
    private EngineListEntries() { }

    /** Converts the entries of an event for the dispatcher; null if the event does not change the list. */
    public static List<ListedEngine> toListedEngines(FeedEvent event, WallClock wallClock) {
        return event.engines() == null ? null : event.engines().stream().map(entry -> toListedEngine(entry, wallClock)).toList();
    }

    private static ListedEngine toListedEngine(FeedEvent.EngineEntry entry, WallClock wallClock) {
        EngineStatus status = switch (entry.state()) {
            case IN_SERVICE -> EngineStatus.READY;
            case TERMINATING -> EngineStatus.DRAINING;
            case TERMINATED -> EngineStatus.REMOVED;
        };
        long startedAt = wallClock.startOf(entry.id(), Clock.ofUnix(entry.startedAtMillis()));
        if (status == EngineStatus.REMOVED) {
            wallClock.forget(entry.id());
        }
        return new ListedEngine(entry.id(), entry.address(), status, entry.zone(), entry.kind(), entry.cell(),
                entry.weight(), startedAt);
    }
}
