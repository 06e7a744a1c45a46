package cairnline.logs;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.Logger;

/** Configures Logback. Separate from {@link EventLog}, so that Logback classes are loaded only with the first event. */
final class LogbackSetup {
    private static final String TEXT_PATTERN = "cairnline: %msg%replace( %kvp{NONE}){' $', ''}%n";

    private LogbackSetup() { }

    /**
     * Creates the logger. Logback's own search for configuration files is avoided, since it would take longer than the rest of
     * the program start.
     */
    static Logger logger(EventLog.Format format) {
        LoggerContext context = new LoggerContext();
        // Without an MDC adapter Logback silently discards events.
        context.setMDCAdapter(new LogbackMDCAdapter());
        Encoder<ILoggingEvent> encoder = format == EventLog.Format.JSON ? jsonEncoder(context) : textEncoder(context);
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(appender);
        return context.getLogger("cairnline");
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(TEXT_PATTERN);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.start();
        return encoder;
    }
}
