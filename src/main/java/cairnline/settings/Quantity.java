package cairnline.settings;

import java.math.BigDecimal;
import java.util.Map;

/**
 * A time, in microseconds, or a size, in bytes, with the unit in which it was written.
 *
 * @param kind which of the two
 * @param amount in that kind's base unit, whole
 * @param text as written
 */
record Quantity(Kind kind, long amount, String text) implements Comparable<Quantity> {
    /** What is measured. */
    enum Kind { DURATION, SIZE }

    private record Unit(Kind kind, long factor) { }

    private static final Map<String, Unit> UNITS = Map.ofEntries(time("us", 1), time("ms", 1_000),
            time("s", 1_000_000), time("m", 60_000_000L), time("h", 3_600_000_000L), time("d", 86_400_000_000L),
            size("B", 1), size("kB", 1_000), size("MB", 1_000_000), size("GB", 1_000_000_000L), size("KiB", 1L << 10),
            size("MiB", 1L << 20), size("GiB", 1L << 30));

    private static Map.Entry<String, Unit> time(String name, long factor) {
        return Map.entry(name, new Unit(Kind.DURATION, factor));
    }

    private static Map.Entry<String, Unit> size(String name, long factor) {
        return Map.entry(name, new Unit(Kind.SIZE, factor));
    }

    /** Reads a number with its unit behind it; null if it is none, or no whole number of base units. */
    static Quantity of(String text) {
        int end = text.length();
        while (end > 0 && Character.isLetter(text.charAt(end - 1))) {
            end--;
        }
        Unit unit = UNITS.get(text.substring(end));
        if (unit == null || !text.substring(0, end).matches("-?[0-9]{1,15}(\\.[0-9]{1,9})?")) {
            return null;
        }
        try {
            BigDecimal amount = new BigDecimal(text.substring(0, end)).multiply(BigDecimal.valueOf(unit.factor));
            return new Quantity(unit.kind, amount.longValueExact(), text);
        } catch (ArithmeticException e) {
            return null;
        }
    }

    @Override
    public int compareTo(Quantity other) {
        return Long.compare(amount, other.amount);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Quantity q && q.kind == kind && q.amount == amount;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(amount);
    }
}
