package cairnline.membership;

import cairnline.control.ControlApi.EngineStatus;

/**
 * The belief about one listed engine and the reasons for it. Immutable, so that a view of all members can be handed to
 * another thread without copying them. Times are microseconds on the program's clock.
 *
 * @param engine the engine as listed
 * @param state the believed state
 * @param trust belief that the entry is valid; used until the feed reports the engine
 * @param reportedAt when the feed last reported the engine; 0 if it never has, in this or an earlier run
 * @param aliveAt when the engine was last observed alive, to within {@link #ALIVE_RESOLUTION_MICROS}; 0 for never
 * @param aliveSince start of the uninterrupted period in which the engine has been observed alive; 0 if there is none
 * @param latestEvidence the newest evidence of this run; null if there is none
 */
record Member(ListedEngine engine, State state, Trust trust, long reportedAt, long aliveAt, long aliveSince,
              Evidence latestEvidence) {
    /** {@code aliveAt} is updated at most this often, so that served requests do not allocate a new member each. */
    static final long ALIVE_RESOLUTION_MICROS = 1_000_000;

    static Member ofReported(ListedEngine engine, long now, Member before) {
        return new Member(engine, State.ofReported(engine.status()), new Trust(Trust.MAX_LOG_ODDS), now,
                before == null ? 0 : before.aliveAt, 0, null);
    }

    /** The absolute age counts: after the clock was set back, an entry from the future must not look recent. */
    static Member ofStored(StoredEngine stored, long now, TrustSettings settings) {
        long age = Math.abs(now - stored.confirmedAt());
        ListedEngine engine = stored.engine().startedAt() > now ? stored.engine().withStartedAt(now) : stored.engine();
        return new Member(engine, State.ofStored(stored.lastState()),
                Trust.ofAge(settings.initialTrust(), age, settings.halfLife(), stored.lastState()), stored.reportedAt(),
                stored.aliveAt(), 0, null);
    }

    /** Returns the member after this evidence; the same one if only {@code aliveAt} would move, within its resolution. */
    Member after(Evidence evidence, long now) {
        if (!state.needsProbing() && evidence.isGood() && trust.logOdds() == Trust.MAX_LOG_ODDS
                && now - aliveAt < ALIVE_RESOLUTION_MICROS) {
            return this;
        }
        Trust nextTrust = state == State.CONFIRMED ? trust : trust.after(evidence);
        State nextState = state.after(evidence, nextTrust.suffices());
        boolean isAlive = nextState == State.ALIVE || nextState == State.WARM;
        // Whatever closed a connection may have terminated the engine: a restarted engine is cold again.
        boolean startsOver = !evidence.isGood() || state.needsProbing();
        long since = !isAlive ? 0 : startsOver || aliveSince == 0 ? now : aliveSince;
        return new Member(engine, nextState, nextTrust, reportedAt, evidence.isGood() ? now : aliveAt, since, evidence);
    }

    /** Returns the member at this time: warm if it has been alive for the warm-up period. */
    Member advancedTo(long now, long warmUpMicros) {
        State nextState = aliveSince == 0 ? state : state.afterAliveFor(now - aliveSince, warmUpMicros);
        return nextState == state ? this
                : new Member(engine, nextState, trust, reportedAt, aliveAt, aliveSince, latestEvidence);
    }

    Member asRemoved() {
        return new Member(engine.withStatus(EngineStatus.REMOVED), State.REMOVED, trust, reportedAt, aliveAt, 0, latestEvidence);
    }

    StoredEngine toStoredEngine() {
        return new StoredEngine(engine, state, reportedAt, aliveAt);
    }

    /**
     * Returns the engine as it is passed to the decision module. An engine that may not be offered is passed as draining.
     * One that may be cold gets the time at which it was first observed alive as its start time, so that the decision
     * module's slow start applies to it.
     */
    ListedEngine toOffer() {
        boolean isOffered = engine.status() == EngineStatus.READY && state.isOffered();
        EngineStatus status = engine.status() == EngineStatus.READY && !isOffered ? EngineStatus.DRAINING : engine.status();
        long startedAt = state == State.ALIVE || state == State.WARM ? Math.max(aliveSince, engine.startedAt())
                : engine.startedAt();
        return new ListedEngine(engine.id(), engine.address(), status, engine.zone(), engine.kind(), engine.cell(),
                engine.size(), startedAt, state != State.ALIVE);
    }
}
