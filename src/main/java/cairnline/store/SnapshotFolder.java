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
 * Generations of snapshots in a folder. They are numbered, and the highest number is the newest: a clock that is set
 * back changes no order. A generation is whole or not there: its bytes are on the disk before it has its name.
 */
public final class SnapshotFolder {
    private static final Pattern NAME = Pattern.compile("list-(\\d{16})\\.snap");
    private static final String UNFINISHED = "list.tmp";

    private final SnapshotStorage disk;
    private final StoreSettings settings;
    private final EventSink log;

    SnapshotFolder(SnapshotStorage disk, StoreSettings settings, EventSink log) {
        this.disk = disk;
        this.settings = settings;
        this.log = log;
    }

    /** The snapshots in a folder, which need not be there yet. */
    public SnapshotFolder(Path folder, StoreSettings settings, EventSink log) {
        this(new FileSystemStorage(folder), settings, log);
    }

    /**
     * The newest that can be used; null if there is none. Each that can't be is skipped with one event. Never throws:
     * whatever lies there must not keep the program from its start.
     */
    public Snapshot newest(long now) {
        List<Long> numbers;
        try {
            numbers = numbers();
        } catch (IOException | RuntimeException e) {
            log.warn("snapshot.folder.unreadable", "the kept list can't be read", "cause", e);
            return null;
        }
        for (int i = numbers.size() - 1; i >= 0; i--) {
            String name = name(numbers.get(i));
            try {
                return read(name, now);
            } catch (SnapshotException e) {
                log.warn("snapshot.skipped", "a kept list is skipped: " + e.getMessage(), "file", name, "cause",
                        e.reason());
            }
        }
        return null;
    }

    private Snapshot read(String name, long now) throws SnapshotException {
        byte[] bytes;
        try {
            long size = disk.size(name);
            if (size > settings.maxBytes()) {
                throw new SnapshotException(Cause.HUGE, size + " bytes are more than " + settings.maxBytes());
            }
            bytes = disk.read(name);
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            throw new SnapshotException(Cause.UNREADABLE, String.valueOf(e));
        }
        Snapshot snapshot = SnapshotCodec.decode(bytes);
        if (snapshot.savedAt() - now > settings.clocksDiffer()) {
            throw new SnapshotException(Cause.FUTURE_DATED,
                    "it was saved " + (snapshot.savedAt() - now) / 1_000_000 + " s from now");
        }
        return snapshot;
    }

    /** Writes the next generation and takes those away that are too many; throws if it is not on the disk. */
    void write(byte[] bytes) throws IOException {
        if (bytes.length > settings.maxBytes()) {
            throw new IOException("the list takes " + bytes.length + " bytes, more than " + settings.maxBytes());
        }
        disk.own();
        List<Long> numbers = numbers();
        long next = numbers.isEmpty() ? 1 : numbers.get(numbers.size() - 1) + 1;
        try {
            disk.write(UNFINISHED, bytes);
        } catch (IOException e) {
            // On a full disk half a file would take the room that the next try needs.
            disk.delete(UNFINISHED);
            throw e;
        }
        disk.rename(UNFINISHED, name(next));
        disk.sync();
        for (int i = 0; i < numbers.size() - (settings.generations() - 1); i++) {
            disk.delete(name(numbers.get(i)));
        }
    }

    private List<Long> numbers() throws IOException {
        return disk.names().stream().map(NAME::matcher).filter(Matcher::matches).map(m -> Long.valueOf(m.group(1)))
                .sorted(Comparator.naturalOrder()).toList();
    }

    private static String name(long number) {
        return String.format(Locale.ROOT, "list-%016d.snap", number);
    }
}
