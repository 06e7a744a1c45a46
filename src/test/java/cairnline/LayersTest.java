package cairnline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each package uses only those below it. */
class LayersTest {
    private static final Pattern USE = Pattern.compile("\\bcairnline\\.([a-z]+)\\.[A-Z]");
    private static final Map<String, Set<String>> MAY_USE = Map.of(
            "control", Set.of(),
            "protocol", Set.of(),
            "logs", Set.of(),
            "settings", Set.of(),
            "membership", Set.of("control"),
            "store", Set.of("control", "logs", "membership"),
            "routing", Set.of("control", "membership"),
            "transport", Set.of("control", "membership", "protocol", "routing"),
            "simhost", Set.of("control"),
            "program", Set.of("control", "logs", "membership", "protocol", "routing", "settings", "simhost", "store",
                    "transport"));

    @Test
    void packagesUseOnlyThoseBelowThem() throws IOException {
        List<String> wrong = new ArrayList<>();
        int seen = 0;
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/cairnline"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String layer = file.getParent().getFileName().toString();
                Matcher use = USE.matcher(Files.readString(file));
                while (use.find()) {
                    seen++;
                    if (!use.group(1).equals(layer) && !MAY_USE.get(layer).contains(use.group(1))) {
                        wrong.add(file + " uses " + use.group(1));
                    }
                }
            }
        }
        assertEquals(List.of(), wrong);
        assertTrue(seen > 50, "too few uses were found to speak for the whole: " + seen);
    }
}
