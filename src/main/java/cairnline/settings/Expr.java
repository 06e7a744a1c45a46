package cairnline.settings;

import java.math.BigDecimal;
import java.util.List;
import java.util.stream.Collectors;

/** A parsed expression of a settings file or the schema. {@link #toString} returns its source form. */
sealed interface Expr {
    SourcePosition position();

    /** A scalar: string, {@link BigDecimal}, {@link Quantity}, {@link Boolean} or null. */
    record Scalar(SourcePosition position, Object value) implements Expr {
        @Override
        public String toString() {
            return value instanceof String text ? quoted(text) : value instanceof Quantity quantity ? quantity.text()
                    : value instanceof BigDecimal number ? number.toPlainString() : String.valueOf(value);
        }
    }

    /** A built-in type. */
    record Type(SourcePosition position, Kind kind) implements Expr {
        /** The built-in types; {@link #ANY} is written as {@code _}. */
        enum Kind { STRING, INT, NUMBER, BOOL, NULL, DURATION, SIZE, ANY }

        @Override
        public String toString() {
            return kind == Kind.ANY ? "_" : kind.name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** A comparison with a limit, or a regular expression that a string must or must not match. */
    record Bound(SourcePosition position, String operator, Scalar limit) implements Expr {
        @Override
        public String toString() {
            return operator + limit;
        }
    }

    /** A reference to a definition, such as {@code #Name}. */
    record Reference(SourcePosition position, String name) implements Expr {
        @Override
        public String toString() {
            return name;
        }
    }

    /** A conjunction ({@code &}): a value must satisfy all parts. */
    record Conjunction(SourcePosition position, List<Expr> parts) implements Expr {
        @Override
        public String toString() {
            return parts.stream().map(Expr::toString).collect(Collectors.joining(" & "));
        }
    }

    /** A disjunction ({@code |}): a value must satisfy one of the options. A default applies if no value is given. */
    record Disjunction(SourcePosition position, List<Option> options) implements Expr {
        @Override
        public String toString() {
            return options.stream().map(Option::toString).collect(Collectors.joining(" | "));
        }
    }

    /** An option of a disjunction. */
    record Option(boolean isDefault, Expr expr) {
        @Override
        public String toString() {
            return (isDefault ? "*" : "") + expr;
        }
    }

    /** A list: the items in order, followed by any number of {@code rest} if that is not null. */
    record ListExpr(SourcePosition position, List<Expr> items, Expr rest) implements Expr {
        @Override
        public String toString() {
            return "[" + items.stream().map(Expr::toString).collect(Collectors.joining(", "))
                    + (rest == null ? "" : (items.isEmpty() ? "" : ", ") + "..." + rest) + "]";
        }
    }

    /** A record; {@code acceptsOtherFields} if it ends with {@code ...}. */
    record Struct(SourcePosition position, List<Field> fields, List<Pattern> patterns, boolean acceptsOtherFields)
            implements Expr {
        @Override
        public String toString() {
            return "{" + fields.stream().map(field -> field.name).collect(Collectors.joining(", ")) + "}";
        }
    }

    /** A field of a record; an optional field only constrains its value if it is present. */
    record Field(SourcePosition position, String name, boolean optional, Expr value) { }

    /** A constraint on the values of all fields whose names match. */
    record Pattern(Expr name, Expr value) { }

    /** Returns the text as a quoted JSON string. */
    static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\t", "\\t") + '"';
    }
}
