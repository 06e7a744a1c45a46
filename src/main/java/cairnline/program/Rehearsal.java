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

/** Sends the requests of a recording at the times recorded, and reports what became of them. */
final class Rehearsal {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int NAMED = 10;
    private static final int MOST_BODY = 16 << 20;

    private final RehearsalOptions options;
    private final PrintStream out;
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final List<String> bad = new ArrayList<>();
    private final List<String> brokenRules = new ArrayList<>();
    private final ThreadLocal<BlockingHttpClient> callers;
    private final List<BlockingHttpClient> opened = new ArrayList<>();
    private final LongSupplier millis;
    private long badCount;
    private long writesLeftOut;
    private long heldBack;

    /** What became of the requests of one class. */
    private static final class Tally {
        long asked;
        long served;
        long refused;
        long failed;
        long late;
        long broken;
    }

    Rehearsal(RehearsalOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
        this.millis = () -> System.nanoTime() / NANOS_PER_MILLI;
        this.callers = ThreadLocal.withInitial(() -> {
            BlockingHttpClient caller = new BlockingHttpClient(options.to(), (int) options.patience(), MOST_BODY);
            synchronized (opened) {
                opened.add(caller);
            }
            return caller;
        });
    }

    /** Plays the recording to its end or its bounds, and prints the report. */
    void run() throws IOException, InterruptedException {
        ExecutorService workers = Executors.newFixedThreadPool(options.connections());
        Semaphore free = new Semaphore(options.connections());
        try (Recording recording = open()) {
            send(recording, workers, free);
        } finally {
            workers.shutdown();
            workers.awaitTermination(2 * options.patience(), TimeUnit.MILLISECONDS);
            opened.forEach(BlockingHttpClient::close);
        }
        report();
    }

    private Recording open() throws IOException {
        if (options.har() != null) {
            try {
                return new HarFile(new BufferedInputStream(Files.newInputStream(options.har())));
            } catch (ProtocolException e) {
                throw new ConfigurationException("--har", options.har() + ": " + e.getMessage());
            } catch (IOException e) {
                throw new ConfigurationException("--har", "can't read " + e.getMessage());
            }
        }
        try {
            return new AccessLog(Files.newBufferedReader(options.accessLog(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new ConfigurationException("--access-log", "can't read " + e.getMessage());
        }
    }

    private void send(Recording recording, ExecutorService workers, Semaphore free)
            throws IOException, InterruptedException {
        long start = millis.getAsLong();
        long end = start + options.duration();
        long first = Long.MIN_VALUE;
        long sent = 0;
        while (sent < options.most()) {
            RecordedRequest recorded = next(recording);
            if (recorded == null) {
                return;
            }
            if (recorded.isWrite() && !options.writes()) {
                writesLeftOut++;
                continue;
            }
            first = first == Long.MIN_VALUE ? recorded.timestampMillis() : first;
            long due = start + (long) (Math.max(0, recorded.timestampMillis() - first) / options.speed());
            if (due > end) {
                return;
            }
            pause(due);
            if (!free.tryAcquire()) {
                heldBack++;
                free.acquire();
            }
            sent++;
            workers.execute(() -> {
                try {
                    ask(recorded);
                } finally {
                    free.release();
                }
            });
        }
    }

    /** The next request that can be used; what can't is counted, and the first few are named. */
    private RecordedRequest next(Recording recording) throws IOException {
        while (true) {
            try {
                return recording.next();
            } catch (ProtocolException e) {
                badCount++;
                if (bad.size() < NAMED) {
                    bad.add(recording.position() + ": " + e.getMessage());
                }
            } catch (MalformedInputException e) {
                throw new ConfigurationException("--access-log", recording.position() + " and on: not UTF-8 text");
            } catch (IOException e) {
                throw new ConfigurationException(options.har() != null ? "--har" : "--access-log",
                        "after " + recording.position() + ": " + e.getMessage());
            }
        }
    }

    private void pause(long due) throws InterruptedException {
        for (long left = due - millis.getAsLong(); left > 0; left = due - millis.getAsLong()) {
            Thread.sleep(left);
        }
    }

    private void ask(RecordedRequest recorded) {
        String target = recorded.request().target();
        HttpMessage request = !options.root().isEmpty() && target.startsWith(options.root())
                ? HttpMessage.request(recorded.request().method(), rooted(target), recorded.request().headers(),
                        recorded.request().body())
                : recorded.request();
        long start = millis.getAsLong();
        HttpMessage answer = null;
        String broken = null;
        try {
            answer = callers.get().call(request);
        } catch (IOException | ProtocolException e) {
            broken = "no one whole answer: " + e.getMessage();
        }
        long took = millis.getAsLong() - start;
        if (answer != null && answer.status() == 503 && answer.header("retry-after").isEmpty()) {
            broken = "refused without Retry-After";
        } else if (answer != null && took > options.patience()) {
            broken = "answered after " + took + " ms";
        }
        count(request, answer, took, broken);
    }

    private String rooted(String target) {
        String rest = target.substring(options.root().length());
        return rest.startsWith("/") ? rest : "/" + rest;
    }

    private synchronized void count(HttpMessage request, HttpMessage answer, long took, String broken) {
        Tally tally = tallies.computeIfAbsent(type(request), name -> new Tally());
        tally.asked++;
        if (answer != null && answer.status() == 503) {
            tally.refused++;
        } else if (answer == null || answer.status() >= 400) {
            tally.failed++;
        } else {
            tally.served++;
            tally.late += took > options.wanted() ? 1 : 0;
        }
        if (broken != null) {
            tally.broken++;
            if (brokenRules.size() < NAMED) {
                brokenRules.add(request.method() + " " + request.target() + ": " + broken);
            }
        }
    }

    /** The class that the daemon's OData file gives to a request; without that file, whether it reads or writes. */
    private String type(HttpMessage request) {
        boolean read = request.method().equals("GET");
        String path = request.target().substring(1).split("[(/?]", 2)[0];
        Map<String, Object> set = options.sets().getOrDefault(path, Map.of());
        String member = !read ? "write" : request.target().contains("$apply=") && set.containsKey("aggregate")
                ? "aggregate" : "read";
        return String.valueOf(set.getOrDefault(member, read ? "read" : "write"));
    }

    private void report() {
        out.printf("%-12s %8s %8s %8s %8s %8s %8s%n", "class", "asked", "served", "refused", "failed", "late", "broken");
        tallies.forEach((name, t) -> out.printf("%-12s %8d %8d %8d %8d %8d %8d%n", name, t.asked, t.served, t.refused,
                t.failed, t.late, t.broken));
        if (writesLeftOut > 0) {
            out.println(writesLeftOut + " writes left out; --writes sends them");
        }
        if (heldBack > 0) {
            out.println(heldBack + " sent later than recorded: all connections were in use");
        }
        if (badCount > 0) {
            out.println(badCount + " of the recording could not be used:");
            bad.forEach(each -> out.println("  " + each));
        }
        brokenRules.forEach(each -> out.println("rule broken: " + each));
    }
}
