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

/** A text of the settings language as expressions. */
final class Parser {
    /** Deeper nesting is a fault: the parser and all after it go as deep as the text. */
    private static final int DEEPEST = 64;
    private static final Map<String, Kind> TYPES = Map.of("string", Kind.STRING, "int", Kind.INT, "number", Kind.NUMBER,
            "bool", Kind.BOOL, "duration", Kind.DURATION, "size", Kind.SIZE, "_", Kind.ANY);
    private static final Map<Character, Character> ESCAPES = Map.of('"', '"', '\\', '\\', '/', '/', 'b', '\b', 'f',
            '\f', 'n', '\n', 'r', '\r', 't', '\t');

    private final String file;
    private final List<Problem> faults = new ArrayList<>();

    private Parser(String file) {
        this.file = file;
    }

    /** Parses a whole text; throws with all faults of its form. */
    static Struct parse(String file, String text) {
        Parser source = new Parser(file);
        source.checkDepth(text);
        Struct root = source.faults.isEmpty() ? source.document(text) : null;
        if (!source.faults.isEmpty()) {
            throw new SettingsException(source.faults);
        }
        return root;
    }

    private void checkDepth(String text) {
        int depth = 0;
        int line = 1;
        char inside = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '\n') {
                line++;
                inside = 0;
            } else if (inside == '"') {
                i += c == '\\' ? 1 : 0;
                inside = c == '"' ? 0 : inside;
            } else if (inside == 0) {
                inside = c == '"' ? '"' : c == '/' && text.startsWith("//", i) ? '/' : 0;
                depth += c == '{' || c == '[' || c == '(' ? 1 : c == '}' || c == ']' || c == ')' ? -1 : 0;
            }
            if (depth > DEEPEST) {
                faults.add(new Problem(new SourcePosition(file, line, 1), "", "nested deeper than " + DEEPEST, ""));
                return;
            }
        }
    }

    private Struct document(String text) {
        CueLexer lexer = new CueLexer(CharStreams.fromString(text, file));
        CueParser parser = new CueParser(new CommonTokenStream(lexer));
        BaseErrorListener listener = new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int column, String message,
                                    RecognitionException e) {
                faults.add(new Problem(new SourcePosition(file, line, column + 1), "", message, ""));
            }
        };
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        CueParser.DocumentContext root = parser.document();
        if (!faults.isEmpty()) {
            return null;
        }
        return root.struct() != null ? struct(root.struct().fields(), root) : struct(root.fields(), root);
    }

    private SourcePosition place(ParserRuleContext at) {
        return place(at.getStart());
    }

    private SourcePosition place(Token at) {
        return new SourcePosition(file, at.getLine(), at.getCharPositionInLine() + 1);
    }

    private Struct struct(CueParser.FieldsContext from, ParserRuleContext at) {
        List<Field> fields = new ArrayList<>();
        List<Pattern> patterns = new ArrayList<>();
        Map<String, SourcePosition> seen = new HashMap<>();
        boolean open = false;
        for (CueParser.FieldContext each : from.field()) {
            if (each.label() != null) {
                Field field = new Field(place(each), label(each.label()), each.OPTIONAL() != null, value(each.value()));
                SourcePosition before = seen.putIfAbsent(field.name(), field.place());
                if (before != null && !(field.value() instanceof Struct)) {
                    faults.add(new Problem(field.place(), field.name(), "stands twice; first at " + before, ""));
                }
                fields.add(field);
            } else if (each.pattern() != null) {
                Expr name = each.pattern().IDENT() != null ? named(each.pattern().IDENT().getSymbol())
                        : unary(each.pattern().unary());
                patterns.add(new Pattern(name, value(each.value())));
            } else {
                open = true;
            }
        }
        return new Struct(place(at), fields, patterns, open);
    }

    private String label(CueParser.LabelContext label) {
        return label.STRING() != null ? text(label.STRING().getSymbol()) : label.getText();
    }

    /** A value, or short for a record of one field. */
    private Expr value(CueParser.ValueContext value) {
        if (value.choice() != null) {
            return choice(value.choice());
        }
        Field only = new Field(place(value), label(value.label()), value.OPTIONAL() != null, value(value.value()));
        return new Struct(place(value), List.of(only), List.of(), false);
    }

    private Expr choice(CueParser.ChoiceContext choice) {
        List<Option> options = new ArrayList<>();
        for (CueParser.OptionContext each : choice.option()) {
            List<Expr> parts = each.both().unary().stream().map(this::unary).toList();
            Expr both = parts.size() == 1 ? parts.get(0) : new Expr.Both(place(each), parts);
            options.add(new Option(each.getStart().getText().equals("*"), both));
        }
        return options.size() == 1 && !options.get(0).isDefault() ? options.get(0).expr()
                : new Expr.Choice(place(choice), options);
    }

    private Expr unary(CueParser.UnaryContext unary) {
        if (unary.op != null) {
            return new Expr.Bound(place(unary), unary.op.getText(), scalar(unary.scalar()));
        } else if (unary.scalar() != null) {
            return scalar(unary.scalar());
        } else if (unary.IDENT() != null) {
            return named(unary.IDENT().getSymbol());
        } else if (unary.DEFINITION() != null) {
            return new Expr.Reference(place(unary), unary.DEFINITION().getText());
        } else if (unary.struct() != null) {
            return struct(unary.struct().fields(), unary);
        } else if (unary.list() != null) {
            return list(unary.list());
        }
        return choice(unary.choice());
    }

    private Expr list(CueParser.ListContext list) {
        String text = list.getText();
        boolean dots = list.children.stream().anyMatch(child -> child.getText().equals("..."));
        List<Expr> items = new ArrayList<>(list.choice().stream().map(this::choice).toList());
        Expr rest = null;
        if (dots) {
            boolean bare = text.endsWith("...]");
            rest = bare ? new Expr.Type(place(list), Kind.ANY) : items.remove(items.size() - 1);
        }
        return new Expr.Items(place(list), items, rest);
    }

    private Expr named(Token name) {
        Kind type = TYPES.get(name.getText());
        if (type != null) {
            return new Expr.Type(place(name), type);
        }
        switch (name.getText()) {
            case "true", "false" -> {
                return new Expr.Scalar(place(name), name.getText().equals("true"));
            }
            case "null" -> {
                return new Expr.Scalar(place(name), null);
            }
            default -> {
                faults.add(new Problem(place(name), "", "the word " + name.getText(), "true, false, null, "
                        + String.join(", ", TYPES.keySet().stream().sorted().toList()) + ", or a text in quotes"));
                return new Expr.Scalar(place(name), null);
            }
        }
    }

    private Expr.Scalar scalar(CueParser.ScalarContext scalar) {
        Token token = scalar.getStart();
        if (scalar.STRING() != null) {
            return new Expr.Scalar(place(token), text(token));
        } else if (scalar.NUMBER() != null) {
            return new Expr.Scalar(place(token), number(token));
        }
        Quantity quantity = Quantity.of(token.getText());
        if (quantity == null) {
            faults.add(new Problem(place(token), "", token.getText(), "a number with one of us, ms, s, m, h, d, B, kB, MB,"
                    + " GB, KiB, MiB, GiB behind it, in all a whole number of us or B"));
        }
        return new Expr.Scalar(place(token), quantity);
    }

    /** An exponent such as 1e999999999 would make a number that fills the memory once it is written out. */
    private BigDecimal number(Token token) {
        try {
            BigDecimal number = new BigDecimal(token.getText());
            if (token.getText().length() <= 40 && Math.abs((long) number.scale()) <= 400) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below: its exponent has too many digits.
        }
        faults.add(new Problem(place(token), "", "the number " + token.getText(), "40 digits, and an exponent to 400"));
        return BigDecimal.ZERO;
    }

    private String text(Token token) {
        String raw = token.getText();
        StringBuilder text = new StringBuilder(raw.length());
        for (int i = 1; i < raw.length() - 1; i++) {
            char c = raw.charAt(i);
            if (c != '\\') {
                text.append(c);
                continue;
            }
            char escape = raw.charAt(++i);
            if (escape == 'u' && raw.substring(i + 1).matches("(?s)[0-9A-Fa-f]{4}.+")) {
                text.append((char) Integer.parseInt(raw.substring(i + 1, i + 5), 16));
                i += 4;
            } else if (ESCAPES.containsKey(escape)) {
                text.append(ESCAPES.get(escape));
            } else {
                faults.add(new Problem(place(token), "", "\\" + escape + " in a text",
                        "\\\" \\\\ \\/ \\b \\f \\n \\r \\t \\uXXXX"));
            }
        }
        return text.toString();
    }
}
