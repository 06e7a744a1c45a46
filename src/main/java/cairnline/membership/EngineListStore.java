package cairnline.membership;

/** Where the list is kept for the next start. All calls come from the core's thread and return at once. */
public interface EngineListStore {
    /** Keeps nothing. */
    EngineListStore NONE = new EngineListStore() {
        @Override
        public void keep(MembershipView view, boolean urgent) { }

        @Override
        public long every() {
            return Long.MAX_VALUE;
        }
    };

    /** Takes over a view; a later one stands in for all before it. Urgent if an engine has begun to drain or has ended. */
    void keep(MembershipView view, boolean urgent);

    /** How often it wants one while nothing urgent happens, in microseconds. */
    long every();
}
