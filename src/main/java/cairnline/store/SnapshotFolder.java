package cairnline.store;

import cairnline.logs.EventSink;
import cairnline.store.SnapshotException.Cause;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads and writes generations of snapshots in a folder. They are numbered, and the highest number is the newest, so that a
 * clock that is set back does not change their order. Generations are written atomically: the content is on disk before the
 * temporary file is renamed.
 */
public final class SnapshotFolder {
    private static final Pattern SNAPSHOT_NAME = Pattern.compile("list-(\\d{16})\\.snap");
    private static final String TEMPORARY_FILE = "list.tmp";

    private final SnapshotStorage storage;
    private final StoreSettings settings;
    private final EventSink log;

    SnapshotFolder(SnapshotStorage storage, StoreSettings settings, EventSink log) {
        this.storage = storage;
        this.settings = settings;
        this.log = log;
    }

    /** Creates a reader and writer of the snapshots in a folder, which need not exist yet. */
    public SnapshotFolder(Path folder, StoreSettings settings, EventSink log) {
        this(new FileSystemStorage(folder), settings, log);
    }

    /**
     * Returns the newest usable snapshot, or null if there is none. Logs one event for each snapshot that is skipped.
     * Never throws: no content of the folder may prevent the program from starting.
     *
     * @param now microseconds since the Unix epoch
     */
    public Snapshot loadNewest(long now) {
        List<Long> numbers;
        try {
            numbers = generationNumbers();
        } catch (IOException | RuntimeException e) {
            log.warn("snapshot.folder.unreadable", "the snapshot folder can't be read", "cause", e);
            return null;
        }
        for (int i = numbers.size() - 1; i >= 0; i--) {
            String name = fileName(numbers.get(i));
            try {
                return read(name, now);
            } catch (SnapshotException e) {
                log.warn("snapshot.skipped", "snapshot skipped: " + e.getMessage(), "file", name, "cause",
                        e.reason());
            }
        }
        return null;
    }

    private Snapshot read(String name, long now) throws SnapshotException {
        byte[] bytes;
        try {
            long size = storage.size(name);
            if (size > settings.maxFileBytes()) {
                throw new SnapshotException(Cause.HUGE, size + " bytes exceed the limit of " + settings.maxFileBytes());
            }
            bytes = storage.read(name);
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            throw new SnapshotException(Cause.UNREADABLE, String.valueOf(e));
        }
        Snapshot snapshot = SnapshotCodec.decode(bytes);
        if (snapshot.savedAt() - now > settings.maxClockSkew()) {
            throw new SnapshotException(Cause.FUTURE_DATED,
                    "the snapshot is dated " + (snapshot.savedAt() - now) / 1_000_000 + " s in the future");
        }
        return snapshot;
    }

    /** Writes the next generation and deletes excess old ones; throws if the new one is not on disk. */
    void write(byte[] bytes) throws IOException {
        if (bytes.length > settings.maxFileBytes()) {
            throw new IOException("the snapshot has " + bytes.length + " bytes, which exceeds the limit of "
                    + settings.maxFileBytes());
        }
        storage.acquireLock();
        List<Long> numbers = generationNumbers();
        long next = numbers.isEmpty() ? 1 : numbers.get(numbers.size() - 1) + 1;
        try {
            storage.write(TEMPORARY_FILE, bytes);
        } catch (IOException e) {
            // On a full disk a partial file would occupy the space that the next attempt needs.
            storage.delete(TEMPORARY_FILE);
            throw e;
        }
        storage.rename(TEMPORARY_FILE, fileName(next));
        storage.sync();
        for (int i = 0; i < numbers.size() - (settings.generations() - 1); i++) {
            storage.delete(fileName(numbers.get(i)));
        }
    }

    private List<Long> generationNumbers() throws IOException {
        return storage.listFiles().stream().map(SNAPSHOT_NAME::matcher).filter(Matcher::matches)
                .map(m -> Long.valueOf(m.group(1))).sorted(Comparator.naturalOrder()).toList();
    }

    private static String fileName(long number) {
        return String.format(Locale.ROOT, "list-%016d.snap", number);
    }
}
