package cairnline.routing;

import cairnline.membership.ListedEngine;
import java.util.List;

/** An actor that passes numbered updates of the engine list to the dispatcher, in order and each one only once. */
public final class EngineListUpdates implements Actor.Handler {
    private final Dispatcher dispatcher;
    private final Actor actor;
    /** Written under this object's lock. */
    private volatile long lastNumber;

    /** Creates an actor that is not started yet and has received no update. */
    public EngineListUpdates(Dispatcher dispatcher, Limits limits, Clock clock) {
        this.dispatcher = dispatcher;
        int mailbox = limits.connections().mailbox();
        this.actor = new Actor("list", mailbox, mailbox, limits.routing().stackBytes(), clock, this);
    }

    /** Starts the actor's thread. */
    public void start() {
        actor.start();
    }

    /** Returns the number of the latest update that was submitted. Safe to call on any thread. */
    public long lastNumber() {
        return lastNumber;
    }

    /**
     * Submits an update; blocks while the mailbox is full. An update that is not later than the last one is ignored: several
     * subscriptions, and a reloaded configuration, may tell the same ones. Safe to call on any thread.
     *
     * @param number number of the update in the feed
     * @param complete whether the update holds all engines
     * @param entries the changed entries; null for an event that changes nothing
     */
    public synchronized void submitUpdate(long number, boolean complete, List<ListedEngine> entries) {
        if (number > lastNumber) {
            lastNumber = number;
            passOn(complete, entries);
        }
    }

    private void passOn(boolean complete, List<ListedEngine> entries) {
        if (entries != null) {
            actor.put(() -> dispatcher.listUpdated(complete, entries));
        }
    }

    /**
     * Replaces the list by that of a feed whose numbers have begun again, and goes on from its number.
     *
     * @param entries all engines; null if the feed has told none, so that the present list stays
     */
    public synchronized void restartNumbers(long number, List<ListedEngine> entries) {
        lastNumber = number;
        passOn(true, entries);
    }

    /**
     * Reports that the first read of the control feed is complete, its updates having been submitted before, or that the
     * feed cannot be reached at present.
     */
    public void firstReadDone() {
        actor.put(dispatcher::firstFeedReadDone);
    }

    @Override
    public void beginTurn(long now) { }

    @Override
    public long endTurn(long now) {
        return Long.MAX_VALUE;
    }
}
