package cairnline.store;

import cairnline.logs.EventSink;
import cairnline.membership.Keeper;
import cairnline.membership.View;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

/**
 * Writes the list on a thread of its own: whoever hands over a view waits for no disk. A view that comes while another
 * waits takes its place. Whatever fails is tried again, and service goes on.
 */
public final class SnapshotWriter implements Keeper {
    private static final int STACK = 256 * 1024;

    private final SnapshotFolder folder;
    private final StoreSettings settings;
    private final EventSink log;
    private final LongSupplier clock;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final WriteSchedule cadence;
    private View pending;
    private boolean busy;

    /** A keeper that does not run yet; {@code clock} gives microseconds from the Unix epoch. */
    public SnapshotWriter(SnapshotFolder folder, StoreSettings settings, EventSink log, LongSupplier clock) {
        this.folder = folder;
        this.settings = settings;
        this.log = log;
        this.clock = clock;
        this.cadence = new WriteSchedule(settings);
    }

    /** Starts its thread. */
    public void start() {
        Thread thread = new Thread(null, this::run, "store", STACK);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void keep(View view, boolean urgent) {
        lock.lock();
        try {
            pending = view;
            cadence.want(urgent);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public long every() {
        return settings.every();
    }

    /** Waits until what may be written by now has been, this long at most, in microseconds. */
    public void flush(long most) {
        lock.lock();
        try {
            long left = TimeUnit.MICROSECONDS.toNanos(most);
            while (left > 0 && (busy || pending != null && cadence.due() <= clock.getAsLong())) {
                left = changed.awaitNanos(left);
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
                View view = next();
                String cause = write(view);
                done(view, cause);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private View next() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            for (long due = cadence.due(); due > clock.getAsLong(); due = cadence.due()) {
                if (due == Long.MAX_VALUE) {
                    changed.await();
                } else {
                    changed.await(due - clock.getAsLong(), TimeUnit.MICROSECONDS);
                }
            }
            View view = pending;
            pending = null;
            busy = true;
            cadence.begin(clock.getAsLong());
            return view;
        } finally {
            lock.unlock();
        }
    }

    /** Null if it is on the disk, else why not. */
    private String write(View view) {
        try {
            folder.write(SnapshotCodec.encode(new Snapshot(view.takenAt(), view.remembered())));
            return null;
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            return String.valueOf(e);
        }
    }

    private void done(View view, String cause) {
        lock.lock();
        try {
            busy = false;
            if (cause == null) {
                if (cadence.succeeded(clock.getAsLong())) {
                    log.info("snapshot.kept.again", "the list can be kept again", "engines", view.size());
                }
            } else {
                pending = pending == null ? view : pending;
                if (cadence.failed(clock.getAsLong(), cause)) {
                    log.warn("snapshot.failed", "the list can't be kept; it is tried again", "cause", cause);
                }
            }
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
