package cairnline.settings;

import java.math.BigDecimal;
import java.util.List;
import java.util.stream.Collectors;

/** An expression as written, in a file or in the schema. {@link #toString} words it as it would be written. */
sealed interface Expr {
    SourcePosition place();

    /** A text, a number ({@link BigDecimal}), a {@link Quantity}, a {@link Boolean}, or null. */
    record Scalar(SourcePosition place, Object value) implements Expr {
        @Override
        public String toString() {
            return value instanceof String text ? quoted(text) : value instanceof Quantity q ? q.text()
                    : value instanceof BigDecimal number ? number.toPlainString() : String.valueOf(value);
        }
    }

    /** One of the types that the language knows. */
    record Type(SourcePosition place, Kind kind) implements Expr {
        /** The types. */
        enum Kind { STRING, INT, NUMBER, BOOL, NULL, DURATION, SIZE, ANY }

        @Override
        public String toString() {
            return kind == Kind.ANY ? "_" : kind.name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** A bound, or a regular expression that a text must, or must not, hold. */
    record Bound(SourcePosition place, String operator, Scalar limit) implements Expr {
        @Override
        public String toString() {
            return operator + limit;
        }
    }

    /** A definition's name. */
    record Reference(SourcePosition place, String name) implements Expr {
        @Override
        public String toString() {
            return name;
        }
    }

    /** All of these at once. */
    record Both(SourcePosition place, List<Expr> parts) implements Expr {
        @Override
        public String toString() {
            return parts.stream().map(Expr::toString).collect(Collectors.joining(" & "));
        }
    }

    /** One of these; a default is what holds where nothing else tells. */
    record Choice(SourcePosition place, List<Option> options) implements Expr {
        @Override
        public String toString() {
            return options.stream().map(Option::toString).collect(Collectors.joining(" | "));
        }
    }

    /** One option of a choice. */
    record Option(boolean isDefault, Expr expr) {
        @Override
        public String toString() {
            return (isDefault ? "*" : "") + expr;
        }
    }

    /** A list: items in their order, then any number of {@code rest}, if that is not null. */
    record Items(SourcePosition place, List<Expr> items, Expr rest) implements Expr {
        @Override
        public String toString() {
            return "[" + items.stream().map(Expr::toString).collect(Collectors.joining(", "))
                    + (rest == null ? "" : (items.isEmpty() ? "" : ", ") + "..." + rest) + "]";
        }
    }

    /** A record; {@code open} if it ends with dots. */
    record Struct(SourcePosition place, List<Field> fields, List<Pattern> patterns, boolean open) implements Expr {
        @Override
        public String toString() {
            return "{" + fields.stream().map(f -> f.name).collect(Collectors.joining(", ")) + "}";
        }
    }

    /** A field of a record. */
    record Field(SourcePosition place, String name, boolean optional, Expr value) { }

    /** What all fields must be whose names are so. */
    record Pattern(Expr name, Expr value) { }

    /** A text in quotes, as JSON writes it. */
    static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\t", "\\t") + '"';
    }
}
