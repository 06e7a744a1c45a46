package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs the fault soak with {@code soak.count} consecutive seeds from {@code soak.first} on. The logs of the workload managers
 * remain in {@code target/soak}.
 */
class FaultSoakTest {
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final long SEED_COUNT = Long.getLong("soak.count", 8);

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleIsBrokenUnderFaults(long seed) throws Exception {
        List<String> violations = new SoakRun(seed, Path.of("target", "soak", "seed-" + seed)).run();
        assertEquals("", String.join("\n", violations), "seed " + seed);
    }
}
