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

/** Far more connections than there is room for, beside a client that goes on asking. */
class ConnectionFloodTest {
    private static final long LIMIT_S = 20;
    private static final int SOCKETS = 256;
    private static final int CROWD = 600;
    private static final int ROUNDS = 20;
    /** What serving may have opened to four engines meanwhile. */
    private static final int ENGINE_CONNECTIONS = 4 * 8;

    @TempDir
    Path folder;

    @Test
    void aCrowdTakesNoThreadsAndNoMoreDescriptorsThanTold() throws Exception {
        try (StandInFleet fleet = new StandInFleet(4); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = new ManagerProcess(folder, 0, 1, feed.address(), null,
                        "{\"n\": 0, \"events\": []}", SOCKETS)) {
            feed.publish(true, hosts(fleet));
            manager.start();
            ReadinessCheck.await(manager.port(), LIMIT_S);
            try (FrameClient client = new FrameClient(manager.port())) {
                serve(client);
                long threads = threads(manager);
                long descriptors = descriptors(manager);
                List<Socket> crowd = new ArrayList<>();
                for (int i = 0; i < CROWD; i++) {
                    crowd.add(new Socket(InetAddress.getByName("127.0.0.1"), manager.port()));
                    if (i % (CROWD / ROUNDS) == 0) {
                        serve(client);
                        assertTrue(descriptors(manager) <= SOCKETS, descriptors(manager) + " descriptors");
                        assertTrue(threads(manager) <= threads, () -> "more threads than the " + threads + " before the crowd");
                    }
                }
                for (Socket each : crowd) {
                    each.close();
                }
                serve(client);
                awaitDescriptors(manager, descriptors + ENGINE_CONNECTIONS);
            }
            assertEquals(0, manager.stop(), manager.readLog());
        }
    }

    private static List<StandInFeed.EngineEntry> hosts(StandInFleet fleet) {
        List<StandInFeed.EngineEntry> hosts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            hosts.add(new StandInFeed.EngineEntry("s-" + i, fleet.address(i), "in_service", 0));
        }
        return hosts;
    }

    private static void serve(FrameClient client) throws Exception {
        List<FrameClient.Call> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            calls.add(client.ask("lookup", null, 7_000));
        }
        for (FrameClient.Call call : calls) {
            assertEquals(ClientFrames.CODE_SERVED, call.code.get(LIMIT_S, TimeUnit.SECONDS));
        }
    }

    /** Returns once descriptors are back at so many; the crowd holds far more. */
    private static void awaitDescriptors(ManagerProcess manager, long most) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (descriptors(manager) > most) {
            assertTrue(System.nanoTime() < end, () -> "descriptors stay above " + most);
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** Threads but for those that the virtual machine starts and ends as it compiles. */
    private static long threads(ManagerProcess manager) throws IOException {
        return names(manager).stream().filter(name -> !name.contains("Compiler")).count();
    }

    private static List<String> names(ManagerProcess manager) throws IOException {
        List<String> names = new ArrayList<>();
        try (var tasks = Files.list(Path.of("/proc", Long.toString(manager.pid()), "task"))) {
            for (Path task : tasks.toList()) {
                try {
                    names.add(Files.readString(task.resolve("comm")).strip());
                } catch (IOException e) {
                    // This thread has ended meanwhile.
                }
            }
        }
        return names;
    }

    private static long descriptors(ManagerProcess manager) throws IOException {
        try (var entries = Files.list(Path.of("/proc", Long.toString(manager.pid()), "fd"))) {
            return entries.count();
        }
    }
}
