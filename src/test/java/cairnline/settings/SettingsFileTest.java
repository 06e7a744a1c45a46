package cairnline.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.settings.SettingsFile.Resolved;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Tests the settings language, the defaults of the schema and the reported problems. */
class SettingsFileTest {
    private static Resolved read(String text) {
        return SettingsFile.parse("f.cue", text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> problems(String text) {
        return assertThrows(SettingsException.class, () -> read(text)).problems().stream().map(Problem::toString).toList();
    }

    /** Unifies a text with this schema instead of the one that ships with the program. */
    private static Object unify(String schema, String text) {
        return SettingsFile.unify(Parser.parse("f.cue", text), Parser.parse("s.cue", schema)).asJson();
    }

    private static List<String> problems(String schema, String text) {
        return assertThrows(SettingsException.class, () -> unify(schema, text)).problems().stream().map(Problem::toString)
                .toList();
    }

    @Test
    void fillsInDefaultsOfTheSchema() {
        Resolved settings = read("discovery: snapshot: dir: \"kept\" // short for records in records");
        assertEquals("kept", settings.text("discovery.snapshot.dir"));
        assertEquals(4, settings.integer("discovery.snapshot.generations"));
        assertEquals(10_000_000, settings.microsOrBytes("discovery.snapshot.every"));
        assertEquals(16 << 20, settings.microsOrBytes("discovery.snapshot.maxBytes"));
        assertEquals(0.95, settings.number("discovery.trust.fresh"));
        assertEquals("text", settings.text("log.format"));
        assertEquals(SettingsFile.defaults().asJson().keySet(), settings.asJson().keySet());
    }

    @Test
    void readsJson() {
        Resolved odata = SettingsFile.read(Path.of("deploy/odata.json"));
        assertEquals("127.0.0.1:8080", odata.text("listen"));
        assertEquals("load", odata.text("sets.Books.write"));
        Resolved json = read("{\"discovery\": {\"snapshot\": {\"every\": \"2s\", \"maxBytes\": \"1KiB\"}}}");
        assertEquals(2_000_000, json.microsOrBytes("discovery.snapshot.every"));
        assertEquals(1_024, json.microsOrBytes("discovery.snapshot.maxBytes"));
    }

    @Test
    void reportsAllProblemsWithPositionKeyAndAllowedValues() {
        assertEquals(List.of(
                "f.cue:2:9: discovery.snapshot.every: found 2h; allowed: *10s | duration & >=100ms & <=1h",
                "f.cue:3:2: discovery.snapshot.generatons: unknown key; allowed: generations",
                "f.cue:5:14: log.format: found \"xml\"; allowed: *\"text\" | \"json\"",
                "f.cue:6:23: sets.Books.tables: found 1.5; allowed: int & >=-1"), problems("""
                discovery: snapshot: {
                 every: 2h
                 generatons: 3
                }
                log: format: "xml"
                sets: Books: {tables: 1.5}
                """));
    }

    @Test
    void reportsSyntaxErrorsWithPosition() {
        assertTrue(problems("discovery: {").get(0).startsWith("f.cue:1:13: "));
        assertEquals(List.of("f.cue:1:29: unknown identifier yes; allowed: true, false, null, _, bool, duration, int, number, "
                + "size, string, or a quoted string"), problems("discovery: snapshot: every: yes"));
        assertTrue(problems("log: queue: 5parsecs").get(0).startsWith("f.cue:1:13: 5parsecs; allowed: a number followed"));
        assertTrue(problems("log: {format: \"text\", format: \"json\"}").get(0).contains("defined twice"));
        assertTrue(problems("a: " + "[".repeat(100) + "]".repeat(100)).get(0).contains("nested deeper"));
        assertTrue(problems("log: queue: 1e999999999").get(0).contains("number out of range: 1e999999999"));
        assertEquals(1, assertThrows(SettingsException.class,
                () -> SettingsFile.parse("f", new byte[] {(byte) 0xC3})).problems().size());
    }

    @Test
    void checksTypesBoundsPatternsAndDisjunctions() {
        String schema = """
                #Port: int & >=1 & <=65535
                #Settings: {
                    port: #Port
                    name?: string & =~"^[a-z]+$" & !="root"
                    mode: "a" | "b" | *"c"
                    limit: *5 | int
                    ratio: number & >0 & <1
                    wait: duration & >=1s
                    room: size & <1MiB
                    on: bool
                    list: [...#Port]
                    pair: [int, string]
                    any: _
                    more: {[=~"^x"]: int}
                    open: {a: 1, ...}
                }""";
        String validText = """
                port: 80, mode: "b", ratio: 0.5, wait: 1500ms, room: 4KiB, on: true, list: [1, 2,], pair: [1, "z"]
                any: {deep: null}, more: {x1: 1}, open: {b: 2}""";
        assertEquals("{port=80, mode=b, ratio=0.5, wait=1500ms, room=4KiB, on=true, list=[1, 2], pair=[1, z], "
                + "any={deep=null}, more={x1=1}, open={b=2, a=1}, limit=5}", unify(schema, validText).toString());
        String[][] invalidChanges = {{"port: 80", "port: 0", "port"}, {"port: 80", "port: 1.5", "port"},
            {"\"b\"", "\"d\"", "mode"}, {"0.5", "1", "ratio"}, {"1500ms", "999ms", "wait"}, {"1500ms", "2KiB", "wait"},
            {"4KiB", "1MiB", "room"}, {"true", "\"true\"", "on"}, {"[1, 2,]", "[1, 70000]", "list[1]"},
            {"[1, \"z\"]", "[1]", "pair"}, {"x1: 1", "y: 1", "more.y"}, {"x1: 1", "x1: \"\"", "more.x1"},
            {"{b: 2}", "{a: 2}", "open.a"}, {"port: 80", "port: 80, name: \"root\"", "name"},
            {"port: 80", "port: 80, name: \"A\"", "name"}, {"port: 80", "", "port"}, {"port: 80", "port: {}", "port"},
            {"[1, 2,]", "5", "list"}};
        for (String[] change : invalidChanges) {
            List<String> problems = problems(schema, validText.replace(change[0], change[1]));
            assertTrue(problems.size() == 1 && problems.get(0).matches("(?s).*\\.cue:\\d+:\\d+: " + change[2].replace("[", "\\[")
                    .replace(".", "\\.") + ": .*"), change[1] + " gave " + problems);
        }
    }

    @Test
    void unifiesDefinitionsOfTheFile() {
        String schema = "#Settings: {a: {x: int, y: *1 | int}, b?: _}";
        assertEquals("{a={x=3, y=2}}", unify(schema, "#Base: {x: 3, ...}\na: #Base & {y: 2}").toString());
        assertEquals(List.of("f.cue:2:13: a.y: unknown key; allowed: x"), problems(schema, "#Base: {x: 3}\na: #Base & {y: 2}"),
                "a definition is closed");
        assertEquals(List.of("f.cue:1:4: a: #Gone is not defined"), problems(schema, "a: #Gone"));
        assertEquals(1, problems("#Settings: {a: #A}\n#A: #B\n#B: #A", "a: 1").size());
    }

    @Test
    void textFormReadsBackAsTheSameSettings() {
        Resolved settings = read("sets: Books: read: \"a\\\"b\\n\", discovery: trust: halfLife: 90m, engines: "
                + "[{id: \"e\", address: \"h:1\"}]");
        assertEquals(settings.asJson(), read(settings.toCue()).asJson());
    }

    @Provide
    Arbitrary<String> texts() {
        return Arbitraries.of("{", "}", "[", "]", ":", ",", "&", "|", "*", "...", ">=", "=~", "\"a\"", "\"", "\\", "1",
                "-2.5e3", "5s", "log", "format", "#A", "?", "//", "\n", "true", "(", ")", "\u0000", "é")
                .list().ofMaxSize(30).map(words -> String.join(" ", words));
    }

    /** Any text is either accepted or rejected with a list of problems; no other exception is thrown. */
    @Property(tries = 3_000)
    void readsAnyTextOrReportsProblems(@ForAll("texts") String text) {
        try {
            read(text);
        } catch (SettingsException e) {
            assertTrue(!e.problems().isEmpty());
        }
    }
}
