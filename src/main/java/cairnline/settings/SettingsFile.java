package cairnline.settings;

import cairnline.settings.Expr.Reference;
import cairnline.settings.Expr.Struct;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads settings files and unifies them with the schema that ships with the program. */
public final class SettingsFile {
    private static final String SCHEMA_RESOURCE = "schema.cue";
    private static final String ROOT_DEFINITION = "#Settings";
    private static final int MAX_FILE_BYTES = 4 << 20;

    private SettingsFile() { }

    /** Reads a file; throws {@link SettingsException} with all problems found. */
    public static Resolved read(Path file) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw unreadable(file, "the file is longer than " + MAX_FILE_BYTES + " bytes");
            }
            return parse(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            throw unreadable(file, "the file can't be read: " + e);
        }
    }

    private static SettingsException unreadable(Path file, String problem) {
        return new SettingsException(List.of(new Problem(new SourcePosition(file.toString(), 1, 1), "", problem, "")));
    }

    /** Parses a settings text; the name appears in messages. Throws {@link SettingsException} with all problems found. */
    public static Resolved parse(String name, byte[] text) {
        String decoded;
        try {
            decoded = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text)).toString();
        } catch (CharacterCodingException e) {
            throw new SettingsException(
                    List.of(new Problem(new SourcePosition(name, 1, 1), "", "the file is not valid UTF-8", "")));
        }
        return unify(Parser.parse(name, decoded), schema());
    }

    /** Returns the defaults of the schema. */
    public static Resolved defaults() {
        return parse("defaults", new byte[0]);
    }

    /** Unifies a file with a schema. A file may add definitions; one with the name of a schema definition is ignored. */
    static Resolved unify(Struct file, Struct schema) {
        Map<String, Expr> definitions = new LinkedHashMap<>();
        schema.fields().forEach(field -> definitions.put(field.name(), field.value()));
        List<Expr.Field> fields = new ArrayList<>();
        for (Expr.Field field : file.fields()) {
            if (field.name().startsWith("#")) {
                definitions.putIfAbsent(field.name(), field.value());
            } else {
                fields.add(field);
            }
        }
        Struct values = new Struct(file.position(), fields, file.patterns(), file.acceptsOtherFields());
        Object root = new Unifier(definitions).unify(List.of(values, new Reference(file.position(), ROOT_DEFINITION)));
        @SuppressWarnings("unchecked")
        Map<String, Object> record = (Map<String, Object>) root;
        return new Resolved(record);
    }

    private static Struct schema() {
        try (InputStream in = SettingsFile.class.getResourceAsStream(SCHEMA_RESOURCE)) {
            return Parser.parse(SCHEMA_RESOURCE, new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Validated settings with all defaults filled in; optional settings may be absent. */
    public static final class Resolved {
        private final Map<String, Object> record;

        Resolved(Map<String, Object> record) {
            this.record = record;
        }

        /** Returns the value at a path such as {@code log.format}, or null if it is not set. */
        private Object valueAt(String path) {
            Object value = record;
            for (String name : path.split("\\.")) {
                value = value instanceof Map<?, ?> map ? map.get(name) : null;
            }
            return value;
        }

        /** Returns whether the setting has a value. */
        public boolean has(String path) {
            return valueAt(path) != null;
        }

        /** Returns a string setting, or null if it is not set. */
        public String text(String path) {
            return (String) valueAt(path);
        }

        /** Returns a number setting, which must be set. */
        public double number(String path) {
            return ((BigDecimal) valueAt(path)).doubleValue();
        }

        /** Returns an integer setting, which must be set. */
        public int integer(String path) {
            return ((BigDecimal) valueAt(path)).intValueExact();
        }

        /** Returns a duration in microseconds or a size in bytes; the setting must be set. */
        public long microsOrBytes(String path) {
            return ((Quantity) valueAt(path)).amount();
        }

        /** Returns all settings as JSON values, with durations and sizes as strings. */
        public Map<String, Object> asJson() {
            @SuppressWarnings("unchecked")
            Map<String, Object> json = (Map<String, Object>) toJson(record);
            return json;
        }

        private static Object toJson(Object value) {
            if (value instanceof Map<?, ?> map) {
                Map<String, Object> json = new LinkedHashMap<>();
                map.forEach((name, element) -> json.put(name.toString(), toJson(element)));
                return json;
            } else if (value instanceof List<?> list) {
                return list.stream().map(Resolved::toJson).toList();
            }
            return value instanceof Quantity quantity ? quantity.text() : value;
        }

        /** Returns all settings, including defaults, in the settings language, one field per line. */
        public String toCue() {
            StringBuilder out = new StringBuilder();
            record.forEach((name, value) -> appendField(out, "", name, value));
            return out.toString();
        }

        private static void appendField(StringBuilder out, String indent, String name, Object value) {
            String label = name.matches("[a-zA-Z_][a-zA-Z0-9_]*") ? name : Expr.quoted(name);
            if (value instanceof Map<?, ?> map) {
                out.append(indent).append(label).append(": {\n");
                map.forEach((inner, element) -> appendField(out, indent + "\t", inner.toString(), element));
                out.append(indent).append("}\n");
            } else {
                out.append(indent).append(label).append(": ").append(inlineText(value)).append('\n');
            }
        }

        private static String inlineText(Object value) {
            if (value instanceof Map<?, ?> map) {
                StringBuilder inner = new StringBuilder("{");
                map.forEach((name, element) -> inner.append(inner.length() > 1 ? ", " : "")
                        .append(Expr.quoted(name.toString())).append(": ").append(inlineText(element)));
                return inner.append('}').toString();
            } else if (value instanceof List<?> list) {
                return list.stream().map(Resolved::inlineText).toList().toString();
            }
            return new Expr.Scalar(null, value).toString();
        }
    }
}
