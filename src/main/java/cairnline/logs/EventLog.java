package cairnline.logs;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The program's log, on standard error. Whoever logs never waits: events go through a bounded queue to a thread of the
 * log's own, which also sets up the library, so that a program that logs nothing does not load it. What finds the queue full is
 * dropped and counted.
 */
public final class EventLog implements EventSink {
    /** How events are written. */
    public enum Format { TEXT, JSON }

    private static final int STACK = 256 * 1024;

    private final ArrayBlockingQueue<Runnable> queue;
    private final AtomicBoolean started = new AtomicBoolean();
    private final AtomicLong dropped = new AtomicLong();
    private final Format format;
    private Logger logger;
    private long droppedTold;

    /** A log to standard error that holds so many events at most. */
    public EventLog(Format format, int most) {
        this.format = format;
        this.queue = new ArrayBlockingQueue<>(most);
    }

    @Override
    public void event(Severity severity, String name, String words, Object... pairs) {
        leave(() -> write(severity, name, words, pairs));
    }

    /** How many events found the queue full. */
    public long dropped() {
        return dropped.get();
    }

    /** Waits until what was logged before has been written, this long at most, in milliseconds. */
    public void flush(long most) {
        CountDownLatch written = new CountDownLatch(1);
        try {
            if (started.get() && queue.offer(written::countDown, most, TimeUnit.MILLISECONDS)) {
                written.await(most, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void leave(Runnable event) {
        if (!queue.offer(event)) {
            dropped.incrementAndGet();
        }
    }

    /** Starts the log's thread; what is logged before waits for it. */
    public void start() {
        if (started.compareAndSet(false, true)) {
            Thread thread = new Thread(null, this::run, "log", STACK);
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
                long lost = dropped.get() - droppedTold;
                if (lost > 0) {
                    droppedTold += lost;
                    write(Severity.WARN, "log.dropped", "events found the log's queue full", "count", lost);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(Severity severity, String name, String words, Object... pairs) {
        LoggingEventBuilder event = logger.atLevel(severity.level()).addKeyValue("event", name);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            event = event.addKeyValue(String.valueOf(pairs[i]), pairs[i + 1]);
        }
        event.log(words);
    }
}
