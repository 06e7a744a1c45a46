package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.membership.Remembered;
import cairnline.membership.State;
import cairnline.standin.EngineModel;
import cairnline.standin.StandInFeed;
import cairnline.standin.StandInRespEngine;
import cairnline.standin.StandInRespEngine.Manner;
import cairnline.standin.ToyClient;
import cairnline.store.Snapshot;
import cairnline.store.SnapshotCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Starts of real processes with the control feed out of reach, against stand-in engines and a stand-in feed. */
class DiscoveryTest {
    private static final long LIMIT_S = 20;
    private static final long SECOND = 1_000_000;
    private static final long YEAR = 365L * 86_400 * SECOND;
    private static final Map<String, StandInRespEngine.Cost> COSTS = Mix.costs(0.1);
    /** Late to warm up: the worst that the rules leave open. */
    private static final EngineModel.Shape SHAPE = new EngineModel.Shape(16, 0.31, 15 * SECOND, true, 4, 3 * SECOND / 2);

    @TempDir
    Path folder;

    private final List<AutoCloseable> opened = new ArrayList<>();
    private final LinkedBlockingQueue<ToyClient.Answer> answers = new LinkedBlockingQueue<>();
    private StandInFeed feed;
    private int calls;

    @BeforeEach
    void hideTheFeed() throws IOException {
        feed = open(new StandInFeed());
        feed.hide();
    }

    @AfterEach
    void close() throws Exception {
        for (int i = opened.size() - 1; i >= 0; i--) {
            opened.get(i).close();
        }
    }

    private <T extends AutoCloseable> T open(T resource) {
        opened.add(resource);
        return resource;
    }

    private StandInRespEngine engine(Manner manner, boolean cold) throws IOException {
        return open(new StandInRespEngine(0, manner, SHAPE, cold, COSTS));
    }

    /** One whose queries are as large as the settings' aims suppose. */
    private StandInRespEngine large(int port, boolean cold) throws IOException {
        return open(new StandInRespEngine(port, Manner.ENGINE, SHAPE, cold, Mix.costs(1)));
    }

    private StandInRespEngine engine() throws IOException {
        return engine(Manner.ENGINE, false);
    }

    private static long unixMicros() {
        return System.currentTimeMillis() * 1_000;
    }

    private static Remembered kept(String id, String address, State last, long age) {
        EngineStatus listed = last == State.LEAVING ? EngineStatus.DRAINING : EngineStatus.READY;
        return new Remembered(new ListedEngine(id, address, listed, "dc1", "std16", 0, 4, 0), last, unixMicros() - age, 0);
    }

    private static Remembered kept(String id, StandInRespEngine engine) {
        return kept(id, engine.address(), State.TOLD, 10 * SECOND);
    }

    private Path snapshots(int self) {
        return folder.resolve("kept-" + self);
    }

    /** A manager that finds this list on its disk. */
    private ManagerProcess manager(int self, int fronts, String known, Remembered... kept) throws IOException {
        Files.createDirectories(snapshots(self));
        Files.write(snapshots(self).resolve("list-0000000000000007.snap"),
                SnapshotCodec.encode(new Snapshot(unixMicros(), List.of(kept))));
        ManagerProcess manager = open(new ManagerProcess(folder.resolve("m" + self), self, fronts, feed.address(),
                "discovery: snapshot: {dir: \"" + snapshots(self) + "\", every: 200ms}", known));
        manager.start();
        return manager;
    }

    private ManagerProcess manager(Remembered... kept) throws IOException {
        return manager(0, 1, "{\"n\": 0, \"events\": []}", kept);
    }

    private static void until(BooleanSupplier held) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (!held.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "it never came");
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    private ToyClient client(ManagerProcess manager) throws IOException, InterruptedException {
        Ready.await(manager.port(), LIMIT_S);
        return open(new ToyClient(manager.port(), answers::add));
    }

    private ToyClient.Answer ask(ToyClient client, String type) throws Exception {
        client.ask(type, String.format("%016x", ++calls), type.equals("load") ? "00000000000000aa" : null, 7_000, 20);
        ToyClient.Answer answer = answers.poll(LIMIT_S, TimeUnit.SECONDS);
        assertTrue(answer != null, "no answer");
        return answer;
    }

    private void served(ToyClient client, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            assertEquals(1, ask(client, "lookup").code(), "request " + i);
        }
    }

    private static Map<String, State> last(Path snapshots) throws Exception {
        try (Stream<Path> files = Files.list(snapshots)) {
            Path newest = files.filter(f -> f.toString().endsWith(".snap")).sorted().reduce((a, b) -> b).orElseThrow();
            return SnapshotCodec.decode(Files.readAllBytes(newest)).engines().stream()
                    .collect(Collectors.toMap(each -> each.engine().id(), Remembered::last));
        }
    }

    @Test
    void withTheFeedDownForGoodItServesFromTheKeptListAndSoDoesItsNextStart() throws Exception {
        StandInRespEngine one = engine();
        ManagerProcess manager = manager(kept("e1", one));
        served(client(manager), 10);
        assertEquals(0, manager.end());
        assertEquals(Map.of("e1", State.ALIVE), last(snapshots(0)));
        manager.start();
        served(client(manager), 10);
        assertEquals(List.of(), feed.asked());
        assertTrue(manager.logged().contains("event=snapshot.restored engines=1"), manager.logged());
        assertEquals(0, manager.end());
    }

    /** The first number asked of a feed is 0 whatever was kept; what drained and ended meanwhile gets nothing after 1 s. */
    @Test
    void drainsAndEndsThatHappenedMeanwhileAreKeptOnceTheFeedIsBack() throws Exception {
        StandInRespEngine drained = engine();
        StandInRespEngine ended = engine();
        StandInRespEngine stays = engine();
        ToyClient client = client(manager(kept("e1", drained), kept("e2", ended), kept("e3", stays)));
        until(() -> {
            try {
                served(client, 1);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
            return !drained.received().isEmpty() && !ended.received().isEmpty() && !stays.received().isEmpty();
        });
        feed.tell(true, List.of(new StandInFeed.Host("e1", drained.address(), "terminating", 0),
                new StandInFeed.Host("e3", stays.address(), "in_service", 0)));
        feed.show();
        until(() -> !feed.asked().isEmpty());
        long toldAt = System.nanoTime() / 1_000;
        assertEquals("SUB 0", feed.asked().get(0));
        while (System.nanoTime() / 1_000 < toldAt + 2 * SECOND) {
            served(client, 1);
        }
        for (StandInRespEngine gone : List.of(drained, ended)) {
            long lastSent = gone.received().stream().mapToLong(StandInRespEngine.Received::at).max().orElse(0);
            assertTrue(lastSent <= toldAt + SECOND, "sent " + (lastSent - toldAt) + " us after it was told");
        }
        assertTrue(stays.received().stream().anyMatch(r -> r.at() > toldAt + SECOND));
    }

    @Test
    void whatWasDrainingWhenTheListWasKeptGetsNothing() throws Exception {
        StandInRespEngine leaving = engine();
        StandInRespEngine stays = engine();
        ToyClient client = client(manager(kept("e1", leaving.address(), State.LEAVING, YEAR), kept("e2", stays)));
        served(client, 20);
        assertEquals(List.of(), leaving.received());
    }

    @Test
    void addressesThatAreNoEnginesAreToldApartAndNothingIsSentThere() throws Exception {
        StandInRespEngine gone = engine();
        gone.close();
        StandInRespEngine silent = engine(Manner.SILENT, false);
        StandInRespEngine foreign = engine(Manner.FOREIGN, false);
        StandInRespEngine real = engine();
        ManagerProcess manager = manager(kept("gone", gone), kept("silent", silent), kept("foreign", foreign),
                kept("real", real));
        ToyClient client = client(manager);
        served(client, 30);
        assertEquals(30, real.received().size());
        until(() -> silent.connects() > 0 && foreign.connects() > 0);
        assertEquals(0, manager.end());
        assertEquals(Map.of("gone", State.ILL, "silent", State.ILL, "foreign", State.MISTAKEN, "real", State.ALIVE),
                last(snapshots(0)));
    }

    @Test
    void anAddressThatNowBelongsToANewEngineServesUnderItsNewName() throws Exception {
        StandInRespEngine next = engine(Manner.ENGINE, true);
        ManagerProcess manager = manager(kept("old", next));
        ToyClient client = client(manager);
        served(client, 5);
        feed.tell(true, List.of(new StandInFeed.Host("new", next.address(), "in_service", System.currentTimeMillis())));
        feed.show();
        until(() -> !feed.asked().isEmpty());
        served(client, 5);
        assertEquals(0, manager.end());
        assertEquals(Map.of("new", State.TOLD), last(snapshots(0)));
    }

    @Test
    void withEveryEntryStaleItServesAllTheSameOnceTheyHaveShownThemselves() throws Exception {
        StandInRespEngine one = engine();
        StandInRespEngine two = engine();
        ManagerProcess manager = manager(kept("e1", one.address(), State.TOLD, YEAR),
                kept("e2", two.address(), State.TOLD, 2 * YEAR));
        served(client(manager), 20);
    }

    @Test
    void withNothingToBeReachedRequestsAreRefusedAtOnce() throws Exception {
        StandInRespEngine gone = engine();
        gone.close();
        ToyClient client = client(manager(kept("e1", gone)));
        for (int i = 0; i < 5; i++) {
            ToyClient.Answer answer = ask(client, "report");
            assertEquals(0, answer.code());
            assertTrue(answer.micros() < 3_500_000, "kept back for " + answer.micros() + " us of 7 s");
        }
    }

    @Test
    void whatTheConfigurationKnowsBeatsTheDisk() throws Exception {
        StandInRespEngine onDisk = engine();
        StandInRespEngine known = engine();
        ManagerProcess manager = manager(0, 1, "{\"n\":3,\"events\":[{\"n\":3,\"members\":{\"seq\":3,\"whole\":true,\"hosts\":["
                + new StandInFeed.Host("e2", known.address(), "in_service", 0).json() + "]}}]}", kept("e1", onDisk));
        served(client(manager), 20);
        assertEquals(List.of(), onDisk.received());
        assertTrue(manager.logged().contains("event=snapshot.unused"), manager.logged());
        feed.tell(true, List.of());
        feed.show();
        until(() -> feed.asked().contains("SUB 3"));
    }

    @Test
    void aDamagedNewestListIsSkippedWithOneEventAndTheOlderOneServes() throws Exception {
        StandInRespEngine one = engine();
        Files.createDirectories(snapshots(0));
        Files.write(snapshots(0).resolve("list-0000000000000009.snap"), new byte[] {'C', 'A', 'I', 'R', 7});
        ManagerProcess manager = manager(kept("e1", one));
        served(client(manager), 5);
        assertEquals(1, manager.logged().lines().filter(line -> line.contains("event=snapshot.skipped")).count(),
                manager.logged());
    }

    /** The engine counts what it is sent in each window; all managers start in the same moment and know the same. */
    @Test
    void threeManagersTogetherDoNotPushOneColdEngineOver() throws Exception {
        StandInRespEngine cold = large(0, true);
        List<Mix> mixes = new ArrayList<>();
        for (int self = 0; self < 3; self++) {
            manager(self, 3, "{\"n\": 0, \"events\": []}", kept("e1", cold));
        }
        List<Thread> loads = new ArrayList<>();
        for (AutoCloseable each : opened) {
            if (each instanceof ManagerProcess manager) {
                Ready.await(manager.port(), LIMIT_S);
                Mix mix = new Mix(manager.port(), manager.port(), 1);
                mixes.add(mix);
                loads.add(new Thread(() -> {
                    try {
                        // Far more than the cold engine's 5 cores can do.
                        mix.send(500, 100);
                        mix.await(LIMIT_S);
                    } catch (IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                }));
            }
        }
        loads.forEach(Thread::start);
        for (Thread load : loads) {
            load.join();
        }
        assertTrue(cold.highest() > 0.3 && cold.highest() < SHAPE.tipMultiple(), "highest " + cold.highest());
        for (Mix mix : mixes) {
            mix.close();
        }
    }

    /** It dies under load and is back, cold, at its address; nobody tells. */
    @Test
    void anEngineThatReturnsColdUnnoticedByTheFeedIsSparedAnew() throws Exception {
        StandInRespEngine first = large(0, false);
        ManagerProcess manager = manager(kept("e1", first));
        Ready.await(manager.port(), LIMIT_S);
        Mix mix = new Mix(manager.port(), 5, 1);
        mix.send(50, 50);
        first.close();
        StandInRespEngine second = large(first.port(), true);
        mix.send(250, 50);
        mix.await(LIMIT_S);
        assertTrue(second.highest() > 0.3 && second.highest() < SHAPE.tipMultiple(), "highest " + second.highest());
        mix.close();
    }
}
