package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.protocol.ClientFrames;
import cairnline.standin.StandInFeed;
import cairnline.standin.StandInFleet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A client is served while far more connections are opened than the descriptor limit allows. */
class ConnectionFloodTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final int MAX_DESCRIPTORS = 256;
    private static final int FLOOD_CONNECTIONS = 600;
    private static final int CHECK_COUNT = 20;
    /** The number of connections that may have been opened to the four engines meanwhile. */
    private static final int MAX_ENGINE_CONNECTIONS = 4 * 8;

    @TempDir
    Path folder;

    @Test
    void connectionFloodAddsNoThreadsAndStaysWithinDescriptorLimit() throws Exception {
        try (StandInFleet fleet = new StandInFleet(4); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = new ManagerProcess(folder, 0, 1, feed.address(), null,
                        "{\"n\": 0, \"events\": []}", MAX_DESCRIPTORS)) {
            feed.publish(true, engineEntries(fleet));
            manager.start();
            ReadinessCheck.await(manager.port(), TIMEOUT_SECONDS);
            try (FrameClient client = new FrameClient(manager.port())) {
                assertServes(client);
                long threadsBefore = threadCount(manager);
                long descriptorsBefore = descriptorCount(manager);
                List<Socket> idleConnections = new ArrayList<>();
                for (int i = 0; i < FLOOD_CONNECTIONS; i++) {
                    idleConnections.add(new Socket(InetAddress.getByName("127.0.0.1"), manager.port()));
                    if (i % (FLOOD_CONNECTIONS / CHECK_COUNT) == 0) {
                        assertServes(client);
                        assertTrue(descriptorCount(manager) <= MAX_DESCRIPTORS, descriptorCount(manager) + " open descriptors");
                        assertTrue(threadCount(manager) <= threadsBefore,
                                () -> "more threads than the " + threadsBefore + " before the flood");
                    }
                }
                for (Socket connection : idleConnections) {
                    connection.close();
                }
                assertServes(client);
                awaitDescriptorCount(manager, descriptorsBefore + MAX_ENGINE_CONNECTIONS);
            }
            assertEquals(0, manager.stop(), manager.readLog());
        }
    }

    private static List<StandInFeed.EngineEntry> engineEntries(StandInFleet fleet) {
        List<StandInFeed.EngineEntry> engineEntries = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            engineEntries.add(new StandInFeed.EngineEntry("s-" + i, fleet.address(i), "in_service", 0));
        }
        return engineEntries;
    }

    private static void assertServes(FrameClient client) throws Exception {
        List<FrameClient.Call> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            calls.add(client.send("lookup", null, 7_000));
        }
        for (FrameClient.Call call : calls) {
            assertEquals(ClientFrames.CODE_SERVED, call.code.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Waits until at most {@code maxDescriptors} descriptors are open; during the flood there are far more. */
    private static void awaitDescriptorCount(ManagerProcess manager, long maxDescriptors) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (descriptorCount(manager) > maxDescriptors) {
            assertTrue(System.nanoTime() < deadline, () -> "open descriptors remain above " + maxDescriptors);
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** Returns the number of threads without compiler threads, which the virtual machine starts and stops as needed. */
    private static long threadCount(ManagerProcess manager) throws IOException {
        return threadNames(manager).stream().filter(name -> !name.contains("Compiler")).count();
    }

    private static List<String> threadNames(ManagerProcess manager) throws IOException {
        List<String> threadNames = new ArrayList<>();
        try (var tasks = Files.list(Path.of("/proc", Long.toString(manager.pid()), "task"))) {
            for (Path task : tasks.toList()) {
                try {
                    threadNames.add(Files.readString(task.resolve("comm")).strip());
                } catch (IOException e) {
                    // The thread has terminated meanwhile.
                }
            }
        }
        return threadNames;
    }

    private static long descriptorCount(ManagerProcess manager) throws IOException {
        try (var entries = Files.list(Path.of("/proc", Long.toString(manager.pid()), "fd"))) {
            return entries.count();
        }
    }
}
