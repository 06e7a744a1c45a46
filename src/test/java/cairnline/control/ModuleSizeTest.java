package cairnline.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The decision module stays short enough to be read at night. */
class ModuleSizeTest {
    private static final int LINES = 910;
    private static final int WIDTH = 110;

    @Test
    void theModuleKeepsItsLimits() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/cairnline/control/Control.java"));
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled <= LINES, "lines: " + filled);
        for (String line : lines) {
            assertTrue(line.length() <= WIDTH, "too wide: " + line);
        }
    }
}
