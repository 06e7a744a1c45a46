package cairnline.settings;

import cairnline.settings.Expr.Conjunction;
import cairnline.settings.Expr.Bound;
import cairnline.settings.Expr.Disjunction;
import cairnline.settings.Expr.Field;
import cairnline.settings.Expr.ListExpr;
import cairnline.settings.Expr.Option;
import cairnline.settings.Expr.Pattern;
import cairnline.settings.Expr.Reference;
import cairnline.settings.Expr.Scalar;
import cairnline.settings.Expr.Struct;
import cairnline.settings.Expr.Type;
import java.math.BigDecimal;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.PatternSyntaxException;
import java.util.stream.Collectors;

/**
 * Unifies expressions: computes the single value that satisfies all of them, using the default where a disjunction is left
 * undecided. Records become maps, lists become lists, numbers {@link BigDecimal}, durations and sizes {@link Quantity}.
 *
 * <p>A record of a definition is closed: a field that it does not declare is an error. One pass reports all problems;
 * values with problems become null.
 */
final class Unifier {
    private static final int MAX_SUGGESTION_DISTANCE = 2;

    private final Map<String, Expr> definitions;
    private final List<Problem> problems = new ArrayList<>();
    /** Records in definitions, including nested ones. */
    private final Set<Struct> closedRecords = Collections.newSetFromMap(new IdentityHashMap<>());

    Unifier(Map<String, Expr> definitions) {
        this.definitions = definitions;
        definitions.values().forEach(this::markClosed);
    }

    private void markClosed(Expr expr) {
        if (expr instanceof Struct struct && closedRecords.add(struct)) {
            struct.fields().forEach(field -> markClosed(field.value()));
            struct.patterns().forEach(pattern -> markClosed(pattern.value()));
        } else if (expr instanceof Conjunction conjunction) {
            conjunction.parts().forEach(this::markClosed);
        } else if (expr instanceof Disjunction disjunction) {
            disjunction.options().forEach(option -> markClosed(option.expr()));
        } else if (expr instanceof ListExpr list) {
            list.items().forEach(this::markClosed);
            if (list.rest() != null) {
                markClosed(list.rest());
            }
        }
    }

    /** Unifies the parts; throws {@link SettingsException} with all problems. */
    Object unify(List<Expr> parts) {
        Object value = unifyParts("", parts);
        if (!problems.isEmpty()) {
            throw new SettingsException(problems.stream().distinct().toList());
        }
        return value;
    }

    private Object unifyParts(String path, List<Expr> parts) {
        List<Expr> flattened = new ArrayList<>();
        if (!flatten(path, parts, flattened)) {
            return null;
        }
        Disjunction disjunction = flattened.stream().filter(Disjunction.class::isInstance).map(Disjunction.class::cast)
                .findFirst().orElse(null);
        if (disjunction != null) {
            flattened.remove(disjunction);
            return resolveDisjunction(path, disjunction, flattened);
        }
        if (flattened.stream().anyMatch(Struct.class::isInstance)) {
            return requireAll(path, flattened, Struct.class) ? unifyRecords(path, ofType(flattened, Struct.class)) : null;
        }
        if (flattened.stream().anyMatch(ListExpr.class::isInstance)) {
            return requireAll(path, flattened, ListExpr.class) ? unifyLists(path, ofType(flattened, ListExpr.class)) : null;
        }
        return unifyScalars(path, flattened);
    }

    private static <T> List<T> ofType(List<Expr> parts, Class<T> type) {
        return parts.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Expands references and conjunctions into {@code flattened}; returns false for an unknown or cyclic definition. */
    private boolean flatten(String path, List<Expr> parts, List<Expr> flattened) {
        ArrayDeque<Expr> pending = new ArrayDeque<>(parts);
        int resolvedReferences = 0;
        while (!pending.isEmpty()) {
            Expr part = pending.pollFirst();
            if (part instanceof Conjunction conjunction) {
                for (int i = conjunction.parts().size() - 1; i >= 0; i--) {
                    pending.addFirst(conjunction.parts().get(i));
                }
            } else if (part instanceof Reference reference) {
                Expr definition = definitions.get(reference.name());
                if (definition == null || ++resolvedReferences > definitions.size()) {
                    problems.add(new Problem(reference.position(), path, definition == null ? reference.name()
                            + " is not defined" : reference.name() + " is defined in terms of itself", ""));
                    return false;
                }
                pending.addFirst(definition);
            } else {
                flattened.add(part);
            }
        }
        return true;
    }

    /** Returns whether all parts are of this kind or accept any value; reports a mismatch otherwise. */
    private boolean requireAll(String path, List<Expr> parts, Class<? extends Expr> kind) {
        for (Expr part : parts) {
            if (!kind.isInstance(part) && !(part instanceof Type type && type.kind() == Type.Kind.ANY)) {
                reportMismatch(path, parts);
                return false;
            }
        }
        return true;
    }

    /** Reports that the first part, which is that of the file, does not satisfy the others. */
    private void reportMismatch(String path, List<Expr> parts) {
        Expr found = parts.get(0);
        String allowed = parts.stream().skip(1).map(Expr::toString).distinct().collect(Collectors.joining(" & "));
        problems.add(new Problem(found.position(), path, "found " + found, allowed));
    }

    // ---- Disjunctions ----

    /** Returns the first matching default if there is one, otherwise the value that all matching options agree on. */
    private Object resolveDisjunction(String path, Disjunction disjunction, List<Expr> otherParts) {
        List<Object> matchingValues = new ArrayList<>();
        Object defaultValue = null;
        boolean hasDefault = false;
        List<Problem> firstRecordProblems = null;
        for (Option option : disjunction.options()) {
            Unifier trial = new Unifier(this);
            List<Expr> parts = new ArrayList<>(otherParts);
            parts.add(option.expr());
            Object value = trial.unifyParts(path, parts);
            if (trial.problems.isEmpty()) {
                matchingValues.add(value);
                if (option.isDefault() && !hasDefault) {
                    defaultValue = value;
                    hasDefault = true;
                }
            } else if (option.expr() instanceof Struct || option.expr() instanceof Reference) {
                firstRecordProblems = firstRecordProblems == null ? trial.problems : firstRecordProblems;
            }
        }
        if (hasDefault) {
            return defaultValue;
        }
        if (matchingValues.stream().distinct().count() == 1) {
            return matchingValues.get(0);
        }
        if (otherParts.isEmpty()) {
            problems.add(new Problem(disjunction.position(), path, "is missing", disjunction.toString()));
        } else if (matchingValues.isEmpty() && firstRecordProblems != null && disjunction.options().size() == 1) {
            problems.addAll(firstRecordProblems);
        } else {
            List<Expr> parts = new ArrayList<>(otherParts);
            parts.add(disjunction);
            reportMismatch(path, parts);
        }
        return null;
    }

    /** Creates a unifier for a trial, whose problems do not affect the outer one. */
    private Unifier(Unifier outer) {
        this.definitions = outer.definitions;
        this.closedRecords.addAll(outer.closedRecords);
    }

    // ---- Records ----

    private Map<String, Object> unifyRecords(String path, List<Struct> structs) {
        Set<String> names = new LinkedHashSet<>();
        structs.forEach(struct -> struct.fields().forEach(field -> names.add(field.name())));
        Map<String, Object> record = new LinkedHashMap<>();
        for (String name : names) {
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            List<Expr> values = new ArrayList<>();
            boolean isPresent = false;
            SourcePosition position = null;
            for (Struct struct : structs) {
                for (Field field : struct.fields()) {
                    if (field.name().equals(name)) {
                        values.add(field.value());
                        isPresent |= !field.optional();
                        position = position == null ? field.position() : position;
                    }
                }
                struct.patterns().stream().filter(pattern -> matches(pattern, name))
                        .forEach(pattern -> values.add(pattern.value()));
            }
            Struct rejectingRecord = structs.stream().filter(struct -> !accepts(struct, name)).findFirst().orElse(null);
            if (rejectingRecord != null) {
                problems.add(new Problem(position, fieldPath, "unknown key", suggestedKeys(name, rejectingRecord)));
            } else if (isPresent) {
                record.put(name, unifyParts(fieldPath, values));
            }
        }
        return record;
    }

    private boolean accepts(Struct struct, String name) {
        return !closedRecords.contains(struct) || struct.acceptsOtherFields()
                || struct.fields().stream().anyMatch(field -> field.name().equals(name))
                || struct.patterns().stream().anyMatch(pattern -> matches(pattern, name));
    }

    private boolean matches(Pattern pattern, String name) {
        Unifier trial = new Unifier(this);
        trial.unifyParts("", List.of(new Scalar(pattern.name().position(), name), pattern.name()));
        return trial.problems.isEmpty();
    }

    /** Returns keys with a similar spelling, or all keys and patterns of the record if there are none. */
    private static String suggestedKeys(String name, Struct struct) {
        List<String> names = struct.fields().stream().map(Field::name).distinct().toList();
        List<String> similarKeys = names.stream().filter(key -> editDistance(key, name) <= MAX_SUGGESTION_DISTANCE).toList();
        if (!similarKeys.isEmpty()) {
            return String.join(", ", similarKeys);
        }
        String patterns = struct.patterns().stream().map(p -> "[" + p.name() + "]").collect(Collectors.joining(", "));
        return names.isEmpty() ? patterns : String.join(", ", names) + (patterns.isEmpty() ? "" : ", " + patterns);
    }

    /** Returns the Levenshtein distance, ignoring case. */
    private static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = diagonal + (Character.toLowerCase(a.charAt(i - 1)) == Character.toLowerCase(b.charAt(j - 1))
                        ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitution, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }

    // ---- Lists ----

    private List<Object> unifyLists(String path, List<ListExpr> lists) {
        int count = lists.stream().mapToInt(l -> l.items().size()).max().orElse(0);
        List<Object> items = new ArrayList<>();
        for (ListExpr list : lists) {
            if (list.rest() == null && list.items().size() < count) {
                problems.add(new Problem(lists.get(0).position(), path, count + " items", String.valueOf(list.items().size())));
                return null;
            }
        }
        for (int i = 0; i < count; i++) {
            List<Expr> parts = new ArrayList<>();
            for (ListExpr list : lists) {
                parts.add(i < list.items().size() ? list.items().get(i) : list.rest());
            }
            items.add(unifyParts(path + "[" + i + "]", parts));
        }
        return items;
    }

    // ---- Scalars ----

    private Object unifyScalars(String path, List<Expr> parts) {
        List<Scalar> scalars = ofType(parts, Scalar.class);
        if (scalars.isEmpty()) {
            String allowed = parts.stream().map(Expr::toString).distinct().collect(Collectors.joining(" & "));
            problems.add(new Problem(parts.get(0).position(), path, "is missing", allowed));
            return null;
        }
        Object value = withUnits(scalars.get(0).value(), parts);
        for (Expr part : parts) {
            if (!satisfiesPart(value, part, parts)) {
                reportMismatch(path, parts);
                return null;
            }
        }
        return value;
    }

    /** Converts a string to a quantity where one is expected, since JSON has no literals with units. */
    private static Object withUnits(Object value, List<Expr> parts) {
        boolean expectsQuantity = ofType(parts, Type.class).stream().anyMatch(type -> type.kind() == Type.Kind.DURATION
                || type.kind() == Type.Kind.SIZE) || ofType(parts, Scalar.class).stream().anyMatch(scalar ->
                scalar.value() instanceof Quantity);
        Quantity quantity = expectsQuantity && value instanceof String text ? Quantity.parse(text) : null;
        return quantity != null ? quantity : value;
    }

    private boolean satisfiesPart(Object value, Expr part, List<Expr> parts) {
        if (part instanceof Scalar scalar) {
            return equalValues(value, withUnits(scalar.value(), parts));
        } else if (part instanceof Type type) {
            return hasType(value, type.kind());
        }
        return part instanceof Bound bound && satisfies(value, bound, withUnits(bound.limit().value(), parts));
    }

    private static boolean equalValues(Object a, Object b) {
        return a instanceof BigDecimal x && b instanceof BigDecimal y ? x.compareTo(y) == 0
                : a == null ? b == null : a.equals(b);
    }

    private static boolean hasType(Object value, Type.Kind kind) {
        return switch (kind) {
            case ANY -> true;
            case STRING -> value instanceof String;
            case NUMBER -> value instanceof BigDecimal;
            case INT -> value instanceof BigDecimal number && number.stripTrailingZeros().scale() <= 0;
            case BOOL -> value instanceof Boolean;
            case NULL -> value == null;
            case DURATION -> value instanceof Quantity q && q.kind() == Quantity.Kind.DURATION;
            case SIZE -> value instanceof Quantity q && q.kind() == Quantity.Kind.SIZE;
        };
    }

    private boolean satisfies(Object value, Bound bound, Object limit) {
        switch (bound.operator()) {
            case "=~", "!~" -> {
                return value instanceof String text && limit instanceof String expression
                        && matchesRegex(text, expression, bound) == bound.operator().equals("=~");
            }
            case "!=" -> {
                return !equalValues(value, limit);
            }
            default -> {
                Integer comparison = compare(value, limit);
                return comparison != null && switch (bound.operator()) {
                    case ">=" -> comparison >= 0;
                    case "<=" -> comparison <= 0;
                    case ">" -> comparison > 0;
                    default -> comparison < 0;
                };
            }
        }
    }

    private boolean matchesRegex(String text, String expression, Bound bound) {
        try {
            return java.util.regex.Pattern.compile(expression).matcher(text).find();
        } catch (PatternSyntaxException e) {
            problems.add(new Problem(bound.position(), "", "invalid regular expression: " + e.getDescription(), ""));
            return false;
        }
    }

    /** Compares two values; returns null if they are not comparable. */
    private static Integer compare(Object a, Object b) {
        if (a instanceof BigDecimal x && b instanceof BigDecimal y) {
            return x.compareTo(y);
        } else if (a instanceof Quantity x && b instanceof Quantity y && x.kind() == y.kind()) {
            return x.compareTo(y);
        }
        return a instanceof String x && b instanceof String y ? Integer.valueOf(x.compareTo(y)) : null;
    }
}
