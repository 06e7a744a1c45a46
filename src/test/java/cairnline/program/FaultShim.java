package cairnline.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Builds the library that, preloaded into a workload manager, records what it writes to engines, makes system calls fail and
 * steps the wall clock.
 */
final class FaultShim {
    private static final Path SOURCE = Path.of("src/test/c/faults.c");
    private static final long FAULT_DELAY_MILLIS = 1_500;

    private FaultShim() { }

    /** Builds the library if it is missing or older than its source, and returns its path. */
    private static synchronized Path buildLibrary() throws IOException, InterruptedException {
        Path library = Path.of("target", "faults.so").toAbsolutePath();
        if (!Files.exists(library) || Files.getLastModifiedTime(library).compareTo(Files.getLastModifiedTime(SOURCE)) < 0) {
            int exitCode = new ProcessBuilder("gcc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", library.toString(),
                    SOURCE.toString(), "-ldl").inheritIO().start().waitFor();
            if (exitCode != 0) {
                throw new IOException("gcc exited with code " + exitCode);
            }
        }
        return library;
    }

    /**
     * Returns the words to put before a command so that its process records in {@code trafficFile} what it writes to engines;
     * see {@link RecordedTraffic}.
     */
    static List<String> recordingPrefix(Path trafficFile) throws IOException, InterruptedException {
        return List.of("env", "LD_PRELOAD=" + buildLibrary(), "TRAFFIC_FILE=" + trafficFile.toAbsolutePath());
    }

    /** Returns the words that, after those of {@link #recordingPrefix}, make the process run with the faults of this seed. */
    static List<String> faultVariables(long seed) {
        return List.of("FAULT_SEED=" + seed, "FAULT_AFTER_MS=" + FAULT_DELAY_MILLIS);
    }
}
