package cairnline.program;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.membership.Membership;
import cairnline.membership.StoredEngine;
import cairnline.membership.State;
import cairnline.membership.TrustSettings;
import cairnline.membership.MembershipView;
import cairnline.standin.EngineModel;
import cairnline.standin.StandInFeed;
import cairnline.standin.StandInRespEngine;
import cairnline.store.Snapshot;
import cairnline.store.SnapshotCodec;
import cairnline.store.SnapshotException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Measures what a start without the control feed costs, with stand-ins on loopback. It is run by bin/measure-discovery;
 * docs/membership.md records its output. "Half a core" is a core shared with one busy-looping process.
 */
final class MeasureDiscovery {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int MANAGER_COUNT = 3;
    private static final int ENGINE_COUNT = 4;
    private static final long TIMEOUT_SECONDS = 30;
    private static final EngineModel.EngineParameters ENGINE_PARAMETERS = new EngineModel.EngineParameters(16, 0.31,
            15 * SECOND_MICROS, true, 4, 3 * SECOND_MICROS / 2);

    private final Path folder;

    private MeasureDiscovery(Path folder) {
        this.folder = folder;
    }

    /**
     * Runs the measurements named by the arguments: snapshots, start, worth, cold. Without arguments it runs all of them,
     * which takes about six minutes.
     */
    public static void main(String[] args) throws Exception {
        MeasureDiscovery measurement = new MeasureDiscovery(Files.createTempDirectory("cairnline-measure"));
        List<String> parts = args.length > 0 ? List.of(args) : List.of("snapshots", "start", "worth", "cold");
        for (String part : parts) {
            switch (part) {
                case "snapshots" -> measurement.measureSnapshots();
                case "start" -> measurement.measureStart();
                case "worth" -> measurement.measureWorth();
                case "cold" -> measurement.measureColdEngine();
                default -> throw new IllegalArgumentException("unknown measurement: " + part);
            }
        }
        System.exit(0);
    }

    private static void print(String format, Object... values) {
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    private static long micros() {
        return System.nanoTime() / 1_000;
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }

    // ---- Snapshots ----

    private static List<ListedEngine> listedEngines(int count) {
        List<ListedEngine> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new ListedEngine("s-" + Integer.toHexString(0x10000000 + i), "10.1." + i / 250 + "." + i % 250
                    + ":7001", EngineStatus.READY, "dc1", "std16", i % 4, 4, 0));
        }
        return engines;
    }

    /** The first sample of each series is the cost at program start, when no code has been compiled yet. */
    private void measureSnapshots() throws IOException, SnapshotException {
        for (int engines : new int[] {10, 1_000, 10_000}) {
            Membership membership = new Membership(TrustSettings.defaults(15 * SECOND_MICROS));
            membership.applyUpdate(1, true, listedEngines(engines));
            List<Double> viewMillis = new ArrayList<>();
            List<Double> writeMillis = new ArrayList<>();
            List<Double> readMillis = new ArrayList<>();
            for (int i = 0; i < 21; i++) {
                long start = System.nanoTime();
                MembershipView view = membership.view(i);
                viewMillis.add((System.nanoTime() - start) / 1e6);
                start = System.nanoTime();
                byte[] bytes = SnapshotCodec.encode(new Snapshot(1, view.storedEngines()));
                Path file = folder.resolve("one.snap");
                try (var channel = java.nio.channels.FileChannel.open(file, java.nio.file.StandardOpenOption.CREATE,
                        java.nio.file.StandardOpenOption.WRITE, java.nio.file.StandardOpenOption.TRUNCATE_EXISTING)) {
                    channel.write(java.nio.ByteBuffer.wrap(bytes));
                    channel.force(true);
                }
                writeMillis.add((System.nanoTime() - start) / 1e6);
                start = System.nanoTime();
                SnapshotCodec.decode(Files.readAllBytes(file));
                readMillis.add((System.nanoTime() - start) / 1e6);
            }
            print("snapshot of %5d engines: core's thread held %.3f ms (first %.3f), written and synced in %.1f ms"
                    + " (first %.1f), read in %.1f ms (first %.1f)", engines, median(viewMillis), viewMillis.get(0),
                    median(writeMillis), writeMillis.get(0), median(readMillis), readMillis.get(0));
        }
    }

    // ---- Starts ----

    private StoredEngine storedEngine(String id, String address) {
        return new StoredEngine(new ListedEngine(id, address, EngineStatus.READY, "dc1", "std16", 0, 4, 0), State.CONFIRMED,
                System.currentTimeMillis() * 1_000 - 10 * SECOND_MICROS, 0);
    }

    /** Prepares a manager whose snapshot folder holds {@code storedEngines}, or is empty if they are null. */
    private ManagerProcess manager(String name, int frontIndex, String feedAddress, List<StandInRespEngine> storedEngines)
            throws IOException {
        Path snapshotFolder = Files.createDirectories(folder.resolve(name + "-snapshots-" + frontIndex));
        if (storedEngines != null) {
            List<StoredEngine> entries = new ArrayList<>();
            for (StandInRespEngine engine : storedEngines) {
                entries.add(storedEngine("e" + entries.size(), engine.address()));
            }
            Files.write(snapshotFolder.resolve("list-0000000000000001.snap"),
                    SnapshotCodec.encode(new Snapshot(System.currentTimeMillis() * 1_000, entries)));
        }
        return new ManagerProcess(folder.resolve(name + "-" + frontIndex), frontIndex, MANAGER_COUNT, feedAddress,
                "discovery: snapshot: dir: \"" + snapshotFolder + "\"");
    }

    private static StandInRespEngine startEngine(boolean cold) throws IOException {
        return new StandInRespEngine(0, StandInRespEngine.Behavior.ENGINE, ENGINE_PARAMETERS, cold,
                SyntheticWorkload.costs(1));
    }

    /** Measures the time from the start of the process to its first served answer, on a shared and on a whole core. */
    private void measureStart() throws Exception {
        List<Double> halfCoreSeconds = new ArrayList<>();
        List<Double> wholeCoreSeconds = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            boolean shared = i % 2 == 0;
            Process busyLoop = shared
                    ? new ProcessBuilder("taskset", "-c", "0", "sh", "-c", "while :; do :; done").start() : null;
            try (StandInRespEngine engine = startEngine(false); StandInFeed feed = offlineFeed();
                 ManagerProcess manager = manager("first" + i, 0, feed.address(), List.of(engine))) {
                long start = System.nanoTime();
                manager.start("taskset", "-c", "0");
                ReadinessCheck.await(manager.port(), TIMEOUT_SECONDS);
                SyntheticWorkload workload = new SyntheticWorkload(manager.port(), i, 1);
                workload.send(20, 50);
                workload.await(TIMEOUT_SECONDS);
                (shared ? halfCoreSeconds : wholeCoreSeconds).add((workload.firstServedNanos() - start) / 1e9);
                workload.close();
            } finally {
                if (busyLoop != null) {
                    busyLoop.destroyForcibly();
                }
            }
        }
        print("start to first served answer, feed down: %.2f s at half a core %s, %.2f s at a whole one (a lookup alone"
                + " takes 0.31)", median(halfCoreSeconds),
                halfCoreSeconds.stream().map(t -> String.format(Locale.ROOT, "%.2f", t)).toList(),
                median(wholeCoreSeconds));
    }

    private static StandInFeed offlineFeed() throws IOException {
        StandInFeed feed = new StandInFeed();
        feed.goOffline();
        return feed;
    }

    private void measureWorth() throws Exception {
        for (int perSecond : new int[] {3, 6, 12}) {
            double feedUp = worthServed("up" + perSecond, perSecond, true);
            double feedDown = worthServed("down" + perSecond, perSecond, false);
            print("first 10 s, %d managers of %d engines, %d requests/s each: worth served in time %.3f with the feed up,"
                    + " %.3f without: ratio %.2f", MANAGER_COUNT, ENGINE_COUNT, perSecond, feedUp, feedDown,
                    feedDown / feedUp);
        }
    }

    /** Starts all managers together and returns the mean share of the worth that they serve of 10 s of requests. */
    private double worthServed(String name, int perSecond, boolean feedUp) throws Exception {
        List<StandInRespEngine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINE_COUNT; i++) {
            engines.add(startEngine(false));
        }
        try (StandInFeed feed = new StandInFeed()) {
            List<StandInFeed.EngineEntry> entries = new ArrayList<>();
            engines.forEach(engine -> entries.add(
                    new StandInFeed.EngineEntry("e" + entries.size(), engine.address(), "in_service", 0)));
            feed.publish(true, entries);
            if (!feedUp) {
                feed.goOffline();
            }
            return runWorkload(name, feed, feedUp ? null : engines, perSecond);
        } finally {
            for (StandInRespEngine engine : engines) {
                engine.close();
            }
        }
    }

    private double runWorkload(String name, StandInFeed feed, List<StandInRespEngine> storedEngines, int perSecond)
            throws Exception {
        List<ManagerProcess> managers = new ArrayList<>();
        List<SyntheticWorkload> workloads = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int frontIndex = 0; frontIndex < MANAGER_COUNT; frontIndex++) {
            managers.add(manager(name, frontIndex, feed.address(), storedEngines));
            managers.get(frontIndex).start();
        }
        for (ManagerProcess manager : managers) {
            ReadinessCheck.await(manager.port(), TIMEOUT_SECONDS);
            SyntheticWorkload workload = new SyntheticWorkload(manager.port(), 100 + workloads.size(), 1);
            workloads.add(workload);
            threads.add(new Thread(() -> {
                try {
                    workload.send(10 * perSecond, perSecond);
                    workload.await(TIMEOUT_SECONDS);
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        double worth = workloads.stream().mapToDouble(SyntheticWorkload::worthServedShare).average().orElse(0);
        for (int i = 0; i < MANAGER_COUNT; i++) {
            workloads.get(i).close();
            managers.get(i).close();
        }
        return worth;
    }

    // ---- Cold engines ----

    private void measureColdEngine() throws Exception {
        double[] peakLoads = new double[3];
        int received = 0;
        for (int i = 0; i < peakLoads.length; i++) {
            try (StandInRespEngine engine = startEngine(true); StandInFeed feed = offlineFeed()) {
                runWorkload("cold" + i, feed, List.of(engine), 20);
                peakLoads[i] = engine.peakColdLoad();
                received += engine.received().size();
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        Arrays.sort(peakLoads);
        print("one cold engine, %d managers at 20 requests/s each, 3 runs: %d requests reached it; highest work in 1.5 s"
                + " over what it can do then: %.2f to %.2f (it falls over at 4)", MANAGER_COUNT, received, peakLoads[0],
                peakLoads[peakLoads.length - 1]);
    }
}
