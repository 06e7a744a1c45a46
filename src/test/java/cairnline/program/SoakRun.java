package cairnline.program;

import cairnline.standin.StandInFeed;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * One seed of the fault soak: workload managers as processes, engines behind fault proxies, clients that misbehave, a feed
 * that is lost, signals in series, on every third seed a crowd, and on every second one system calls that fail and a wall
 * clock that is stepped. Gives the rules that the records of both sides break.
 */
final class SoakRun {
    private static final int ENGINES = 4;
    private static final int MANAGERS = 2;
    private static final int CLIENTS = 6;
    private static final int STEPS = 30;
    private static final int STEP_MS = 100;
    private static final int CROWD = 400;
    private static final int SOCKETS = 256;
    private static final long READY_S = 30;
    private static final long EXIT_S = 20;
    private static final long EARLIEST_KILL_MS = 3_700;
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_050);

    private final long seed;
    private final Random random;
    private final Path folder;
    private final List<RecordingEngine> engines = new ArrayList<>();
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final List<ManagerProcess> managers = new ArrayList<>();
    private final List<SoakClient> clients = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final List<Socket> crowd = new ArrayList<>();
    private final Map<String, Long> drainedAt = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final StallMonitor monitor = new StallMonitor();
    private StandInFeed feed;

    SoakRun(long seed, Path folder) {
        this.seed = seed;
        this.random = new Random(seed);
        this.folder = folder;
    }

    /** Plays the seed; gives what was broken. */
    List<String> play() throws Exception {
        try {
            start();
            for (int step = 0; step < STEPS; step++) {
                disturb(step);
                TimeUnit.MILLISECONDS.sleep(STEP_MS);
            }
            terminate();
            new SoakInvariants(engines, clients, drainedAt, !crowd.isEmpty(), monitor).check(broken);
        } finally {
            end();
        }
        return broken;
    }

    private void start() throws Exception {
        for (int i = 0; i < MANAGERS; i++) {
            Files.deleteIfExists(folder.resolve("m" + i).resolve("log"));
        }
        feed = new StandInFeed();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new RecordingEngine("s-" + i, seed * ENGINES + i));
            proxies.add(new FaultProxy(engines.get(i).port()));
        }
        feed.publish(true, List.of(host(0, "in_service"), host(1, "in_service"), host(2, "in_service"), host(3, "in_service")));
        for (int i = 0; i < MANAGERS; i++) {
            ManagerProcess manager = new ManagerProcess(folder.resolve("m" + i), i, MANAGERS, feed.address(), null,
                    "{\"n\": 0, \"events\": []}", SOCKETS);
            managers.add(manager);
            manager.start(seed % 2 == 0 ? FaultShim.prefix(seed + i) : new String[0]);
        }
        for (ManagerProcess manager : managers) {
            ReadinessCheck.await(manager.port(), READY_S);
            for (int i = 0; i < CLIENTS; i++) {
                SoakClient client = new SoakClient(random.nextLong(), manager.port(), clients.size());
                clients.add(client);
                Thread thread = new Thread(null, client, "soak client", 256 * 1_024);
                thread.setDaemon(true);
                threads.add(thread);
                thread.start();
            }
        }
    }

    private StandInFeed.EngineEntry host(int engine, String health) {
        return new StandInFeed.EngineEntry("s-" + engine, proxies.get(engine).address(), health, 0);
    }

    private void disturb(int step) throws Exception {
        int engine = random.nextInt(ENGINES);
        int draw = random.nextInt(12);
        switch (draw) {
            case 0 -> proxies.get(engine).resetAll();
            case 1 -> engines.get(engine).hang(random.nextBoolean());
            case 2 -> hideOrShow();
            case 3 -> signal(managers.get(random.nextInt(MANAGERS)));
            case 4 -> drainOne();
            case 5 -> crowd(step);
            default -> {
                FaultProxy.Fault[] faults = FaultProxy.Fault.values();
                proxies.get(engine).set(random.nextBoolean() ? FaultProxy.Fault.NONE : faults[random.nextInt(faults.length)]);
            }
        }
    }

    private boolean hidden;

    private void hideOrShow() throws IOException {
        if (hidden) {
            feed.goOnline();
        } else {
            feed.goOffline();
        }
        hidden = !hidden;
    }

    private void signal(ManagerProcess manager) throws Exception {
        boolean spoilt = random.nextBoolean();
        manager.reload(spoilt);
        manager.reload(false);
    }

    /** Engine 0 drains, once, and stays up; it counts as told while the feed can be reached. */
    private void drainOne() {
        if (!hidden && drainedAt.isEmpty()) {
            feed.publish(false, List.of(host(0, "terminating")));
            drainedAt.put("s-0", System.nanoTime() + DRAIN_NANOS);
        }
    }

    private void crowd(int step) throws IOException {
        if (seed % 3 != 0 || step < 3) {
            return;
        }
        ManagerProcess manager = managers.get(random.nextInt(MANAGERS));
        for (int i = 0; i < CROWD; i++) {
            Socket idle = new Socket(InetAddress.getByName("127.0.0.1"), manager.port());
            crowd.add(idle);
            if (random.nextBoolean()) {
                idle.getOutputStream().write(0);
            }
        }
    }

    /** Each is told to end, some twice and with another configuration beside it, and is killed as early as may be. */
    private void terminate() throws Exception {
        for (ManagerProcess manager : managers) {
            checkDescriptors(manager);
        }
        for (ManagerProcess manager : managers) {
            manager.terminate();
            if (random.nextBoolean()) {
                manager.terminate();
                manager.reload(random.nextBoolean());
            }
            manager.killAfter(EARLIEST_KILL_MS);
        }
        clients.forEach(SoakClient::stop);
        for (ManagerProcess manager : managers) {
            int code = manager.awaitExit(EXIT_S);
            if (code != 0 && code != 137) {
                broken.add("a workload manager ended with " + code + ": " + manager.readLog());
            }
        }
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(EXIT_S));
        }
    }

    private void checkDescriptors(ManagerProcess manager) throws IOException {
        try (var open = Files.list(Path.of("/proc", Long.toString(manager.pid()), "fd"))) {
            long count = open.count();
            if (count > SOCKETS) {
                broken.add(count + " descriptors of " + SOCKETS);
            }
        }
    }

    private void end() throws IOException {
        monitor.close();
        managers.forEach(ManagerProcess::close);
        for (SoakClient client : clients) {
            client.stop();
            for (FrameClient connection : client.connections()) {
                connection.close();
            }
        }
        for (Socket each : crowd) {
            each.close();
        }
        for (FaultProxy proxy : proxies) {
            proxy.close();
        }
        for (RecordingEngine engine : engines) {
            engine.close();
        }
        if (!hidden) {
            feed.close();
        }
    }
}
