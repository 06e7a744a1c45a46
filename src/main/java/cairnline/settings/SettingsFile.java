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

/** A settings file, unified with the schema that the program ships. */
public final class SettingsFile {
    private static final String SCHEMA = "schema.cue";
    private static final String ROOT = "#Settings";
    private static final int MOST = 4 << 20;

    private SettingsFile() { }

    /** Reads a file; throws with all its faults. */
    public static Resolved read(Path file) {
        try {
            if (Files.size(file) > MOST) {
                throw unreadable(file, "it is longer than " + MOST + " bytes");
            }
            return of(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            throw unreadable(file, "it can't be read: " + e);
        }
    }

    private static SettingsException unreadable(Path file, String why) {
        return new SettingsException(List.of(new Problem(new SourcePosition(file.toString(), 1, 1), "", why, "")));
    }

    /** Reads a text; the name is for messages. */
    public static Resolved of(String name, byte[] text) {
        String decoded;
        try {
            decoded = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text)).toString();
        } catch (CharacterCodingException e) {
            throw new SettingsException(List.of(new Problem(new SourcePosition(name, 1, 1), "", "it is not UTF-8", "")));
        }
        return unify(Parser.parse(name, decoded), schema());
    }

    /** What holds where no file is given. */
    public static Resolved defaults() {
        return of("defaults", new byte[0]);
    }

    /** Unifies a file with a schema; definitions that the file brings itself may be used in it too. */
    static Resolved unify(Struct file, Struct schema) {
        Map<String, Expr> definitions = new LinkedHashMap<>();
        schema.fields().forEach(f -> definitions.put(f.name(), f.value()));
        List<Expr.Field> plain = new ArrayList<>();
        for (Expr.Field f : file.fields()) {
            if (f.name().startsWith("#")) {
                definitions.putIfAbsent(f.name(), f.value());
            } else {
                plain.add(f);
            }
        }
        Struct values = new Struct(file.place(), plain, file.patterns(), file.open());
        Object root = new Unifier(definitions).unify(List.of(values, new Reference(file.place(), ROOT)));
        @SuppressWarnings("unchecked")
        Map<String, Object> record = (Map<String, Object>) root;
        return new Resolved(record);
    }

    private static Struct schema() {
        try (InputStream in = SettingsFile.class.getResourceAsStream(SCHEMA)) {
            return Parser.parse(SCHEMA, new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A record of settings, checked and complete; a key that the schema does not ask for may be missing. */
    public static final class Resolved {
        private final Map<String, Object> record;

        Resolved(Map<String, Object> record) {
            this.record = record;
        }

        /** The value at a path such as {@code log.format}; null if it is not set. */
        private Object at(String path) {
            Object value = record;
            for (String name : path.split("\\.")) {
                value = value instanceof Map<?, ?> map ? map.get(name) : null;
            }
            return value;
        }

        /** Whether something is set there. */
        public boolean has(String path) {
            return at(path) != null;
        }

        /** A text. */
        public String text(String path) {
            return (String) at(path);
        }

        /** A number. */
        public double number(String path) {
            return ((BigDecimal) at(path)).doubleValue();
        }

        /** A whole number. */
        public int whole(String path) {
            return ((BigDecimal) at(path)).intValueExact();
        }

        /** A time in microseconds, or a size in bytes. */
        public long amount(String path) {
            return ((Quantity) at(path)).amount();
        }

        /** All of it as JSON knows it: times and sizes as texts. */
        public Map<String, Object> asJson() {
            @SuppressWarnings("unchecked")
            Map<String, Object> json = (Map<String, Object>) json(record);
            return json;
        }

        private static Object json(Object value) {
            if (value instanceof Map<?, ?> map) {
                Map<String, Object> json = new LinkedHashMap<>();
                map.forEach((name, each) -> json.put(name.toString(), json(each)));
                return json;
            } else if (value instanceof List<?> list) {
                return list.stream().map(Resolved::json).toList();
            }
            return value instanceof Quantity q ? q.text() : value;
        }

        /** All of it in the settings language, a field a line, with defaults filled in. */
        public String show() {
            StringBuilder out = new StringBuilder();
            record.forEach((name, value) -> show(out, "", name, value));
            return out.toString();
        }

        private static void show(StringBuilder out, String indent, String name, Object value) {
            String label = name.matches("[a-zA-Z_][a-zA-Z0-9_]*") ? name : Expr.quoted(name);
            if (value instanceof Map<?, ?> map) {
                out.append(indent).append(label).append(": {\n");
                map.forEach((inner, each) -> show(out, indent + "\t", inner.toString(), each));
                out.append(indent).append("}\n");
            } else {
                out.append(indent).append(label).append(": ").append(word(value)).append('\n');
            }
        }

        private static String word(Object value) {
            if (value instanceof Map<?, ?> map) {
                StringBuilder inner = new StringBuilder("{");
                map.forEach((name, each) -> inner.append(inner.length() > 1 ? ", " : "")
                        .append(Expr.quoted(name.toString())).append(": ").append(word(each)));
                return inner.append('}').toString();
            } else if (value instanceof List<?> list) {
                return list.stream().map(Resolved::word).toList().toString();
            }
            return new Expr.Scalar(null, value).toString();
        }
    }
}
