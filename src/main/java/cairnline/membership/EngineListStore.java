package cairnline.membership;

/** Stores the engine list for the next start. All methods are called on the dispatcher's thread and do not block. */
public interface EngineListStore {
    /** Stores nothing. */
    EngineListStore NONE = new EngineListStore() {
        @Override
        public void save(MembershipView view, boolean urgent) { }

        @Override
        public long saveInterval() {
            return Long.MAX_VALUE;
        }
    };

    /**
     * Schedules a view to be stored; it replaces any earlier view that is not stored yet.
     *
     * @param urgent whether an engine has started to drain or was removed since the last view
     */
    void save(MembershipView view, boolean urgent);

    /** Returns the interval, in microseconds, at which views are to be saved while no urgent change occurs. */
    long saveInterval();
}
