package cairnline.program;

import cairnline.program.RecordedTraffic.WrittenAttempt;
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
 * One run of the fault soak, determined by its seed. Workload managers run as processes between misbehaving clients and
 * engines behind fault proxies; the control feed goes offline, and SIGHUP is sent in quick succession. Every third seed also
 * opens floods of idle connections; every second one makes system calls fail and steps the wall clock. At the end, the
 * records of clients and engines are checked against the rules of the service.
 */
final class SoakRun {
    private static final int ENGINE_COUNT = 4;
    private static final int MANAGER_COUNT = 2;
    private static final int CLIENTS_PER_MANAGER = 6;
    private static final int STEP_COUNT = 30;
    private static final int STEP_MILLIS = 100;
    private static final int CONNECTIONS_PER_FLOOD = 400;
    private static final int MAX_DESCRIPTORS = 256;
    private static final long READY_TIMEOUT_SECONDS = 30;
    private static final long EXIT_TIMEOUT_SECONDS = 20;
    private static final long EARLIEST_KILL_MILLIS = 3_700;
    /** How long after the announcement attempts may still arrive at a draining engine. */
    private static final long DRAIN_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_050);

    private final long seed;
    private final Random random;
    private final Path folder;
    private final List<RecordingEngine> engines = new ArrayList<>();
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final List<ManagerProcess> managers = new ArrayList<>();
    private final List<SoakClient> clients = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();
    private final List<Socket> idleConnections = new ArrayList<>();
    /** By draining engine: the {@link System#nanoTime} after which no attempt may arrive there. */
    private final Map<String, Long> drainDeadlines = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private StandInFeed feed;

    SoakRun(long seed, Path folder) {
        this.seed = seed;
        this.random = new Random(seed);
        this.folder = folder;
    }

    /** Performs the run and returns a line for each violated rule. */
    List<String> run() throws Exception {
        try {
            startAll();
            for (int step = 0; step < STEP_COUNT; step++) {
                injectFault(step);
                TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
            }
            terminateManagers();
            new SoakInvariants(engines, clients, drainDeadlines, !idleConnections.isEmpty(), readWrittenAttempts())
                    .check(violations);
        } finally {
            closeAll();
        }
        return violations;
    }

    private void startAll() throws Exception {
        for (int i = 0; i < MANAGER_COUNT; i++) {
            Files.deleteIfExists(folder.resolve("m" + i).resolve("log"));
        }
        feed = new StandInFeed();
        for (int i = 0; i < ENGINE_COUNT; i++) {
            engines.add(new RecordingEngine("s-" + i, seed * ENGINE_COUNT + i));
            proxies.add(new FaultProxy(engines.get(i).port()));
        }
        feed.publish(true, List.of(engineEntry(0, "in_service"), engineEntry(1, "in_service"),
                engineEntry(2, "in_service"), engineEntry(3, "in_service")));
        for (int i = 0; i < MANAGER_COUNT; i++) {
            ManagerProcess manager = new ManagerProcess(folder.resolve("m" + i), i, MANAGER_COUNT, feed.address(), null,
                    "{\"n\": 0, \"events\": []}", MAX_DESCRIPTORS);
            managers.add(manager);
            manager.start(commandPrefix(i));
        }
        for (ManagerProcess manager : managers) {
            ReadinessCheck.await(manager.port(), READY_TIMEOUT_SECONDS);
            for (int i = 0; i < CLIENTS_PER_MANAGER; i++) {
                SoakClient client = new SoakClient(random.nextLong(), manager.port(), clients.size());
                clients.add(client);
                Thread thread = new Thread(null, client, "soak client", 256 * 1_024);
                thread.setDaemon(true);
                clientThreads.add(thread);
                thread.start();
            }
        }
    }

    private String[] commandPrefix(int manager) throws IOException, InterruptedException {
        List<String> prefix = new ArrayList<>(FaultShim.recordingPrefix(trafficFile(manager)));
        if (seed % 2 == 0) {
            prefix.addAll(FaultShim.faultVariables(seed + manager));
        }
        return prefix.toArray(String[]::new);
    }

    private Path trafficFile(int manager) {
        return folder.resolve("m" + manager).resolve("traffic");
    }

    private List<WrittenAttempt> readWrittenAttempts() throws IOException {
        List<WrittenAttempt> attempts = new ArrayList<>();
        for (int i = 0; i < MANAGER_COUNT; i++) {
            attempts.addAll(RecordedTraffic.readAttempts(trafficFile(i)));
        }
        return attempts;
    }

    private StandInFeed.EngineEntry engineEntry(int engine, String health) {
        return new StandInFeed.EngineEntry("s-" + engine, proxies.get(engine).address(), health, 0);
    }

    private void injectFault(int step) throws Exception {
        int engine = random.nextInt(ENGINE_COUNT);
        int draw = random.nextInt(12);
        switch (draw) {
            case 0 -> proxies.get(engine).resetAll();
            case 1 -> engines.get(engine).setHanging(random.nextBoolean());
            case 2 -> toggleFeed();
            case 3 -> reloadTwice(managers.get(random.nextInt(MANAGER_COUNT)));
            case 4 -> drainFirstEngine();
            case 5 -> openIdleConnections(step);
            default -> {
                FaultProxy.Fault[] faults = FaultProxy.Fault.values();
                proxies.get(engine).setFault(random.nextBoolean()
                        ? FaultProxy.Fault.NONE : faults[random.nextInt(faults.length)]);
            }
        }
    }

    private boolean feedOffline;

    /** Takes the control feed offline, or online again. */
    private void toggleFeed() throws IOException {
        if (feedOffline) {
            feed.goOnline();
        } else {
            feed.goOffline();
        }
        feedOffline = !feedOffline;
    }

    /** Sends SIGHUP twice in succession, the first time possibly with a malformed configuration file. */
    private void reloadTwice(ManagerProcess manager) throws Exception {
        boolean malformed = random.nextBoolean();
        manager.reload(malformed);
        manager.reload(false);
    }

    /**
     * Announces once that engine 0 is draining; the engine keeps running. Only while the feed is online, since otherwise the
     * managers would not receive the announcement in time.
     */
    private void drainFirstEngine() {
        if (!feedOffline && drainDeadlines.isEmpty()) {
            feed.publish(false, List.of(engineEntry(0, "terminating")));
            drainDeadlines.put("s-0", System.nanoTime() + DRAIN_GRACE_NANOS);
        }
    }

    /** Floods a manager with connections that send nothing or a single byte. */
    private void openIdleConnections(int step) throws IOException {
        if (seed % 3 != 0 || step < 3) {
            return;
        }
        ManagerProcess manager = managers.get(random.nextInt(MANAGER_COUNT));
        for (int i = 0; i < CONNECTIONS_PER_FLOOD; i++) {
            Socket connection = new Socket(InetAddress.getByName("127.0.0.1"), manager.port());
            idleConnections.add(connection);
            if (random.nextBoolean()) {
                connection.getOutputStream().write(0);
            }
        }
    }

    /**
     * Sends SIGTERM to each manager, to some a second one and a SIGHUP, and SIGKILL at the earliest time that the rules of the
     * service allow. An exit code of 137 means that the SIGKILL took effect.
     */
    private void terminateManagers() throws Exception {
        for (ManagerProcess manager : managers) {
            checkDescriptorCount(manager);
        }
        for (ManagerProcess manager : managers) {
            manager.terminate();
            if (random.nextBoolean()) {
                manager.terminate();
                manager.reload(random.nextBoolean());
            }
            manager.killAfter(EARLIEST_KILL_MILLIS);
        }
        clients.forEach(SoakClient::stop);
        for (ManagerProcess manager : managers) {
            int exitCode = manager.awaitExit(EXIT_TIMEOUT_SECONDS);
            if (exitCode != 0 && exitCode != 137) {
                violations.add("a workload manager exited with code " + exitCode + ": " + manager.readLog());
            }
        }
        for (Thread thread : clientThreads) {
            thread.join(TimeUnit.SECONDS.toMillis(EXIT_TIMEOUT_SECONDS));
        }
    }

    private void checkDescriptorCount(ManagerProcess manager) throws IOException {
        try (var descriptors = Files.list(Path.of("/proc", Long.toString(manager.pid()), "fd"))) {
            long count = descriptors.count();
            if (count > MAX_DESCRIPTORS) {
                violations.add(count + " open descriptors, limit " + MAX_DESCRIPTORS);
            }
        }
    }

    private void closeAll() throws IOException {
        managers.forEach(ManagerProcess::close);
        for (SoakClient client : clients) {
            client.stop();
            for (FrameClient connection : client.connections()) {
                connection.close();
            }
        }
        for (Socket connection : idleConnections) {
            connection.close();
        }
        for (FaultProxy proxy : proxies) {
            proxy.close();
        }
        for (RecordingEngine engine : engines) {
            engine.close();
        }
        if (!feedOffline) {
            feed.close();
        }
    }
}
