package cairnline.settings;

import cairnline.settings.Expr.Field;
import cairnline.settings.Expr.Option;
import cairnline.settings.Expr.Pattern;
import cairnline.settings.Expr.Struct;
import cairnline.settings.Expr.Type.Kind;
import cairnline.settings.grammar.CueLexer;
import cairnline.settings.grammar.CueParser;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Parses the settings language into expressions. */
final class Parser {
    /** Limits the recursion of the parser and of the code that processes its result. */
    private static final int MAX_NESTING_DEPTH = 64;
    private static final Map<String, Kind> TYPES_BY_NAME = Map.of("string", Kind.STRING, "int", Kind.INT, "number", Kind.NUMBER,
            "bool", Kind.BOOL, "duration", Kind.DURATION, "size", Kind.SIZE, "_", Kind.ANY);
    private static final Map<Character, Character> ESCAPES = Map.of('"', '"', '\\', '\\', '/', '/', 'b', '\b', 'f',
            '\f', 'n', '\n', 'r', '\r', 't', '\t');

    private final String file;
    private final List<Problem> problems = new ArrayList<>();

    private Parser(String file) {
        this.file = file;
    }

    /** Parses a complete text; throws {@link SettingsException} with all syntax errors. */
    static Struct parse(String file, String text) {
        Parser parser = new Parser(file);
        parser.checkDepth(text);
        Struct root = parser.problems.isEmpty() ? parser.document(text) : null;
        if (!parser.problems.isEmpty()) {
            throw new SettingsException(parser.problems);
        }
        return root;
    }

    private void checkDepth(String text) {
        int depth = 0;
        int line = 1;
        char enclosing = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '\n') {
                line++;
                enclosing = 0;
            } else if (enclosing == '"') {
                i += c == '\\' ? 1 : 0;
                enclosing = c == '"' ? 0 : enclosing;
            } else if (enclosing == 0) {
                enclosing = c == '"' ? '"' : c == '/' && text.startsWith("//", i) ? '/' : 0;
                depth += c == '{' || c == '[' || c == '(' ? 1 : c == '}' || c == ']' || c == ')' ? -1 : 0;
            }
            if (depth > MAX_NESTING_DEPTH) {
                problems.add(new Problem(new SourcePosition(file, line, 1), "", "nested deeper than " + MAX_NESTING_DEPTH, ""));
                return;
            }
        }
    }

    private Struct document(String text) {
        CueLexer lexer = new CueLexer(CharStreams.fromString(text, file));
        CueParser cueParser = new CueParser(new CommonTokenStream(lexer));
        BaseErrorListener listener = new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int column, String message,
                                    RecognitionException e) {
                problems.add(new Problem(new SourcePosition(file, line, column + 1), "", message, ""));
            }
        };
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        cueParser.removeErrorListeners();
        cueParser.addErrorListener(listener);
        CueParser.DocumentContext root = cueParser.document();
        if (!problems.isEmpty()) {
            return null;
        }
        return root.struct() != null ? struct(root.struct().fields(), root) : struct(root.fields(), root);
    }

    private SourcePosition position(ParserRuleContext node) {
        return position(node.getStart());
    }

    private SourcePosition position(Token node) {
        return new SourcePosition(file, node.getLine(), node.getCharPositionInLine() + 1);
    }

    private Struct struct(CueParser.FieldsContext from, ParserRuleContext node) {
        List<Field> fields = new ArrayList<>();
        List<Pattern> patterns = new ArrayList<>();
        Map<String, SourcePosition> firstPositions = new HashMap<>();
        boolean acceptsOtherFields = false;
        for (CueParser.FieldContext child : from.field()) {
            if (child.label() != null) {
                Field field = new Field(position(child), label(child.label()), child.OPTIONAL() != null, value(child.value()));
                SourcePosition first = firstPositions.putIfAbsent(field.name(), field.position());
                if (first != null && !(field.value() instanceof Struct)) {
                    problems.add(new Problem(field.position(), field.name(), "defined twice; first at " + first, ""));
                }
                fields.add(field);
            } else if (child.pattern() != null) {
                Expr name = child.pattern().IDENT() != null ? identifier(child.pattern().IDENT().getSymbol())
                        : unary(child.pattern().unary());
                patterns.add(new Pattern(name, value(child.value())));
            } else {
                acceptsOtherFields = true;
            }
        }
        return new Struct(position(node), fields, patterns, acceptsOtherFields);
    }

    private String label(CueParser.LabelContext label) {
        return label.STRING() != null ? text(label.STRING().getSymbol()) : label.getText();
    }

    /** Parses a value, or the short form {@code a: b: value} of a record with one field. */
    private Expr value(CueParser.ValueContext value) {
        if (value.choice() != null) {
            return choice(value.choice());
        }
        Field field = new Field(position(value), label(value.label()), value.OPTIONAL() != null, value(value.value()));
        return new Struct(position(value), List.of(field), List.of(), false);
    }

    private Expr choice(CueParser.ChoiceContext choice) {
        List<Option> options = new ArrayList<>();
        for (CueParser.OptionContext child : choice.option()) {
            List<Expr> parts = child.both().unary().stream().map(this::unary).toList();
            Expr conjunction = parts.size() == 1 ? parts.get(0) : new Expr.Conjunction(position(child), parts);
            options.add(new Option(child.getStart().getText().equals("*"), conjunction));
        }
        return options.size() == 1 && !options.get(0).isDefault() ? options.get(0).expr()
                : new Expr.Disjunction(position(choice), options);
    }

    private Expr unary(CueParser.UnaryContext unary) {
        if (unary.op != null) {
            return new Expr.Bound(position(unary), unary.op.getText(), scalar(unary.scalar()));
        } else if (unary.scalar() != null) {
            return scalar(unary.scalar());
        } else if (unary.IDENT() != null) {
            return identifier(unary.IDENT().getSymbol());
        } else if (unary.DEFINITION() != null) {
            return new Expr.Reference(position(unary), unary.DEFINITION().getText());
        } else if (unary.struct() != null) {
            return struct(unary.struct().fields(), unary);
        } else if (unary.list() != null) {
            return list(unary.list());
        }
        return choice(unary.choice());
    }

    private Expr list(CueParser.ListContext list) {
        String text = list.getText();
        boolean hasRest = list.children.stream().anyMatch(child -> child.getText().equals("..."));
        List<Expr> items = new ArrayList<>(list.choice().stream().map(this::choice).toList());
        Expr rest = null;
        if (hasRest) {
            boolean restIsUntyped = text.endsWith("...]");
            rest = restIsUntyped ? new Expr.Type(position(list), Kind.ANY) : items.remove(items.size() - 1);
        }
        return new Expr.ListExpr(position(list), items, rest);
    }

    private Expr identifier(Token name) {
        Kind type = TYPES_BY_NAME.get(name.getText());
        if (type != null) {
            return new Expr.Type(position(name), type);
        }
        switch (name.getText()) {
            case "true", "false" -> {
                return new Expr.Scalar(position(name), name.getText().equals("true"));
            }
            case "null" -> {
                return new Expr.Scalar(position(name), null);
            }
            default -> {
                problems.add(new Problem(position(name), "", "unknown identifier " + name.getText(), "true, false, null, "
                        + String.join(", ", TYPES_BY_NAME.keySet().stream().sorted().toList()) + ", or a quoted string"));
                return new Expr.Scalar(position(name), null);
            }
        }
    }

    private Expr.Scalar scalar(CueParser.ScalarContext scalar) {
        Token token = scalar.getStart();
        if (scalar.STRING() != null) {
            return new Expr.Scalar(position(token), text(token));
        } else if (scalar.NUMBER() != null) {
            return new Expr.Scalar(position(token), number(token));
        }
        Quantity quantity = Quantity.parse(token.getText());
        if (quantity == null) {
            problems.add(new Problem(position(token), "", token.getText(), "a number followed by one of us, ms, s, m, h, d,"
                    + " B, kB, MB, GB, KiB, MiB, GiB, which amounts to a whole number of us or B"));
        }
        return new Expr.Scalar(position(token), quantity);
    }

    /** Limits the exponent, since printing a number such as 1e999999999 would exhaust the memory. */
    private BigDecimal number(Token token) {
        try {
            BigDecimal number = new BigDecimal(token.getText());
            if (token.getText().length() <= 40 && Math.abs((long) number.scale()) <= 400) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below: the exponent has too many digits.
        }
        problems.add(new Problem(position(token), "", "number out of range: " + token.getText(),
                "up to 40 characters and an exponent up to 400"));
        return BigDecimal.ZERO;
    }

    private String text(Token token) {
        String literal = token.getText();
        StringBuilder text = new StringBuilder(literal.length());
        for (int i = 1; i < literal.length() - 1; i++) {
            char c = literal.charAt(i);
            if (c != '\\') {
                text.append(c);
                continue;
            }
            char escape = literal.charAt(++i);
            if (escape == 'u' && literal.substring(i + 1).matches("(?s)[0-9A-Fa-f]{4}.+")) {
                text.append((char) Integer.parseInt(literal.substring(i + 1, i + 5), 16));
                i += 4;
            } else if (ESCAPES.containsKey(escape)) {
                text.append(ESCAPES.get(escape));
            } else {
                problems.add(new Problem(position(token), "", "\\" + escape + " in a string",
                        "\\\" \\\\ \\/ \\b \\f \\n \\r \\t \\uXXXX"));
            }
        }
        return text.toString();
    }
}
