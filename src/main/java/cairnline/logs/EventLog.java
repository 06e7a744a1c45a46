package cairnline.logs;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes log events to standard error. Logging never blocks: events go through a bounded queue to a dedicated thread, and are
 * dropped and counted while the queue is full. That thread also initialises the logging library, so that a program without
 * events does not load it. Thread-safe.
 */
public final class EventLog implements EventSink {
    /** Output format of events. */
    public enum Format { TEXT, JSON }

    private static final int STACK_SIZE_BYTES = 256 * 1024;

    private final ArrayBlockingQueue<Runnable> queue;
    private final AtomicBoolean started = new AtomicBoolean();
    private final AtomicLong dropped = new AtomicLong();
    private final Format format;
    private Logger logger;
    private long reportedDropped;

    /** Creates a log that is not started; its queue holds up to {@code capacity} events. */
    public EventLog(Format format, int capacity) {
        this.format = format;
        this.queue = new ArrayBlockingQueue<>(capacity);
    }

    @Override
    public void log(Severity severity, String name, String message, Object... pairs) {
        enqueue(() -> write(severity, name, message, pairs));
    }

    /** Returns the number of events dropped because the queue was full. */
    public long dropped() {
        return dropped.get();
    }

    /** Waits until events logged before this call are written, for at most the time-out; returns at once if not started. */
    public void flush(long timeoutMillis) {
        CountDownLatch written = new CountDownLatch(1);
        try {
            if (started.get() && queue.offer(written::countDown, timeoutMillis, TimeUnit.MILLISECONDS)) {
                written.await(timeoutMillis, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void enqueue(Runnable event) {
        if (!queue.offer(event)) {
            dropped.incrementAndGet();
        }
    }

    /** Starts the writing thread, which also writes the events logged before; has no effect after the first call. */
    public void start() {
        if (started.compareAndSet(false, true)) {
            Thread thread = new Thread(null, this::run, "log", STACK_SIZE_BYTES);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void run() {
        try {
            while (true) {
                Runnable event = queue.take();
                logger = logger == null ? LogbackSetup.logger(format) : logger;
                event.run();
                long newlyDropped = dropped.get() - reportedDropped;
                if (newlyDropped > 0) {
                    reportedDropped += newlyDropped;
                    write(Severity.WARN, "log.dropped", "log queue was full, events were dropped", "count", newlyDropped);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(Severity severity, String name, String message, Object... pairs) {
        LoggingEventBuilder event = logger.atLevel(severity.level()).addKeyValue("event", name);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            event = event.addKeyValue(String.valueOf(pairs[i]), pairs[i + 1]);
        }
        event.log(message);
    }
}
