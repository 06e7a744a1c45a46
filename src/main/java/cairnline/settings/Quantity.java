package cairnline.settings;

import java.math.BigDecimal;
import java.util.Map;

/**
 * A duration or a size, with the text and unit in which it was written.
 *
 * @param kind duration or size
 * @param amount microseconds or bytes
 * @param text the source text, such as {@code 10s}
 */
record Quantity(Kind kind, long amount, String text) implements Comparable<Quantity> {
    /** The kind of quantity. */
    enum Kind { DURATION, SIZE }

    private record Unit(Kind kind, long factor) { }

    private static final Map<String, Unit> UNITS = Map.ofEntries(duration("us", 1), duration("ms", 1_000),
            duration("s", 1_000_000), duration("m", 60_000_000L), duration("h", 3_600_000_000L), duration("d", 86_400_000_000L),
            size("B", 1), size("kB", 1_000), size("MB", 1_000_000), size("GB", 1_000_000_000L), size("KiB", 1L << 10),
            size("MiB", 1L << 20), size("GiB", 1L << 30));

    private static Map.Entry<String, Unit> duration(String name, long factor) {
        return Map.entry(name, new Unit(Kind.DURATION, factor));
    }

    private static Map.Entry<String, Unit> size(String name, long factor) {
        return Map.entry(name, new Unit(Kind.SIZE, factor));
    }

    /** Parses a number followed by a unit; returns null if it is malformed or not a whole number of microseconds or bytes. */
    static Quantity parse(String text) {
        int numberEnd = text.length();
        while (numberEnd > 0 && Character.isLetter(text.charAt(numberEnd - 1))) {
            numberEnd--;
        }
        Unit unit = UNITS.get(text.substring(numberEnd));
        if (unit == null || !text.substring(0, numberEnd).matches("-?[0-9]{1,15}(\\.[0-9]{1,9})?")) {
            return null;
        }
        try {
            BigDecimal amount = new BigDecimal(text.substring(0, numberEnd)).multiply(BigDecimal.valueOf(unit.factor));
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
        return other instanceof Quantity quantity && quantity.kind == kind && quantity.amount == amount;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(amount);
    }
}
