package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.protocol.ClientFrames;
import cairnline.standin.StandInFeed;
import cairnline.standin.StandInFleet;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against answered requests that hold heap for as long as the process runs. Takes two minutes, so it is run by hand:
 * {@code mvn test -Dtest=LoadHeapTest -DargLine=-Dheap.seconds=120}. {@link MemoryTest} has a short test of the same fault.
 */
@EnabledIfSystemProperty(named = "heap.seconds", matches = "[0-9]+")
class LoadHeapTest {
    private static final int LOADS_PER_SECOND = 20;
    private static final int STATEMENT_BYTES = 250_000;
    private static final int SETTLING_SECONDS = 20;
    private static final int SECONDS_BETWEEN_SAMPLES = 5;
    private static final double MAX_GROWTH_BYTES_PER_MINUTE = 1_000_000;
    private static final long TIMEOUT_SECONDS = 30;
    private static final int TIMEOUT_MILLIS = 30_000;

    @TempDir
    Path folder;

    private record Sample(double seconds, long liveBytes) { }

    @Test
    @Timeout(value = 10, unit = TimeUnit.MINUTES)
    void keepsTheLiveHeapFlatUnderLargeLoads() throws Exception {
        int seconds = Integer.getInteger("heap.seconds");
        try (StandInFleet fleet = new StandInFleet(1); StandInFeed feed = new StandInFeed()) {
            feed.publish(true, List.of(new StandInFeed.EngineEntry("s-1", fleet.address(0), "in_service", 0)));
            ManagerProcess manager = new ManagerProcess(folder, 0, 1, feed.address(), null);
            try (manager) {
                manager.start();
                ReadinessCheck.await(manager.port(), TIMEOUT_SECONDS);
                List<Sample> samples = sendLoads(manager, seconds);
                samples.forEach(sample -> System.out.println("live heap " + sample));
                double growth = bytesPerMinute(samples);
                System.out.println(String.format(Locale.ROOT, "live heap grows by %.0f bytes a minute", growth));
                assertTrue(growth <= MAX_GROWTH_BYTES_PER_MINUTE, growth + " bytes a minute");
                assertEquals(0, manager.stop(), manager.readLog());
            }
        }
    }

    /** Sends loads at a constant rate and returns the live heap after collections, from the settling time on. */
    private static List<Sample> sendLoads(ManagerProcess manager, int seconds) throws Exception {
        List<Sample> samples = new ArrayList<>();
        int served = 0;
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), manager.port())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            DataInputStream answers = new DataInputStream(socket.getInputStream());
            long start = System.nanoTime();
            for (int i = 1; i <= seconds * LOADS_PER_SECOND; i++) {
                sleepUntil(start + TimeUnit.SECONDS.toNanos(1) * i / LOADS_PER_SECOND);
                socket.getOutputStream().write(load(i));
                byte[] answer = new byte[answers.readInt()];
                answers.readFully(answer);
                served += answer[5] == ClientFrames.CODE_SERVED ? 1 : 0;
                int second = i / LOADS_PER_SECOND;
                if (i % (SECONDS_BETWEEN_SAMPLES * LOADS_PER_SECOND) == 0 && second >= SETTLING_SECONDS) {
                    samples.add(new Sample((System.nanoTime() - start) / 1e9, liveHeapBytes(manager.pid())));
                }
            }
        }
        System.out.println(served + " of " + seconds * LOADS_PER_SECOND + " loads served");
        return samples;
    }

    private static byte[] load(int number) {
        byte[] statement = new byte[STATEMENT_BYTES];
        Arrays.fill(statement, (byte) 'x');
        Map<String, String> fields = Map.of("op", "load", "ttl", "25000", "call", String.format("%016x", number), "work", "1.0",
                "dedupe", String.format("%032x", number), "row", String.format("%016x", number));
        return ClientFrames.request(number, fields, statement);
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }

    /** Returns the bytes of all live objects, which the tool counts after a full collection. */
    private static long liveHeapBytes(long pid) throws IOException, InterruptedException {
        Process tool = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                Long.toString(pid), "GC.class_histogram").redirectErrorStream(true).start();
        String output = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        tool.waitFor();
        String total = output.lines().filter(line -> line.startsWith("Total")).findFirst().orElseThrow(() ->
                new IOException("no histogram: " + output));
        return Long.parseLong(total.trim().split("\\s+")[2]);
    }

    /** Returns the slope of the line of least squares. */
    private static double bytesPerMinute(List<Sample> samples) {
        double meanSeconds = samples.stream().mapToDouble(Sample::seconds).average().orElseThrow();
        double meanBytes = samples.stream().mapToLong(Sample::liveBytes).average().orElseThrow();
        double covariance = samples.stream()
                .mapToDouble(sample -> (sample.seconds() - meanSeconds) * (sample.liveBytes() - meanBytes)).sum();
        double variance = samples.stream().mapToDouble(sample -> Math.pow(sample.seconds() - meanSeconds, 2)).sum();
        return covariance / variance * TimeUnit.MINUTES.toSeconds(1);
    }
}
