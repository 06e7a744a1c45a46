package cairnline.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.membership.Membership;
import cairnline.membership.TrustSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a complete snapshot can be loaded whatever fails: disk, process, clock or file content. */
class SnapshotFolderTest {
    private static final long HOUR_MICROS = 3_600_000_000L;
    private static final long NOW_MICROS = 500_000 * HOUR_MICROS;

    @TempDir
    Path folder;

    private final RecordingEventSink events = new RecordingEventSink();
    private final StoreSettings settings = StoreSettings.defaults();

    /** Storage that fails once at its n-th step, as a full disk or a crash would; a failing write leaves half of the file. */
    private static final class FailingStorage implements SnapshotStorage {
        private final SnapshotStorage storage;
        private int stepsBeforeFailure;

        FailingStorage(SnapshotStorage storage, int stepsBeforeFailure) {
            this.storage = storage;
            this.stepsBeforeFailure = stepsBeforeFailure;
        }

        private void step(String operation) throws IOException {
            if (stepsBeforeFailure-- == 0) {
                throw new IOException("No space left on device: " + operation);
            }
        }

        @Override
        public List<String> listFiles() throws IOException {
            step("listFiles");
            return storage.listFiles();
        }

        @Override
        public long size(String name) throws IOException {
            return storage.size(name);
        }

        @Override
        public byte[] read(String name) throws IOException {
            return storage.read(name);
        }

        @Override
        public void acquireLock() throws IOException {
            step("acquireLock");
            storage.acquireLock();
        }

        @Override
        public void write(String name, byte[] bytes) throws IOException {
            if (stepsBeforeFailure == 0) {
                storage.write(name, Arrays.copyOf(bytes, bytes.length / 2));
            }
            step("write");
            storage.write(name, bytes);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            step("rename");
            storage.rename(from, to);
        }

        @Override
        public void sync() throws IOException {
            step("sync");
            storage.sync();
        }

        @Override
        public void delete(String name) throws IOException {
            step("delete");
            storage.delete(name);
        }
    }

    private SnapshotFolder openFolder() {
        return new SnapshotFolder(folder, settings, events);
    }

    private static byte[] bytes(int engines, long savedAt) {
        return SnapshotCodec.encode(SnapshotCodecTest.snapshot(engines, savedAt));
    }

    private List<Path> snapshotFiles() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.toString().endsWith(".snap")).sorted().toList();
        }
    }

    private int newestEngineCount(long now) {
        Snapshot newest = openFolder().loadNewest(now);
        return newest == null ? 0 : newest.engines().size();
    }

    @Test
    void keepsConfiguredGenerationsAndReadsTheNewest() throws IOException {
        SnapshotFolder snapshots = openFolder();
        for (int i = 1; i <= 7; i++) {
            snapshots.write(bytes(i, NOW_MICROS + i));
        }
        assertEquals(settings.generations(), snapshotFiles().size());
        assertEquals(7, newestEngineCount(NOW_MICROS));
        assertEquals(List.of(), events.events());
    }

    @Test
    void skipsUnusableSnapshotsWithOneEventEachAndUsesTheNextOlder() throws IOException {
        SnapshotFolder snapshots = openFolder();
        for (int i = 1; i <= 4; i++) {
            snapshots.write(bytes(i, NOW_MICROS));
        }
        List<Path> files = snapshotFiles();
        Files.write(files.get(3), new byte[] {1, 2, 3});
        Files.write(files.get(2), Arrays.copyOf(bytes(3, NOW_MICROS), 60));
        byte[] damaged = bytes(2, NOW_MICROS);
        damaged[70] ^= 1;
        Files.write(files.get(1), damaged);
        assertEquals(1, newestEngineCount(NOW_MICROS));
        assertEquals(List.of("snapshot.skipped FOREIGN", "snapshot.skipped CUT", "snapshot.skipped DAMAGED"), events.events());
        Files.delete(files.get(0));
        assertNull(openFolder().loadNewest(NOW_MICROS), "without a usable snapshot the start continues");
    }

    @Test
    void skipsOversizedAndUnreadableFiles() throws IOException {
        SnapshotFolder snapshots = openFolder();
        snapshots.write(bytes(1, NOW_MICROS));
        snapshots.write(bytes(2, NOW_MICROS));
        Path oversized = folder.resolve("list-0000000000000009.snap");
        Files.createDirectory(folder.resolve("list-0000000000000008.snap"));
        Files.write(oversized, new byte[settings.maxFileBytes() + 1], StandardOpenOption.CREATE);
        assertEquals(2, newestEngineCount(NOW_MICROS));
        assertEquals("snapshot.skipped HUGE", events.events().get(0));
        assertTrue(events.events().get(1).startsWith("snapshot.skipped UNREADABLE"), events.events().get(1));
        assertThrows(IOException.class, () -> openFolder().write(new byte[settings.maxFileBytes() + 1]));
    }

    @Test
    void skipsSnapshotDatedTomorrowButNotAfterClockIsSetBackAnHour() throws IOException {
        SnapshotFolder snapshots = openFolder();
        snapshots.write(bytes(1, NOW_MICROS + HOUR_MICROS));
        snapshots.write(bytes(2, NOW_MICROS + 24 * HOUR_MICROS));
        assertEquals(1, newestEngineCount(NOW_MICROS), "a snapshot dated an hour ahead, as after the clock was set back");
        assertEquals(List.of("snapshot.skipped FUTURE_DATED"), events.events());
        // A snapshot written later is newer by its number, whatever its date.
        snapshots.write(bytes(3, NOW_MICROS));
        assertEquals(3, newestEngineCount(NOW_MICROS));
    }

    @Test
    void failureAtAnyStepLeavesOldOrNewSnapshotIntact() throws IOException {
        openFolder().write(bytes(1, NOW_MICROS));
        int failed = 0;
        for (int step = 0; step < 20; step++) {
            int previous = newestEngineCount(NOW_MICROS);
            try {
                new SnapshotFolder(new FailingStorage(new FileSystemStorage(folder), step), settings, events)
                        .write(bytes(previous + 1, NOW_MICROS));
            } catch (IOException e) {
                failed++;
            }
            int current = newestEngineCount(NOW_MICROS);
            assertTrue(current == previous || current == previous + 1, "step " + step + ": " + previous + " became " + current);
        }
        assertTrue(failed >= 5, "too few steps failed: " + failed);
        assertEquals(List.of(), events.events(), "no partially written snapshot was read");
    }

    @Test
    void createsMissingFolderAndFailsIfThePathIsAFile() throws IOException {
        SnapshotFolder missingFolder = new SnapshotFolder(folder.resolve("a/b"), settings, events);
        assertNull(missingFolder.loadNewest(NOW_MICROS));
        missingFolder.write(bytes(1, NOW_MICROS));
        assertNotNull(missingFolder.loadNewest(NOW_MICROS));
        Path file = Files.writeString(folder.resolve("plain"), "x");
        SnapshotFolder notAFolder = new SnapshotFolder(file, settings, events);
        assertNull(notAFolder.loadNewest(NOW_MICROS));
        assertThrows(IOException.class, () -> notAFolder.write(bytes(1, NOW_MICROS)));
    }

    @Test
    void refusesToWriteWhileAnotherProcessHoldsTheLock() throws Exception {
        Process other = Writer.start(folder, 1);
        try {
            Writer.awaitFirst(other);
            IOException e = assertThrows(IOException.class, () -> openFolder().write(bytes(1, NOW_MICROS)));
            assertTrue(e.getMessage().startsWith("another workload manager holds the lock of the snapshot folder"),
                    e.getMessage());
        } finally {
            other.destroyForcibly().waitFor();
        }
        openFolder().write(bytes(1, NOW_MICROS));
    }

    /** The process is killed at arbitrary moments, as by a power failure or an operator. */
    @Test
    void killedWriterLeavesACompleteSnapshot() throws Exception {
        List<Integer> generations = new ArrayList<>();
        int previous = 0;
        for (int i = 0; i < 30; i++) {
            Process writer = Writer.start(folder, previous + 1);
            Writer.awaitFirst(writer);
            // Spreads the kills over the duration of some dozens of writes.
            TimeUnit.MICROSECONDS.sleep(i * 1_700L % 23_000);
            writer.destroyForcibly().waitFor();
            Snapshot newest = openFolder().loadNewest(NOW_MICROS);
            assertNotNull(newest, "run " + i);
            int generation = (int) (newest.savedAt() - NOW_MICROS + HOUR_MICROS);
            assertEquals(SnapshotCodecTest.snapshot(200 + generation % 50, newest.savedAt()), newest);
            assertTrue(generation > previous, "a snapshot reported as written is lost, newest generation: " + generation);
            previous = generation;
            generations.add(generation);
        }
        assertEquals(List.of(), events.events());
        assertEquals(30, generations.size());
    }

    /** A process that writes consecutive generations, whose date and number of engines identify them. */
    static final class Writer {
        private Writer() { }

        static Process start(Path folder, int from) throws IOException {
            return new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto", "-cp",
                    System.getProperty("java.class.path"), Writer.class.getName(), folder.toString(),
                    Integer.toString(from)).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        }

        static void awaitFirst(Process writer) throws IOException {
            assertEquals('w', writer.getInputStream().read());
        }

        public static void main(String[] args) throws Exception {
            SnapshotFolder folder = new SnapshotFolder(Path.of(args[0]), StoreSettings.defaults(), new RecordingEventSink());
            for (int i = Integer.parseInt(args[1]);; i++) {
                folder.write(bytes(200 + i % 50, NOW_MICROS - HOUR_MICROS + i));
                System.out.write('w');
                System.out.flush();
            }
        }
    }

    private static Membership membershipWithOneEngine() {
        Membership membership = new Membership(TrustSettings.defaults(1));
        membership.applyUpdate(NOW_MICROS, true,
                List.of(new ListedEngine("e1", "127.0.0.1:1", EngineStatus.READY, "z", "k", 0, 1, 0)));
        return membership;
    }

    @Test
    void retriesFailedWritesAndReportsEachCauseOnce() throws Exception {
        Path blocked = Files.writeString(folder.resolve("plain"), "x");
        StoreSettings fastRetries = new StoreSettings(2, 1_000, 600, 1 << 20, HOUR_MICROS, 1_000, 4_000);
        SnapshotWriter writer = new SnapshotWriter(new SnapshotFolder(blocked, fastRetries, events), fastRetries, events,
                () -> System.nanoTime() / 1_000);
        writer.start();
        writer.save(membershipWithOneEngine().view(NOW_MICROS), true);
        events.await("snapshot.failed");
        Files.delete(blocked);
        events.await("snapshot.kept.again");
        assertEquals(2, events.events().size(), events.events().toString());
        assertEquals(1, new SnapshotFolder(blocked, fastRetries, events).loadNewest(NOW_MICROS).engines().size());
    }

    @Test
    void newerViewReplacesPendingOne() throws Exception {
        StoreSettings longInterval = new StoreSettings(8, 60_000_000, 600, 1 << 20, HOUR_MICROS, 1_000, 4_000);
        SnapshotWriter writer = new SnapshotWriter(new SnapshotFolder(folder, longInterval, events), longInterval, events,
                () -> System.nanoTime() / 1_000);
        Membership membership = membershipWithOneEngine();
        writer.start();
        for (int i = 0; i < 1_000; i++) {
            writer.save(membership.view(NOW_MICROS + i), i == 0 || i == 999);
        }
        writer.flush(10_000_000);
        assertTrue(snapshotFiles().size() <= 2, "written: " + snapshotFiles());
        assertEquals(NOW_MICROS + 999, openFolder().loadNewest(NOW_MICROS).savedAt());
    }
}
