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
    private static final Map<String, Set<String>> MAY_USE = Map.ofEntries(
            Map.entry("control", Set.of()),
            Map.entry("protocol", Set.of()),
            Map.entry("logs", Set.of()),
            Map.entry("pools", Set.of()),
            Map.entry("settings", Set.of()),
            Map.entry("membership", Set.of("control")),
            Map.entry("store", Set.of("control", "logs", "membership")),
            Map.entry("routing", Set.of("control", "membership")),
            Map.entry("transport", Set.of("control", "logs", "membership", "pools", "protocol", "routing")),
            Map.entry("simhost", Set.of("control")),
            Map.entry("standin", Set.of("protocol")),
            Map.entry("program", Set.of("control", "logs", "membership", "pools", "protocol", "routing", "settings", "simhost", "standin",
                    "store", "transport")));

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
