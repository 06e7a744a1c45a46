package cairnline.program;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.membership.Membership;
import cairnline.membership.Remembered;
import cairnline.membership.State;
import cairnline.membership.TrustSettings;
import cairnline.membership.View;
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
 * What a start without the control feed costs, on stand-ins on loopback; bin/measure-discovery runs it, and
 * docs/membership.md holds what it printed. Half a core is a core shared with one process that never rests.
 */
final class MeasureDiscovery {
    private static final long SECOND = 1_000_000;
    private static final int MANAGERS = 3;
    private static final int ENGINES = 4;
    private static final long LIMIT_S = 30;
    private static final EngineModel.Shape SHAPE = new EngineModel.Shape(16, 0.31, 15 * SECOND, true, 4, 3 * SECOND / 2);

    private final Path folder;

    private MeasureDiscovery(Path folder) {
        this.folder = folder;
    }

    /** Measures what the arguments name: snapshots, start, worth, cold; all of it, in some six minutes, without any. */
    public static void main(String[] args) throws Exception {
        MeasureDiscovery all = new MeasureDiscovery(Files.createTempDirectory("cairnline-measure"));
        List<String> parts = args.length > 0 ? List.of(args) : List.of("snapshots", "start", "worth", "cold");
        for (String part : parts) {
            switch (part) {
                case "snapshots" -> all.snapshots();
                case "start" -> all.firstServed();
                case "worth" -> all.worth();
                case "cold" -> all.cold();
                default -> throw new IllegalArgumentException("no such part: " + part);
            }
        }
        System.exit(0);
    }

    private static void say(String format, Object... values) {
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    private static long micros() {
        return System.nanoTime() / 1_000;
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }

    // ---- Snapshots ----

    private static List<ListedEngine> listed(int engines) {
        List<ListedEngine> all = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            all.add(new ListedEngine("s-" + Integer.toHexString(0x10000000 + i), "10.1." + i / 250 + "." + i % 250
                    + ":7001", EngineStatus.READY, "dc1", "std16", i % 4, 4, 0));
        }
        return all;
    }

    /** The first of each is what a start pays: nothing is compiled yet. */
    private void snapshots() throws IOException, SnapshotException {
        for (int engines : new int[] {10, 1_000, 10_000}) {
            Membership membership = new Membership(TrustSettings.usual(15 * SECOND));
            membership.told(1, true, listed(engines));
            List<Double> taken = new ArrayList<>();
            List<Double> written = new ArrayList<>();
            List<Double> read = new ArrayList<>();
            for (int i = 0; i < 21; i++) {
                long start = System.nanoTime();
                View view = membership.view(i);
                taken.add((System.nanoTime() - start) / 1e6);
                start = System.nanoTime();
                byte[] bytes = SnapshotCodec.encode(new Snapshot(1, view.remembered()));
                Path file = folder.resolve("one.snap");
                try (var channel = java.nio.channels.FileChannel.open(file, java.nio.file.StandardOpenOption.CREATE,
                        java.nio.file.StandardOpenOption.WRITE, java.nio.file.StandardOpenOption.TRUNCATE_EXISTING)) {
                    channel.write(java.nio.ByteBuffer.wrap(bytes));
                    channel.force(true);
                }
                written.add((System.nanoTime() - start) / 1e6);
                start = System.nanoTime();
                SnapshotCodec.decode(Files.readAllBytes(file));
                read.add((System.nanoTime() - start) / 1e6);
            }
            say("snapshot of %5d engines: core's thread held %.3f ms (first %.3f), written and synced in %.1f ms"
                    + " (first %.1f), read in %.1f ms (first %.1f)", engines, median(taken), taken.get(0),
                    median(written), written.get(0), median(read), read.get(0));
        }
    }

    // ---- Starts ----

    private Remembered kept(String id, String address) {
        return new Remembered(new ListedEngine(id, address, EngineStatus.READY, "dc1", "std16", 0, 4, 0), State.TOLD,
                System.currentTimeMillis() * 1_000 - 10 * SECOND, 0);
    }

    private ManagerProcess manager(String name, int self, String feed, List<StandInRespEngine> engines)
            throws IOException {
        Path kept = Files.createDirectories(folder.resolve(name + "-kept-" + self));
        if (engines != null) {
            List<Remembered> all = new ArrayList<>();
            for (StandInRespEngine each : engines) {
                all.add(kept("e" + all.size(), each.address()));
            }
            Files.write(kept.resolve("list-0000000000000001.snap"),
                    SnapshotCodec.encode(new Snapshot(System.currentTimeMillis() * 1_000, all)));
        }
        return new ManagerProcess(folder.resolve(name + "-" + self), self, MANAGERS, feed,
                "discovery: snapshot: dir: \"" + kept + "\"");
    }

    private static StandInRespEngine engine(boolean cold) throws IOException {
        return new StandInRespEngine(0, StandInRespEngine.Manner.ENGINE, SHAPE, cold, Mix.costs(1));
    }

    /** On one core that another process shares, so that half of it is left. */
    private void firstServed() throws Exception {
        List<Double> times = new ArrayList<>();
        List<Double> whole = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            boolean shared = i % 2 == 0;
            Process busy = shared ? new ProcessBuilder("taskset", "-c", "0", "sh", "-c", "while :; do :; done").start()
                    : null;
            try (StandInRespEngine engine = engine(false); StandInFeed feed = hidden();
                 ManagerProcess manager = manager("first" + i, 0, feed.address(), List.of(engine))) {
                long start = System.nanoTime();
                manager.start("taskset", "-c", "0");
                Ready.await(manager.port(), LIMIT_S);
                Mix mix = new Mix(manager.port(), i, 1);
                mix.send(20, 50);
                mix.await(LIMIT_S);
                (shared ? times : whole).add((mix.firstServed() - start) / 1e9);
                mix.close();
            } finally {
                if (busy != null) {
                    busy.destroyForcibly();
                }
            }
        }
        say("start to first served answer, feed down: %.2f s at half a core %s, %.2f s at a whole one (a lookup alone"
                + " takes 0.31)", median(times), times.stream().map(t -> String.format(Locale.ROOT, "%.2f", t)).toList(),
                median(whole));
    }

    private static StandInFeed hidden() throws IOException {
        StandInFeed feed = new StandInFeed();
        feed.hide();
        return feed;
    }

    private void worth() throws Exception {
        for (int perSecond : new int[] {3, 6, 12}) {
            double up = worth("up" + perSecond, perSecond, true);
            double down = worth("down" + perSecond, perSecond, false);
            say("first 10 s, %d managers of %d engines, %d requests/s each: worth served in time %.3f with the feed up,"
                    + " %.3f without: ratio %.2f", MANAGERS, ENGINES, perSecond, up, down, down / up);
        }
    }

    /** All managers start together; the mean of what they served of 10 s of requests. */
    private double worth(String name, int perSecond, boolean up) throws Exception {
        List<StandInRespEngine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(engine(false));
        }
        try (StandInFeed feed = new StandInFeed()) {
            List<StandInFeed.Host> hosts = new ArrayList<>();
            engines.forEach(e -> hosts.add(new StandInFeed.Host("e" + hosts.size(), e.address(), "in_service", 0)));
            feed.tell(true, hosts);
            if (!up) {
                feed.hide();
            }
            return load(name, feed, up ? null : engines, perSecond);
        } finally {
            for (StandInRespEngine each : engines) {
                each.close();
            }
        }
    }

    private double load(String name, StandInFeed feed, List<StandInRespEngine> kept, int perSecond) throws Exception {
        List<ManagerProcess> managers = new ArrayList<>();
        List<Mix> mixes = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int self = 0; self < MANAGERS; self++) {
            managers.add(manager(name, self, feed.address(), kept));
            managers.get(self).start();
        }
        for (ManagerProcess manager : managers) {
            Ready.await(manager.port(), LIMIT_S);
            Mix mix = new Mix(manager.port(), 100 + mixes.size(), 1);
            mixes.add(mix);
            threads.add(new Thread(() -> {
                try {
                    mix.send(10 * perSecond, perSecond);
                    mix.await(LIMIT_S);
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        threads.forEach(Thread::start);
        for (Thread each : threads) {
            each.join();
        }
        double worth = mixes.stream().mapToDouble(Mix::worth).average().orElse(0);
        for (int i = 0; i < MANAGERS; i++) {
            mixes.get(i).close();
            managers.get(i).close();
        }
        return worth;
    }

    // ---- Cold engines ----

    private void cold() throws Exception {
        double[] highest = new double[3];
        int received = 0;
        for (int i = 0; i < highest.length; i++) {
            try (StandInRespEngine engine = engine(true); StandInFeed feed = hidden()) {
                load("cold" + i, feed, List.of(engine), 20);
                highest[i] = engine.highest();
                received += engine.received().size();
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        Arrays.sort(highest);
        say("one cold engine, %d managers at 20 requests/s each, 3 runs: %d requests reached it; highest work in 1.5 s"
                + " over what it can do then: %.2f to %.2f (it falls over at 4)", MANAGERS, received, highest[0],
                highest[highest.length - 1]);
    }
}
