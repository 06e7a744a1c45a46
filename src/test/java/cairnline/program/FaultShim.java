package cairnline.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The preloaded library by which system calls of a workload manager fail and its wall clock is stepped. */
final class FaultShim {
    private static final Path SOURCE = Path.of("src/test/c/faults.c");
    private static final long AFTER_MS = 1_500;

    private FaultShim() { }

    /** Builds the library; gives where it is. */
    private static synchronized Path library() throws IOException, InterruptedException {
        Path library = Path.of("target", "faults.so").toAbsolutePath();
        if (!Files.exists(library) || Files.getLastModifiedTime(library).compareTo(Files.getLastModifiedTime(SOURCE)) < 0) {
            int code = new ProcessBuilder("gcc", "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", library.toString(),
                    SOURCE.toString(), "-ldl").inheritIO().start().waitFor();
            if (code != 0) {
                throw new IOException("gcc ended with " + code);
            }
        }
        return library;
    }

    /** What stands before a command so that its process runs with the faults of this seed. */
    static String[] prefix(long seed) throws IOException, InterruptedException {
        return new String[] {"env", "LD_PRELOAD=" + library(), "FAULT_SEED=" + seed, "FAULT_AFTER_MS=" + AFTER_MS};
    }
}
