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

/** Checks the layering: each package may depend only on the packages listed for it. */
class LayersTest {
    private static final Pattern PACKAGE_REFERENCE = Pattern.compile("\\bcairnline\\.([a-z]+)\\.[A-Z]");
    private static final Map<String, Set<String>> ALLOWED_DEPENDENCIES = Map.ofEntries(
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
            Map.entry("program", Set.of("control", "logs", "membership", "pools", "protocol", "routing", "settings", "simhost",
                    "standin", "store", "transport")));

    @Test
    void packagesDependOnlyOnLowerLayers() throws IOException {
        List<String> violations = new ArrayList<>();
        int references = 0;
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/cairnline"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String ownPackage = file.getParent().getFileName().toString();
                Matcher reference = PACKAGE_REFERENCE.matcher(Files.readString(file));
                while (reference.find()) {
                    references++;
                    if (!reference.group(1).equals(ownPackage)
                            && !ALLOWED_DEPENDENCIES.get(ownPackage).contains(reference.group(1))) {
                        violations.add(file + " uses " + reference.group(1));
                    }
                }
            }
        }
        assertEquals(List.of(), violations);
        assertTrue(references > 50, "too few references found, the pattern no longer matches: " + references);
    }
}
