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

class SnapshotFolderTest {
    private static final long HOUR = 3_600_000_000L;
    private static final long NOW = 500_000 * HOUR;

    @TempDir
    Path folder;

    private final Told told = new Told();
    private final StoreSettings settings = StoreSettings.usual();

    /** A disk that fails at its n-th step, as a machine that dies there or a full disk does. */
    private static final class FailingDisk implements Disk {
        private final Disk disk;
        private int left;

        FailingDisk(Disk disk, int left) {
            this.disk = disk;
            this.left = left;
        }

        private void step(String what) throws IOException {
            if (left-- == 0) {
                throw new IOException("No space left on device: " + what);
            }
        }

        @Override
        public List<String> names() throws IOException {
            step("names");
            return disk.names();
        }

        @Override
        public long size(String name) throws IOException {
            return disk.size(name);
        }

        @Override
        public byte[] read(String name) throws IOException {
            return disk.read(name);
        }

        @Override
        public void own() throws IOException {
            step("own");
            disk.own();
        }

        @Override
        public void write(String name, byte[] bytes) throws IOException {
            if (left == 0) {
                disk.write(name, Arrays.copyOf(bytes, bytes.length / 2));
            }
            step("write");
            disk.write(name, bytes);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            step("rename");
            disk.rename(from, to);
        }

        @Override
        public void sync() throws IOException {
            step("sync");
            disk.sync();
        }

        @Override
        public void delete(String name) throws IOException {
            step("delete");
            disk.delete(name);
        }
    }

    private SnapshotFolder open() {
        return new SnapshotFolder(folder, settings, told);
    }

    private static byte[] bytes(int engines, long savedAt) {
        return SnapshotCodec.encode(SnapshotCodecTest.snapshot(engines, savedAt));
    }

    private List<Path> generations() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.toString().endsWith(".snap")).sorted().toList();
        }
    }

    private int engines(long now) {
        Snapshot newest = open().newest(now);
        return newest == null ? 0 : newest.engines().size();
    }

    @Test
    void generationsAreKeptAndTheNewestIsRead() throws IOException {
        SnapshotFolder each = open();
        for (int i = 1; i <= 7; i++) {
            each.write(bytes(i, NOW + i));
        }
        assertEquals(settings.generations(), generations().size());
        assertEquals(7, engines(NOW));
        assertEquals(List.of(), told.all());
    }

    @Test
    void whatCantBeUsedIsSkippedWithOneEventEachAndTheNextOlderOneIsUsed() throws IOException {
        SnapshotFolder each = open();
        for (int i = 1; i <= 4; i++) {
            each.write(bytes(i, NOW));
        }
        List<Path> files = generations();
        Files.write(files.get(3), new byte[] {1, 2, 3});
        Files.write(files.get(2), Arrays.copyOf(bytes(3, NOW), 60));
        byte[] damaged = bytes(2, NOW);
        damaged[70] ^= 1;
        Files.write(files.get(1), damaged);
        assertEquals(1, engines(NOW));
        assertEquals(List.of("snapshot.skipped FOREIGN", "snapshot.skipped CUT", "snapshot.skipped DAMAGED"), told.all());
        Files.delete(files.get(0));
        assertNull(open().newest(NOW), "none is left, and the start goes on");
    }

    @Test
    void hugeUnreadableAndLaterFilesAreSkippedToo() throws IOException {
        SnapshotFolder each = open();
        each.write(bytes(1, NOW));
        each.write(bytes(2, NOW));
        Path huge = folder.resolve("list-0000000000000009.snap");
        Files.createDirectory(folder.resolve("list-0000000000000008.snap"));
        Files.write(huge, new byte[settings.maxBytes() + 1], StandardOpenOption.CREATE);
        assertEquals(2, engines(NOW));
        assertEquals("snapshot.skipped HUGE", told.all().get(0));
        assertTrue(told.all().get(1).startsWith("snapshot.skipped UNREADABLE"), told.all().get(1));
        assertThrows(IOException.class, () -> open().write(new byte[settings.maxBytes() + 1]));
    }

    @Test
    void aSnapshotDatedTomorrowIsSkippedAndAClockSetBackAnHourIsNoReasonTo() throws IOException {
        SnapshotFolder each = open();
        each.write(bytes(1, NOW + HOUR));
        each.write(bytes(2, NOW + 24 * HOUR));
        assertEquals(1, engines(NOW), "an hour later than now, as after a clock was set back");
        assertEquals(List.of("snapshot.skipped FUTURE_DATED"), told.all());
        // What is written from now on is newer by its number, whatever the clock says.
        each.write(bytes(3, NOW));
        assertEquals(3, engines(NOW));
    }

    @Test
    void aFailureAtAnyStepLeavesTheOldOrTheNewWhole() throws IOException {
        open().write(bytes(1, NOW));
        int failed = 0;
        for (int step = 0; step < 20; step++) {
            int before = engines(NOW);
            try {
                new SnapshotFolder(new FailingDisk(new FolderDisk(folder), step), settings, told).write(bytes(before + 1, NOW));
            } catch (IOException e) {
                failed++;
            }
            int after = engines(NOW);
            assertTrue(after == before || after == before + 1, "step " + step + ": " + before + " became " + after);
        }
        assertTrue(failed >= 5, "every step was made to fail: " + failed);
        assertEquals(List.of(), told.all(), "nothing that was half written was ever read");
    }

    @Test
    void aFolderThatIsMissingIsMadeAndOneThatIsAFileIsAnErrorOnly() throws IOException {
        SnapshotFolder deep = new SnapshotFolder(folder.resolve("a/b"), settings, told);
        assertNull(deep.newest(NOW));
        deep.write(bytes(1, NOW));
        assertNotNull(deep.newest(NOW));
        Path file = Files.writeString(folder.resolve("plain"), "x");
        SnapshotFolder wrong = new SnapshotFolder(file, settings, told);
        assertNull(wrong.newest(NOW));
        assertThrows(IOException.class, () -> wrong.write(bytes(1, NOW)));
    }

    @Test
    void oneProcessAloneWritesToAFolder() throws Exception {
        Process other = Writer.start(folder, 1);
        try {
            Writer.awaitFirst(other);
            IOException e = assertThrows(IOException.class, () -> open().write(bytes(1, NOW)));
            assertTrue(e.getMessage().startsWith("another workload manager keeps its list in"), e.getMessage());
        } finally {
            other.destroyForcibly().waitFor();
        }
        open().write(bytes(1, NOW));
    }

    /** As a machine's power or an operator's hand ends it: at any moment, with no word. */
    @Test
    void aProcessKilledWhileItWritesLeavesOneWholeGeneration() throws Exception {
        List<Integer> found = new ArrayList<>();
        int before = 0;
        for (int i = 0; i < 30; i++) {
            Process writer = Writer.start(folder, before + 1);
            Writer.awaitFirst(writer);
            // Spread over the time that some dozens of writes take.
            TimeUnit.MICROSECONDS.sleep(i * 1_700L % 23_000);
            writer.destroyForcibly().waitFor();
            Snapshot newest = open().newest(NOW);
            assertNotNull(newest, "run " + i);
            int generation = (int) (newest.savedAt() - NOW + HOUR);
            assertEquals(SnapshotCodecTest.snapshot(200 + generation % 50, newest.savedAt()), newest);
            assertTrue(generation > before, "what was told to be on the disk is there: " + generation);
            before = generation;
            found.add(generation);
        }
        assertEquals(List.of(), told.all());
        assertEquals(30, found.size());
    }

    /** A process that writes one generation after the other; each tells its number by its date and size. */
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
            SnapshotFolder folder = new SnapshotFolder(Path.of(args[0]), StoreSettings.usual(), new Told());
            for (int i = Integer.parseInt(args[1]);; i++) {
                folder.write(bytes(200 + i % 50, NOW - HOUR + i));
                System.out.write('w');
                System.out.flush();
            }
        }
    }

    private static Membership listed() {
        Membership membership = new Membership(TrustSettings.usual(1));
        membership.told(NOW, true, List.of(new ListedEngine("e1", "127.0.0.1:1", EngineStatus.READY, "z", "k", 0, 1, 0)));
        return membership;
    }

    @Test
    void aKeeperGoesOnWhileItsDiskFailsAndTellsEachCauseOnce() throws Exception {
        Path blocked = Files.writeString(folder.resolve("plain"), "x");
        StoreSettings quick = new StoreSettings(2, 1_000, 600, 1 << 20, HOUR, 1_000, 4_000);
        SnapshotKeeper keeper = new SnapshotKeeper(new SnapshotFolder(blocked, quick, told), quick, told,
                () -> System.nanoTime() / 1_000);
        keeper.start();
        keeper.keep(listed().view(NOW), true);
        told.await("snapshot.failed");
        Files.delete(blocked);
        told.await("snapshot.kept.again");
        assertEquals(2, told.all().size(), told.all().toString());
        assertEquals(1, new SnapshotFolder(blocked, quick, told).newest(NOW).engines().size());
    }

    @Test
    void aLaterViewStandsInForOneThatWaits() throws Exception {
        StoreSettings slow = new StoreSettings(8, 60_000_000, 600, 1 << 20, HOUR, 1_000, 4_000);
        SnapshotKeeper keeper = new SnapshotKeeper(new SnapshotFolder(folder, slow, told), slow, told,
                () -> System.nanoTime() / 1_000);
        Membership membership = listed();
        keeper.start();
        for (int i = 0; i < 1_000; i++) {
            keeper.keep(membership.view(NOW + i), i == 0 || i == 999);
        }
        keeper.flush(10_000_000);
        assertTrue(generations().size() <= 2, "written: " + generations());
        assertEquals(NOW + 999, open().newest(NOW).savedAt());
    }
}
