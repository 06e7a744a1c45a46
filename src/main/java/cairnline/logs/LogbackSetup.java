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

/** The library's parts put together; apart from {@link EventLog}, so that they are loaded with the first event only. */
final class LogbackSetup {
    private static final String TEXT = "cairnline: %msg%replace( %kvp{NONE}){' $', ''}%n";

    private LogbackSetup() { }

    /** Set up here and not by the library's search for files: that would cost a start more than all the rest. */
    static Logger logger(EventLog.Format format) {
        LoggerContext context = new LoggerContext();
        // Without one of these an event fails to be written, in silence.
        context.setMDCAdapter(new LogbackMDCAdapter());
        Encoder<ILoggingEvent> encoder = format == EventLog.Format.JSON ? json(context) : text(context);
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

    private static Encoder<ILoggingEvent> text(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(TEXT);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.start();
        return encoder;
    }
}
