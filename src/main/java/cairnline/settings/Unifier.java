package cairnline.settings;

import cairnline.settings.Expr.Both;
import cairnline.settings.Expr.Bound;
import cairnline.settings.Expr.Choice;
import cairnline.settings.Expr.Field;
import cairnline.settings.Expr.Items;
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
 * Unification: the one value that is all of several expressions at once, with defaults where a choice is left open.
 * Records become maps, lists lists, numbers {@link BigDecimal}, times and sizes {@link Quantity}.
 *
 * <p>A record that a definition names is closed: a field that none of its closed records knows is a fault. All faults
 * are found in one pass; what is faulty has the value null.
 */
final class Unifier {
    private static final int NEAR = 2;

    private final Map<String, Expr> definitions;
    private final List<Problem> faults = new ArrayList<>();
    /** Records that a definition names, also through others, and those that stand in them. */
    private final Set<Struct> closed = Collections.newSetFromMap(new IdentityHashMap<>());

    Unifier(Map<String, Expr> definitions) {
        this.definitions = definitions;
        definitions.values().forEach(this::close);
    }

    private void close(Expr expr) {
        if (expr instanceof Struct s && closed.add(s)) {
            s.fields().forEach(f -> close(f.value()));
            s.patterns().forEach(p -> close(p.value()));
        } else if (expr instanceof Both b) {
            b.parts().forEach(this::close);
        } else if (expr instanceof Choice c) {
            c.options().forEach(o -> close(o.expr()));
        } else if (expr instanceof Items i) {
            i.items().forEach(this::close);
            if (i.rest() != null) {
                close(i.rest());
            }
        }
    }

    /** Unifies these; throws with all faults. */
    Object unify(List<Expr> parts) {
        Object value = meet("", parts);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults.stream().distinct().toList());
        }
        return value;
    }

    private Object meet(String path, List<Expr> parts) {
        List<Expr> flat = new ArrayList<>();
        if (!flatten(path, parts, flat)) {
            return null;
        }
        Choice choice = flat.stream().filter(Choice.class::isInstance).map(Choice.class::cast).findFirst().orElse(null);
        if (choice != null) {
            flat.remove(choice);
            return choose(path, choice, flat);
        }
        if (flat.stream().anyMatch(Struct.class::isInstance)) {
            return all(path, flat, Struct.class) ? record(path, of(flat, Struct.class)) : null;
        }
        if (flat.stream().anyMatch(Items.class::isInstance)) {
            return all(path, flat, Items.class) ? items(path, of(flat, Items.class)) : null;
        }
        return scalar(path, flat);
    }

    private static <T> List<T> of(List<Expr> parts, Class<T> type) {
        return parts.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Definitions and conjunctions resolved; false if a definition is unknown or names itself. */
    private boolean flatten(String path, List<Expr> parts, List<Expr> flat) {
        ArrayDeque<Expr> left = new ArrayDeque<>(parts);
        int resolved = 0;
        while (!left.isEmpty()) {
            Expr part = left.pollFirst();
            if (part instanceof Both both) {
                for (int i = both.parts().size() - 1; i >= 0; i--) {
                    left.addFirst(both.parts().get(i));
                }
            } else if (part instanceof Reference reference) {
                Expr definition = definitions.get(reference.name());
                if (definition == null || ++resolved > definitions.size()) {
                    faults.add(new Problem(reference.place(), path, definition == null ? reference.name()
                            + " is not defined" : reference.name() + " is defined by itself", ""));
                    return false;
                }
                left.addFirst(definition);
            } else {
                flat.add(part);
            }
        }
        return true;
    }

    /** Whether all are of this kind, or say that anything will do. */
    private boolean all(String path, List<Expr> parts, Class<? extends Expr> kind) {
        for (Expr part : parts) {
            if (!kind.isInstance(part) && !(part instanceof Type type && type.kind() == Type.Kind.ANY)) {
                tell(path, parts);
                return false;
            }
        }
        return true;
    }

    /** What was found, where it stands, against what the others allow: the first part is the file's own. */
    private void tell(String path, List<Expr> parts) {
        Expr found = parts.get(0);
        String allowed = parts.stream().skip(1).map(Expr::toString).distinct().collect(Collectors.joining(" & "));
        faults.add(new Problem(found.place(), path, "found " + found, allowed));
    }

    // ---- Choices ----

    /** The option that fits; of several that do, the default, unless they come to the same. */
    private Object choose(String path, Choice choice, List<Expr> others) {
        List<Object> fitting = new ArrayList<>();
        Object marked = null;
        boolean hasMarked = false;
        List<Problem> nearest = null;
        for (Option option : choice.options()) {
            Unifier trial = new Unifier(this);
            List<Expr> parts = new ArrayList<>(others);
            parts.add(option.expr());
            Object value = trial.meet(path, parts);
            if (trial.faults.isEmpty()) {
                fitting.add(value);
                if (option.isDefault() && !hasMarked) {
                    marked = value;
                    hasMarked = true;
                }
            } else if (option.expr() instanceof Struct || option.expr() instanceof Reference) {
                nearest = nearest == null ? trial.faults : nearest;
            }
        }
        if (hasMarked) {
            return marked;
        }
        if (fitting.stream().distinct().count() == 1) {
            return fitting.get(0);
        }
        if (others.isEmpty()) {
            faults.add(new Problem(choice.place(), path, "is missing", choice.toString()));
        } else if (fitting.isEmpty() && nearest != null && choice.options().size() == 1) {
            faults.addAll(nearest);
        } else {
            List<Expr> parts = new ArrayList<>(others);
            parts.add(choice);
            tell(path, parts);
        }
        return null;
    }

    private Unifier(Unifier outer) {
        this.definitions = outer.definitions;
        this.closed.addAll(outer.closed);
    }

    // ---- Records ----

    private Map<String, Object> record(String path, List<Struct> structs) {
        Set<String> names = new LinkedHashSet<>();
        structs.forEach(s -> s.fields().forEach(f -> names.add(f.name())));
        Map<String, Object> record = new LinkedHashMap<>();
        for (String name : names) {
            String at = path.isEmpty() ? name : path + "." + name;
            List<Expr> values = new ArrayList<>();
            boolean given = false;
            SourcePosition place = null;
            for (Struct s : structs) {
                for (Field f : s.fields()) {
                    if (f.name().equals(name)) {
                        values.add(f.value());
                        given |= !f.optional();
                        place = place == null ? f.place() : place;
                    }
                }
                s.patterns().stream().filter(p -> matches(p, name)).forEach(p -> values.add(p.value()));
            }
            Struct stranger = structs.stream().filter(s -> !knows(s, name)).findFirst().orElse(null);
            if (stranger != null) {
                faults.add(new Problem(place, at, "is no key here", near(name, stranger)));
            } else if (given) {
                record.put(name, meet(at, values));
            }
        }
        return record;
    }

    private boolean knows(Struct s, String name) {
        return !closed.contains(s) || s.open() || s.fields().stream().anyMatch(f -> f.name().equals(name))
                || s.patterns().stream().anyMatch(p -> matches(p, name));
    }

    private boolean matches(Pattern pattern, String name) {
        Unifier trial = new Unifier(this);
        trial.meet("", List.of(new Scalar(pattern.name().place(), name), pattern.name()));
        return trial.faults.isEmpty();
    }

    /** The key that was meant, if one is near; else all that there are. */
    private static String near(String name, Struct struct) {
        List<String> names = struct.fields().stream().map(Field::name).distinct().toList();
        List<String> near = names.stream().filter(known -> distance(known, name) <= NEAR).toList();
        if (!near.isEmpty()) {
            return String.join(", ", near);
        }
        String patterns = struct.patterns().stream().map(p -> "[" + p.name() + "]").collect(Collectors.joining(", "));
        return names.isEmpty() ? patterns : String.join(", ", names) + (patterns.isEmpty() ? "" : ", " + patterns);
    }

    /** Letters to be put in, taken out or changed to make one of the other. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int same = corner + (Character.toLowerCase(a.charAt(i - 1)) == Character.toLowerCase(b.charAt(j - 1))
                        ? 0 : 1);
                corner = row[j];
                row[j] = Math.min(same, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }

    // ---- Lists ----

    private List<Object> items(String path, List<Items> lists) {
        int count = lists.stream().mapToInt(l -> l.items().size()).max().orElse(0);
        List<Object> items = new ArrayList<>();
        for (Items list : lists) {
            if (list.rest() == null && list.items().size() < count) {
                faults.add(new Problem(lists.get(0).place(), path, count + " items", String.valueOf(list.items().size())));
                return null;
            }
        }
        for (int i = 0; i < count; i++) {
            List<Expr> parts = new ArrayList<>();
            for (Items list : lists) {
                parts.add(i < list.items().size() ? list.items().get(i) : list.rest());
            }
            items.add(meet(path + "[" + i + "]", parts));
        }
        return items;
    }

    // ---- Scalars ----

    private Object scalar(String path, List<Expr> parts) {
        List<Scalar> given = of(parts, Scalar.class);
        if (given.isEmpty()) {
            String allowed = parts.stream().map(Expr::toString).distinct().collect(Collectors.joining(" & "));
            faults.add(new Problem(parts.get(0).place(), path, "is missing", allowed));
            return null;
        }
        Object value = typed(given.get(0).value(), parts);
        for (Expr part : parts) {
            if (!fits(value, part, parts)) {
                tell(path, parts);
                return null;
            }
        }
        return value;
    }

    /** JSON has no units: where a time or a size is asked for, a text that words one is one. */
    private static Object typed(Object value, List<Expr> parts) {
        boolean measured = of(parts, Type.class).stream().anyMatch(t -> t.kind() == Type.Kind.DURATION
                || t.kind() == Type.Kind.SIZE) || of(parts, Scalar.class).stream().anyMatch(s ->
                s.value() instanceof Quantity);
        Quantity quantity = measured && value instanceof String text ? Quantity.of(text) : null;
        return quantity != null ? quantity : value;
    }

    private boolean fits(Object value, Expr part, List<Expr> parts) {
        if (part instanceof Scalar s) {
            return same(value, typed(s.value(), parts));
        } else if (part instanceof Type t) {
            return is(value, t.kind());
        }
        return part instanceof Bound b && holds(value, b, typed(b.limit().value(), parts));
    }

    private static boolean same(Object a, Object b) {
        return a instanceof BigDecimal x && b instanceof BigDecimal y ? x.compareTo(y) == 0
                : a == null ? b == null : a.equals(b);
    }

    private static boolean is(Object value, Type.Kind kind) {
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

    private boolean holds(Object value, Bound bound, Object limit) {
        switch (bound.operator()) {
            case "=~", "!~" -> {
                return value instanceof String text && limit instanceof String expression
                        && found(text, expression, bound) == bound.operator().equals("=~");
            }
            case "!=" -> {
                return !same(value, limit);
            }
            default -> {
                Integer order = order(value, limit);
                return order != null && switch (bound.operator()) {
                    case ">=" -> order >= 0;
                    case "<=" -> order <= 0;
                    case ">" -> order > 0;
                    default -> order < 0;
                };
            }
        }
    }

    private boolean found(String text, String expression, Bound bound) {
        try {
            return java.util.regex.Pattern.compile(expression).matcher(text).find();
        } catch (PatternSyntaxException e) {
            faults.add(new Problem(bound.place(), "", "no regular expression: " + e.getDescription(), ""));
            return false;
        }
    }

    /** Null if they can't be compared. */
    private static Integer order(Object a, Object b) {
        if (a instanceof BigDecimal x && b instanceof BigDecimal y) {
            return x.compareTo(y);
        } else if (a instanceof Quantity x && b instanceof Quantity y && x.kind() == y.kind()) {
            return x.compareTo(y);
        }
        return a instanceof String x && b instanceof String y ? Integer.valueOf(x.compareTo(y)) : null;
    }
}
