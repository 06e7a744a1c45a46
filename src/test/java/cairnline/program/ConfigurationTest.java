package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigurationTest {
    private static String exampleJson() {
        try {
            return new String(ConfigurationTest.class.getResourceAsStream("/config.json").readAllBytes(),
                    StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Configuration parse(String json) {
        return Configuration.of(json.getBytes(StandardCharsets.UTF_8), null);
    }

    @Test
    void readsSettingsInTheFormOfTheSimulator() {
        Configuration configuration = parse(exampleJson());
        assertEquals(List.of("lookup", "report", "load", "once"),
                configuration.settings().requestClasses().stream().map(requestClass -> requestClass.name()).toList());
        assertEquals(List.of(1, 4, 2, 1),
                configuration.settings().requestClasses().stream().map(requestClass -> requestClass.threads()).toList());
        assertTrue(configuration.settings().requestClasses().get(0).waitsForTableLock());
        assertEquals(16, configuration.settings().machineTypes().get("std16").cores());
        assertEquals(250_000, configuration.limits().connections().connectTimeout());
        assertTrue(configuration.requestClasses().get("load").needsOrderingKey());
        assertFalse(configuration.requestClasses().get("lookup").needsIdempotencyKey());
    }

    /** The number of managers determines probe, sampling and capacity shares; without it a manager assumes it is alone. */
    @Test
    void requiresAtLeastOneManagerAndDefaultsToOne() {
        String groupSizeKey = "\"groupSize\": ";
        int valueStart = exampleJson().indexOf(groupSizeKey) + groupSizeKey.length();
        assertTrue(valueStart > groupSizeKey.length(), "the example contains the group size");
        String afterValue = exampleJson().substring(valueStart).replaceFirst("^\\d+", "");
        assertEquals(14, parse(exampleJson().substring(0, valueStart) + 14 + afterValue).settings().frontCount());
        assertEquals(1, parse(exampleJson().substring(0, valueStart) + 1 + afterValue).settings().frontCount());
        assertEquals(1, parse(exampleJson().replace(groupSizeKey, "\"other\": ")).settings().frontCount());
        ConfigurationException e = assertThrows(ConfigurationException.class,
                () -> parse(exampleJson().substring(0, valueStart) + 0 + afterValue));
        assertTrue(e.getMessage().startsWith("settings: "), e.getMessage());
        assertEquals(1_024, parse(exampleJson().substring(0, valueStart) + 1_024 + afterValue).settings().frontCount());
        assertThrows(ConfigurationException.class,
                () -> parse(exampleJson().substring(0, valueStart) + "\"many\"" + afterValue));
    }

    /** The platform rejects further processes, IPv6 sockets, and the listeners and files that a settings file enables. */
    @Test
    void deployFileRunsOneProcessOnIpv4WithoutSettingsFile() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        assertTrue(run.matches("run = \"exec java [^;&|]* -jar target/cairnline.jar serve\""), run);
        assertTrue(run.contains("-Djava.net.preferIPv4Stack=true"), run);
    }

    @Test
    void extendsTimeThatOrderingKeyStaysBlocked() {
        // 300 ms are configured; an attempt given up early counts as running until its client's deadline.
        assertEquals(400_000_000, parse(exampleJson()).settings().safetyRules().keyCooldown());
    }

    @Test
    void namesOffendingKeyInErrorMessage() {
        String[][] replacementsAndKeys = {{"\"127.0.0.1:0\"", "7", "listen"}, {"\"127.0.0.1:1\"", "\"nowhere\"", "feed"},
            {"\"8c1f30d27a5be964\"", "\"seed\"", "seed"}, {"\"sockets\": 1024", "\"sockets\": -1", "limits.sockets"},
            {"\"events\": []", "\"events\": 4", "known.events"}, {"\"semantics\": \"token\"", "\"semantics\": \"x\"",
                "settings"}, {"\"aimNs\": 1500000000", "\"aimNs\": \"soon\"", "settings"}};
        for (String[] replacement : replacementsAndKeys) {
            String json = exampleJson().replace(replacement[0], replacement[1]);
            ConfigurationException e = assertThrows(ConfigurationException.class, () -> parse(json), replacement[2]);
            assertEquals(replacement[2], e.getMessage().split(":")[0]);
            assertFalse(e.getMessage().contains("\n"));
        }
    }

    @Test
    void namesOffendingKeyOfODataFileInErrorMessage() {
        String validJson = "{\"listen\":\"127.0.0.1:0\",\"engines\":[{\"id\":\"e\",\"address\":\"127.0.0.1:1\"}],"
                + "\"sets\":{\"Books\":{\"read\":\"lookup\",\"write\":\"load\"}}}";
        assertEquals("Books", ODataConfiguration
                .parse(validJson.getBytes(StandardCharsets.UTF_8), parse(exampleJson()).settings())
                .model().sets().get("Books").name());
        String[][] replacementsAndKeys = {{"\"127.0.0.1:0\"", "\"x\"", "odata.listen"}, {"\"load\"", "\"lookup\"",
            "odata.sets.Books.write"}, {"\"lookup\"", "\"load\"", "odata.sets.Books.read"},
            {"\"127.0.0.1:1\"", "\"y\"", "odata.engines.address"}};
        for (String[] replacement : replacementsAndKeys) {
            byte[] json = validJson.replace(replacement[0], replacement[1]).getBytes(StandardCharsets.UTF_8);
            ConfigurationException e = assertThrows(ConfigurationException.class,
                    () -> ODataConfiguration.parse(json, parse(exampleJson()).settings()));
            assertEquals(replacement[2], e.getMessage().split(":")[0]);
        }
    }

    /** Plain serve does not read the schema, to start faster, so its defaults in the code must match the schema. */
    @Test
    void usesDefaultsOfSchemaWithoutSettingsFile(@TempDir Path folder) throws IOException {
        ServeSettings withoutFile = ServeSettings.read(null, false, parse(exampleJson()));
        ServeSettings emptyFile =
                ServeSettings.read(Files.writeString(folder.resolve("empty.cue"), ""), false, parse(exampleJson()));
        assertFalse(withoutFile.needsRestart(emptyFile), withoutFile + " is not " + emptyFile);
    }
}
