package cairnline.routing;

import cairnline.membership.ListedEngine;
import java.util.List;

/** The list's actor: takes numbered changes in order, once each, and hands them to the core. */
public final class EngineListUpdates implements Actor.Handler {
    private final Dispatcher core;
    private final Actor actor;
    private volatile long last;

    /** A list without engines. */
    public EngineListUpdates(Dispatcher core, Limits limits, Clock clock) {
        this.core = core;
        int mailbox = limits.connections().mailbox();
        this.actor = new Actor("list", mailbox, mailbox, limits.routing().stackBytes(), clock, this);
    }

    /** Starts its thread. */
    public void start() {
        actor.start();
    }

    /** The number of the last change that it has. */
    public long last() {
        return last;
    }

    /** A change; {@code entries} is null where an event changed nothing. Waits for room. */
    public void changed(long number, boolean whole, List<ListedEngine> entries) {
        actor.put(() -> {
            // After a reconnect the feed may tell again what came just before.
            if (number > last) {
                last = number;
                if (entries != null) {
                    core.listed(whole, entries);
                }
            }
        });
    }

    /** The feed has been asked, and what came of it at once has been left here before; or it can't be asked now. */
    public void asked() {
        actor.put(core::feedAsked);
    }

    @Override
    public void begin(long now) { }

    @Override
    public long end(long now) {
        return Long.MAX_VALUE;
    }
}
