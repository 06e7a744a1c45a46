package cairnline.logs;

/** Where events are told: a name that stays the same from release to release, words for people, and pairs. */
public interface EventSink {
    /** Told nothing. */
    EventSink NONE = (severity, name, words, pairs) -> { };

    /** How much an event matters. */
    enum Severity {
        INFO(org.slf4j.event.Level.INFO), WARN(org.slf4j.event.Level.WARN), ERROR(org.slf4j.event.Level.ERROR);

        private final org.slf4j.event.Level level;

        Severity(org.slf4j.event.Level level) {
            this.level = level;
        }

        org.slf4j.event.Level level() {
            return level;
        }
    }

    /** Tells an event: its name, words, and pairs of keys and values. Never waits. */
    void event(Severity severity, String name, String words, Object... pairs);

    /** An event that is in order. */
    default void info(String name, String words, Object... pairs) {
        event(Severity.INFO, name, words, pairs);
    }

    /** An event that operators may want to act on. */
    default void warn(String name, String words, Object... pairs) {
        event(Severity.WARN, name, words, pairs);
    }
}
