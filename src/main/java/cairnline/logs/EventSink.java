package cairnline.logs;

/**
 * Receives log events. An event has a name that is stable across releases, a message for people, and keys with values.
 * Implementations are thread-safe.
 */
public interface EventSink {
    /** Discards all events. */
    EventSink NONE = (severity, name, message, pairs) -> { };

    /** Severity of an event. */
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

    /** Logs an event without blocking; {@code pairs} alternates keys and values. */
    void log(Severity severity, String name, String message, Object... pairs);

    /** Logs an event of normal operation. */
    default void info(String name, String message, Object... pairs) {
        log(Severity.INFO, name, message, pairs);
    }

    /** Logs an event that operators may want to act on. */
    default void warn(String name, String message, Object... pairs) {
        log(Severity.WARN, name, message, pairs);
    }
}
