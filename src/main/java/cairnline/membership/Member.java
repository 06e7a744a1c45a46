package cairnline.membership;

import cairnline.control.ControlApi.EngineStatus;

/**
 * What is believed of one listed engine, and why. Immutable, so that a view of all of them can be handed to another
 * thread as it is.
 *
 * @param engine as listed
 * @param state what is believed of it
 * @param trust how far, as long as the feed has not told
 * @param toldAt when the feed told of it; 0 before it has in this run or any before
 * @param aliveAt when it was last seen alive, to within {@link #FINENESS}; 0 for never
 * @param aliveSince since when it has been seen alive without a break in this run; 0 if it is not
 * @param because the newest evidence; null if there is none of this run
 */
record Member(ListedEngine engine, State state, Trust trust, long toldAt, long aliveAt, long aliveSince,
              Evidence because) {
    /** Being alive is noted this often, so that served work does not make garbage. */
    static final long FINENESS = 1_000_000;

    static Member told(ListedEngine engine, long now, Member before) {
        return new Member(engine, State.told(engine.status()), new Trust(Trust.MOST), now,
                before == null ? 0 : before.aliveAt, 0, null);
    }

    /** Its age counts in both directions: a clock that was set back makes an entry no younger. */
    static Member remembered(Remembered r, long now, TrustSettings settings) {
        long age = Math.abs(now - r.confirmedAt());
        ListedEngine engine = r.engine().startedAt() > now ? r.engine().startedAt(now) : r.engine();
        return new Member(engine, State.remembered(r.last()),
                Trust.aged(settings.fresh(), age, settings.halfLife(), r.last()), r.toldAt(), r.aliveAt(), 0, null);
    }

    Member seen(Evidence evidence, long now) {
        if (!state.isWatched() && evidence.isGood() && trust.nats() == Trust.MOST && now - aliveAt < FINENESS) {
            return this;
        }
        Trust moved = state == State.TOLD ? trust : trust.after(evidence);
        State next = state.after(evidence, moved.suffices());
        boolean alive = next == State.ALIVE || next == State.PROVEN;
        // What ends a connection may have ended the engine: it may be cold once more.
        boolean anew = !evidence.isGood() || state.isWatched();
        long since = !alive ? 0 : anew || aliveSince == 0 ? now : aliveSince;
        return new Member(engine, next, moved, toldAt, evidence.isGood() ? now : aliveAt, since, evidence);
    }

    Member at(long now, long warmWithin) {
        State next = aliveSince == 0 ? state : state.afterAlive(now - aliveSince, warmWithin);
        return next == state ? this : new Member(engine, next, trust, toldAt, aliveAt, aliveSince, because);
    }

    Member gone() {
        return new Member(engine.as(EngineStatus.REMOVED), State.GONE, trust, toldAt, aliveAt, 0, because);
    }

    Remembered remembered() {
        return new Remembered(engine, state, toldAt, aliveAt);
    }

    /**
     * The entry as the module is told of it. One that may not be offered drains. One that may be cold has started when
     * it was first seen alive, at the latest: the module's guard of cold engines does the rest.
     */
    ListedEngine offer() {
        boolean offered = engine.status() == EngineStatus.READY && state.isOffered();
        EngineStatus listed = engine.status() == EngineStatus.READY && !offered ? EngineStatus.DRAINING : engine.status();
        long startedAt = state == State.ALIVE || state == State.PROVEN ? Math.max(aliveSince, engine.startedAt())
                : engine.startedAt();
        return new ListedEngine(engine.id(), engine.address(), listed, engine.zone(), engine.kind(), engine.cell(),
                engine.size(), startedAt, state != State.ALIVE);
    }
}
