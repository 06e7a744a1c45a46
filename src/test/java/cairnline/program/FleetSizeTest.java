package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.standin.StandInFeed;
import cairnline.standin.StandInFleet;
import cairnline.standin.StandInClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The workload manager as a process with its production JVM flags, 256 descriptors and four times as many engines. */
class FleetSizeTest {
    private static final int ENGINE_COUNT = 1_024;
    private static final int KILLED_ENGINES = ENGINE_COUNT / 3;
    private static final int MAX_DESCRIPTORS = 256;
    /** Nine tenths of 128 MiB, the smallest memory limit that applies, less the pages that all processes share. */
    private static final long MAX_MEMORY_KIB = 128 * 1_024 * 9 / 10;
    private static final long TIMEOUT_SECONDS = 20;
    private static final int BATCH_REQUESTS = 30;
    private static final int MAX_BATCHES = 200;

    @TempDir
    Path folder;

    private final LinkedBlockingQueue<StandInClient.Answer> answers = new LinkedBlockingQueue<>();
    private int requestCount;

    @Test
    void serves1024EnginesWithin256Descriptors() throws Exception {
        try (StandInFleet fleet = new StandInFleet(ENGINE_COUNT); StandInFeed feed = new StandInFeed();
                ManagerProcess manager = new ManagerProcess(folder, 0, 120, feed.address(), null,
                        "{\"n\": 0, \"events\": []}", MAX_DESCRIPTORS)) {
            feed.publish(true, engineEntries(fleet, 0, ENGINE_COUNT, "in_service"));
            manager.start("sh", "-c", "ulimit -n " + MAX_DESCRIPTORS + "; exec \"$@\"", "sh");
            ReadinessCheck.await(manager.port(), TIMEOUT_SECONDS);
            try (StandInClient client = new StandInClient(manager.port(), answers::add)) {
                assertServes(client, 300);
                int threadsBefore = threadCount(manager);
                assertTrue(fleet.queriedEngineCount() > 32,
                        "one manager's queries reach " + fleet.queriedEngineCount() + " engines");

                fleet.kill(0, KILLED_ENGINES);
                sendBatch(client);
                feed.publish(false, engineEntries(fleet, 0, KILLED_ENGINES, "terminated"));
                awaitRecovery(client);
                fleet.restart(0, KILLED_ENGINES);
                feed.publish(true, engineEntries(fleet, 0, ENGINE_COUNT, "in_service"));
                assertServes(client, 150);
                fleet.resetNextQueries(20);
                sendBatch(client);
                awaitRecovery(client);

                assertTrue(fleet.connectionCount() < MAX_DESCRIPTORS, fleet.connectionCount() + " connections to engines");
                assertTrue(threadCount(manager) <= 2 * threadsBefore,
                        threadCount(manager) + " threads, after the first requests " + threadsBefore);
                long peakMemoryKib = statusKib(manager, "VmHWM");
                assertTrue(peakMemoryKib < MAX_MEMORY_KIB, peakMemoryKib + " KiB");
            }
            assertEquals(0, manager.stop(), manager.readLog());
            assertEquals("", manager.readLog().lines().filter(line -> line.contains("Exception") || line.contains("Error"))
                    .findFirst().orElse(""));
        }
    }

    @Test
    void startsWithTwoThousandListUpdatesInConfiguration() throws Exception {
        // Guards against a hang at startup: list updates from the configuration were submitted one by one to the mailbox of an
        // actor that was not running yet, so that a process with more than 256 of them never started.
        try (StandInFleet fleet = new StandInFleet(2); StandInFeed feed = new StandInFeed()) {
            StringJoiner events = new StringJoiner(",");
            for (int eventNumber = 1; eventNumber <= 2_000; eventNumber++) {
                String health = eventNumber % 2 == 0 ? "terminated" : "in_service";
                String engineEntry = new StandInFeed.EngineEntry("s-" + (eventNumber - 1) / 2, fleet.address(0), health, 0)
                        .json();
                events.add("{\"n\":" + eventNumber + ",\"members\":{\"seq\":" + eventNumber
                        + ",\"whole\":false,\"hosts\":[" + engineEntry + "]}}");
            }
            events.add("{\"n\":2001,\"members\":{\"seq\":2001,\"whole\":false,\"hosts\":["
                    + new StandInFeed.EngineEntry("s-last", fleet.address(1), "in_service", 0).json() + "]}}");
            try (ManagerProcess manager = new ManagerProcess(folder, 0, 120, feed.address(), null,
                    "{\"n\": 2001, \"events\": [" + events + "]}", MAX_DESCRIPTORS)) {
                manager.start();
                ReadinessCheck.await(manager.port(), TIMEOUT_SECONDS);
                try (StandInClient client = new StandInClient(manager.port(), answers::add)) {
                    assertServes(client, BATCH_REQUESTS);
                }
                assertEquals(1, fleet.queriedEngineCount(), "number of queried engines; only the last one listed is in service");
                assertEquals(0, manager.stop(), manager.readLog());
            }
        }
    }

    private static List<StandInFeed.EngineEntry> engineEntries(StandInFleet fleet, int from, int to, String health) {
        List<StandInFeed.EngineEntry> engineEntries = new ArrayList<>();
        for (int i = from; i < to; i++) {
            engineEntries.add(new StandInFeed.EngineEntry(String.format("s-%08x", i * 0x9E3779B1), fleet.address(i), health, 0));
        }
        return engineEntries;
    }

    /** Sends a batch with requests of each class, waits for all answers and returns how many requests were served. */
    private int sendBatch(StandInClient client) throws Exception {
        for (int i = 0; i < BATCH_REQUESTS; i++) {
            requestCount++;
            String requestClass = requestCount % 10 == 0 ? "load" : requestCount % 10 == 5 ? "report" : "lookup";
            client.send(requestClass, String.format("%016x", requestCount),
                    requestClass.equals("load") ? String.format("%016x", requestCount % 7) : null, 20_000, 20);
        }
        int servedCount = 0;
        for (int i = 0; i < BATCH_REQUESTS; i++) {
            StandInClient.Answer answer = answers.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(answer, i + " of " + BATCH_REQUESTS + " were answered");
            servedCount += answer.code() == 1 ? 1 : 0;
        }
        return servedCount;
    }

    /** Asserts that requests of each class are all served. */
    private void assertServes(StandInClient client, int requests) throws Exception {
        for (int done = 0; done < requests; done += BATCH_REQUESTS) {
            assertEquals(BATCH_REQUESTS, sendBatch(client), "served after " + done);
        }
    }

    /** Sends batches until one is served completely; fails after {@link #MAX_BATCHES}. */
    private void awaitRecovery(StandInClient client) throws Exception {
        int batches = 0;
        while (sendBatch(client) < BATCH_REQUESTS) {
            assertTrue(++batches < MAX_BATCHES, "none of " + batches + " batches was served completely");
        }
    }

    private static int threadCount(ManagerProcess manager) throws IOException {
        try (Stream<Path> tasks = Files.list(Path.of("/proc", Long.toString(manager.pid()), "task"))) {
            return (int) tasks.count();
        }
    }

    private static long statusKib(ManagerProcess manager, String name) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(manager.pid()), "status")).stream()
                .filter(line -> line.startsWith(name + ":")).mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst().orElseThrow();
    }
}
