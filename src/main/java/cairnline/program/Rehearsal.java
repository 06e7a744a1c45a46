package cairnline.program;

import cairnline.protocol.AccessLog;
import cairnline.protocol.HarFile;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ProtocolException;
import cairnline.protocol.RecordedRequest;
import cairnline.protocol.Recording;
import cairnline.transport.BlockingHttpClient;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Replays the requests of a recording with their recorded timing and reports their outcomes by class. */
final class Rehearsal {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_REPORTED_PROBLEMS = 10;
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final RehearsalOptions options;
    private final PrintStream out;
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final List<String> unusableEntries = new ArrayList<>();
    private final List<String> ruleViolations = new ArrayList<>();
    private final ThreadLocal<BlockingHttpClient> httpClients;
    private final List<BlockingHttpClient> createdClients = new ArrayList<>();
    private final LongSupplier clockMillis;
    private long unusableCount;
    private long skippedWrites;
    private long delayedRequests;

    /** Outcome counts of one class. */
    private static final class Tally {
        long requested;
        long served;
        long refused;
        long failed;
        long late;
        long ruleViolations;
    }

    Rehearsal(RehearsalOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
        this.clockMillis = () -> System.nanoTime() / NANOS_PER_MILLI;
        this.httpClients = ThreadLocal.withInitial(() -> {
            BlockingHttpClient client = new BlockingHttpClient(options.target(), (int) options.timeoutMillis(), MAX_BODY_BYTES);
            synchronized (createdClients) {
                createdClients.add(client);
            }
            return client;
        });
    }

    /** Replays the recording until it ends or a limit of the options is reached, and prints the report. */
    void run() throws IOException, InterruptedException {
        ExecutorService workers = Executors.newFixedThreadPool(options.connections());
        Semaphore freeConnections = new Semaphore(options.connections());
        try (Recording recording = openRecording()) {
            replay(recording, workers, freeConnections);
        } finally {
            workers.shutdown();
            workers.awaitTermination(2 * options.timeoutMillis(), TimeUnit.MILLISECONDS);
            createdClients.forEach(BlockingHttpClient::close);
        }
        printReport();
    }

    private Recording openRecording() throws IOException {
        if (options.har() != null) {
            try {
                return new HarFile(new BufferedInputStream(Files.newInputStream(options.har())));
            } catch (ProtocolException e) {
                throw new ConfigurationException("--har", options.har() + ": " + e.getMessage());
            } catch (IOException e) {
                throw new ConfigurationException("--har", "cannot read " + e.getMessage());
            }
        }
        try {
            return new AccessLog(Files.newBufferedReader(options.accessLog(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new ConfigurationException("--access-log", "cannot read " + e.getMessage());
        }
    }

    private void replay(Recording recording, ExecutorService workers, Semaphore freeConnections)
            throws IOException, InterruptedException {
        long start = clockMillis.getAsLong();
        long end = start + options.durationMillis();
        long firstRecordedAt = Long.MIN_VALUE;
        long sent = 0;
        while (sent < options.maxRequests()) {
            RecordedRequest recorded = nextUsable(recording);
            if (recorded == null) {
                return;
            }
            if (recorded.isWrite() && !options.sendWrites()) {
                skippedWrites++;
                continue;
            }
            firstRecordedAt = firstRecordedAt == Long.MIN_VALUE ? recorded.timestampMillis() : firstRecordedAt;
            long sendAt = start + (long) (Math.max(0, recorded.timestampMillis() - firstRecordedAt) / options.speed());
            if (sendAt > end) {
                return;
            }
            sleepUntil(sendAt);
            if (!freeConnections.tryAcquire()) {
                delayedRequests++;
                freeConnections.acquire();
            }
            sent++;
            workers.execute(() -> {
                try {
                    send(recorded);
                } finally {
                    freeConnections.release();
                }
            });
        }
    }

    /** Returns the next usable request; counts unusable entries and keeps the first few for the report. */
    private RecordedRequest nextUsable(Recording recording) throws IOException {
        while (true) {
            try {
                return recording.next();
            } catch (ProtocolException e) {
                unusableCount++;
                if (unusableEntries.size() < MAX_REPORTED_PROBLEMS) {
                    unusableEntries.add(recording.position() + ": " + e.getMessage());
                }
            } catch (MalformedInputException e) {
                throw new ConfigurationException("--access-log", recording.position() + " or later: invalid UTF-8");
            } catch (IOException e) {
                throw new ConfigurationException(options.har() != null ? "--har" : "--access-log",
                        "after " + recording.position() + ": " + e.getMessage());
            }
        }
    }

    private void sleepUntil(long wakeAtMillis) throws InterruptedException {
        for (long remaining = wakeAtMillis - clockMillis.getAsLong(); remaining > 0;
                remaining = wakeAtMillis - clockMillis.getAsLong()) {
            Thread.sleep(remaining);
        }
    }

    private void send(RecordedRequest recorded) {
        String target = recorded.request().target();
        HttpMessage request = !options.stripPrefix().isEmpty() && target.startsWith(options.stripPrefix())
                ? HttpMessage.request(recorded.request().method(), withoutPrefix(target), recorded.request().headers(),
                        recorded.request().body())
                : recorded.request();
        long start = clockMillis.getAsLong();
        HttpMessage answer = null;
        String violation = null;
        try {
            answer = httpClients.get().call(request);
        } catch (IOException | ProtocolException e) {
            violation = "not exactly one complete answer: " + e.getMessage();
        }
        long latencyMillis = clockMillis.getAsLong() - start;
        if (answer != null && answer.status() == 503 && answer.header("retry-after").isEmpty()) {
            violation = "refused without Retry-After";
        } else if (answer != null && latencyMillis > options.timeoutMillis()) {
            violation = "answered after " + latencyMillis + " ms";
        }
        countOutcome(request, answer, latencyMillis, violation);
    }

    private String withoutPrefix(String target) {
        String path = target.substring(options.stripPrefix().length());
        return path.startsWith("/") ? path : "/" + path;
    }

    private synchronized void countOutcome(HttpMessage request, HttpMessage answer, long latencyMillis, String violation) {
        Tally tally = tallies.computeIfAbsent(requestClass(request), name -> new Tally());
        tally.requested++;
        if (answer != null && answer.status() == 503) {
            tally.refused++;
        } else if (answer == null || answer.status() >= 400) {
            tally.failed++;
        } else {
            tally.served++;
            tally.late += latencyMillis > options.latencyTargetMillis() ? 1 : 0;
        }
        if (violation != null) {
            tally.ruleViolations++;
            if (ruleViolations.size() < MAX_REPORTED_PROBLEMS) {
                ruleViolations.add(request.method() + " " + request.target() + ": " + violation);
            }
        }
    }

    /** Returns the class that the daemon's OData file gives the request; "read" or "write" without that file. */
    private String requestClass(HttpMessage request) {
        boolean read = request.method().equals("GET");
        String path = request.target().substring(1).split("[(/?]", 2)[0];
        Map<String, Object> set = options.entitySets().getOrDefault(path, Map.of());
        String member = !read ? "write" : request.target().contains("$apply=") && set.containsKey("aggregate")
                ? "aggregate" : "read";
        return String.valueOf(set.getOrDefault(member, read ? "read" : "write"));
    }

    private void printReport() {
        out.printf("%-12s %8s %8s %8s %8s %8s %8s%n", "class", "asked", "served", "refused", "failed", "late", "broken");
        tallies.forEach((name, t) -> out.printf("%-12s %8d %8d %8d %8d %8d %8d%n", name, t.requested, t.served,
                t.refused, t.failed, t.late, t.ruleViolations));
        if (skippedWrites > 0) {
            out.println(skippedWrites + " writes left out; --writes sends them");
        }
        if (delayedRequests > 0) {
            out.println(delayedRequests + " sent later than recorded: all connections were in use");
        }
        if (unusableCount > 0) {
            out.println(unusableCount + " of the recording could not be used:");
            unusableEntries.forEach(entry -> out.println("  " + entry));
        }
        ruleViolations.forEach(violation -> out.println("rule broken: " + violation));
    }
}
