package cairnline.store;

import cairnline.logs.EventSink;
import cairnline.membership.EngineListStore;
import cairnline.membership.MembershipView;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

/**
 * Writes the engine list on a dedicated thread, so that callers never wait for the disk. A new view replaces one that has not
 * been written yet. Failed writes are retried; they do not affect service. Thread-safe.
 */
public final class SnapshotWriter implements EngineListStore {
    private static final int STACK_SIZE_BYTES = 256 * 1024;

    private final SnapshotFolder folder;
    private final StoreSettings settings;
    private final EventSink log;
    private final LongSupplier clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final WriteSchedule schedule;
    private MembershipView pending;
    private boolean writing;

    /** Creates a writer that is not started; {@code clock} returns microseconds since the Unix epoch. */
    public SnapshotWriter(SnapshotFolder folder, StoreSettings settings, EventSink log, LongSupplier clock) {
        this.folder = folder;
        this.settings = settings;
        this.log = log;
        this.clock = clock;
        this.schedule = new WriteSchedule(settings);
    }

    /** Starts the writing thread. */
    public void start() {
        Thread thread = new Thread(null, this::run, "store", STACK_SIZE_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void save(MembershipView view, boolean urgent) {
        lock.lock();
        try {
            pending = view;
            schedule.requestWrite(urgent);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public long saveInterval() {
        return settings.writeInterval();
    }

    /** Waits until every view that may be written by now has been written, for at most this time. */
    public void flush(long timeoutMicros) {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MICROSECONDS.toNanos(timeoutMicros);
            while (remainingNanos > 0 && (writing || pending != null && schedule.nextWriteAt() <= clock.getAsLong())) {
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
    }

    private void run() {
        try {
            while (true) {
                MembershipView view = awaitNextView();
                String cause = write(view);
                completeWrite(view, cause);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private MembershipView awaitNextView() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            for (long nextWrite = schedule.nextWriteAt(); nextWrite > clock.getAsLong(); nextWrite = schedule.nextWriteAt()) {
                if (nextWrite == Long.MAX_VALUE) {
                    changed.await();
                } else {
                    changed.await(nextWrite - clock.getAsLong(), TimeUnit.MICROSECONDS);
                }
            }
            MembershipView view = pending;
            pending = null;
            writing = true;
            schedule.writeStarted(clock.getAsLong());
            return view;
        } finally {
            lock.unlock();
        }
    }

    /** Returns null if the view is on disk, otherwise the cause of the failure. */
    private String write(MembershipView view) {
        try {
            folder.write(SnapshotCodec.encode(new Snapshot(view.takenAt(), view.storedEngines())));
            return null;
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            return String.valueOf(e);
        }
    }

    private void completeWrite(MembershipView view, String cause) {
        lock.lock();
        try {
            writing = false;
            if (cause == null) {
                if (schedule.writeSucceeded(clock.getAsLong())) {
                    log.info("snapshot.kept.again", "writing snapshots works again", "engines", view.size());
                }
            } else {
                pending = pending == null ? view : pending;
                if (schedule.writeFailed(clock.getAsLong(), cause)) {
                    log.warn("snapshot.failed", "writing a snapshot failed; it will be retried", "cause", cause);
                }
            }
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
