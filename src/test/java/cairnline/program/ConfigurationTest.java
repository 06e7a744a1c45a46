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
    private static String text() {
        try {
            return new String(ConfigurationTest.class.getResourceAsStream("/config.json").readAllBytes(),
                    StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Configuration read(String json) {
        return Configuration.of(json.getBytes(StandardCharsets.UTF_8), null);
    }

    @Test
    void settingsAreReadAsTheSimulatorTellsThem() {
        Configuration configuration = read(text());
        assertEquals(List.of("lookup", "report", "load", "once"),
                configuration.settings().requestClasses().stream().map(type -> type.name()).toList());
        assertEquals(List.of(1, 4, 2, 1), configuration.settings().requestClasses().stream().map(type -> type.threads()).toList());
        assertTrue(configuration.settings().requestClasses().get(0).waitsForTableLock());
        assertEquals(16, configuration.settings().machineTypes().get("std16").cores());
        assertEquals(250_000, configuration.limits().connections().connect());
        assertTrue(configuration.classes().get("load").ordered());
        assertFalse(configuration.classes().get("lookup").keyed());
    }

    /** How many managers there are decides probes, samples and shares: one that is not told counts as alone. */
    @Test
    void theNumberOfManagersIsAtLeastOne() {
        String told = "\"groupSize\": ";
        int at = text().indexOf(told) + told.length();
        assertTrue(at > told.length(), "the configuration tells it");
        String rest = text().substring(at).replaceFirst("^\\d+", "");
        assertEquals(14, read(text().substring(0, at) + 14 + rest).settings().frontCount());
        assertEquals(1, read(text().substring(0, at) + 1 + rest).settings().frontCount());
        assertEquals(1, read(text().replace(told, "\"other\": ")).settings().frontCount());
        ConfigurationException e = assertThrows(ConfigurationException.class,
                () -> read(text().substring(0, at) + 0 + rest));
        assertTrue(e.getMessage().startsWith("settings: "), e.getMessage());
        assertEquals(1_024, read(text().substring(0, at) + 1_024 + rest).settings().frontCount());
        assertThrows(ConfigurationException.class, () -> read(text().substring(0, at) + "\"many\"" + rest));
    }

    /** What the platform refuses: other processes, IPv6 sockets, fronts and disks that a settings file would turn on. */
    @Test
    void theDeployFilesRunIsOneProcessOnIpv4WithoutSettings() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        assertTrue(run.matches("run = \"exec java [^;&|]* -jar target/cairnline.jar serve\""), run);
        assertTrue(run.contains("-Djava.net.preferIPv4Stack=true"), run);
    }

    @Test
    void aKeyRestsLongerThanTheSettingsSay() {
        // 300 ms are told; an attempt given up early counts as out until its client's time is up.
        assertEquals(400_000_000, read(text()).settings().safetyRules().keyCooldown());
    }

    @Test
    void theFaultyKeyIsNamed() {
        String[][] faults = {{"\"127.0.0.1:0\"", "7", "listen"}, {"\"127.0.0.1:1\"", "\"nowhere\"", "feed"},
            {"\"8c1f30d27a5be964\"", "\"seed\"", "seed"}, {"\"sockets\": 1024", "\"sockets\": -1", "limits.sockets"},
            {"\"events\": []", "\"events\": 4", "known.events"}, {"\"semantics\": \"token\"", "\"semantics\": \"x\"",
                "settings"}, {"\"aimNs\": 1500000000", "\"aimNs\": \"soon\"", "settings"}};
        for (String[] fault : faults) {
            String json = text().replace(fault[0], fault[1]);
            ConfigurationException e = assertThrows(ConfigurationException.class, () -> read(json), fault[2]);
            assertEquals(fault[2], e.getMessage().split(":")[0]);
            assertFalse(e.getMessage().contains("\n"));
        }
    }

    @Test
    void aFaultInTheODataFileIsNamedToo() {
        String good = "{\"listen\":\"127.0.0.1:0\",\"engines\":[{\"id\":\"e\",\"address\":\"127.0.0.1:1\"}],"
                + "\"sets\":{\"Books\":{\"read\":\"lookup\",\"write\":\"load\"}}}";
        assertEquals("Books", ODataConfiguration.of(good.getBytes(StandardCharsets.UTF_8), read(text()).settings())
                .model().sets().get("Books").name());
        String[][] faults = {{"\"127.0.0.1:0\"", "\"x\"", "odata.listen"}, {"\"load\"", "\"lookup\"",
            "odata.sets.Books.write"}, {"\"lookup\"", "\"load\"", "odata.sets.Books.read"},
            {"\"127.0.0.1:1\"", "\"y\"", "odata.engines.address"}};
        for (String[] fault : faults) {
            byte[] json = good.replace(fault[0], fault[1]).getBytes(StandardCharsets.UTF_8);
            ConfigurationException e = assertThrows(ConfigurationException.class,
                    () -> ODataConfiguration.of(json, read(text()).settings()));
            assertEquals(fault[2], e.getMessage().split(":")[0]);
        }
    }

    /** Plain serve reads no schema, for its start's sake: what it uses instead must be what the schema says. */
    @Test
    void withoutASettingsFileTheDefaultsAreThoseOfTheSchema(@TempDir Path folder) throws IOException {
        ServeSettings none = ServeSettings.read(null, false, read(text()));
        ServeSettings empty = ServeSettings.read(Files.writeString(folder.resolve("empty.cue"), ""), false, read(text()));
        assertFalse(none.needsRestart(empty), none + " is not " + empty);
    }
}
