package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An engine's answer: {@code ID WORD FIELDS BODY}. */
public record EngineMessage(String id, Kind kind, Map<String, String> fields, byte[] body) {
    private static final int PARTS_LEAST = 2;
    private static final double MICROS_PER_MILLI = 1_000;

    /** What an answer says. */
    public enum Kind { OK, FULL, ERROR, STALE, NOTE, PAGE, PROBE, UNKNOWN }

    /** Reads the parts of an answer. */
    public static EngineMessage of(List<byte[]> parts) {
        if (parts.size() < PARTS_LEAST) {
            throw new ProtocolException("an answer needs an id and a word");
        }
        Map<String, String> fields = parts.size() > 2 ? Resp.fields(text(parts.get(2))) : Map.of();
        return new EngineMessage(text(parts.get(0)), kind(text(parts.get(1))), fields,
                parts.size() > 3 ? parts.get(3) : new byte[0]);
    }

    private static Kind kind(String word) {
        return switch (word) {
            case "ACK" -> Kind.OK;
            case "AGAIN" -> Kind.FULL;
            case "EIO" -> Kind.ERROR;
            case "STALE" -> Kind.STALE;
            case "EVENT" -> Kind.NOTE;
            case "BLOCK" -> Kind.PAGE;
            case "READY", "AILING" -> Kind.PROBE;
            default -> Kind.UNKNOWN;
        };
    }

    /** The number of all pages, 1 where none is told. */
    public int pages() {
        return (int) number("parts", 1);
    }

    /** The number of a further page. */
    public int page() {
        return (int) number("part_no", -1);
    }

    /** The work that the query needed, 0 if not told. */
    public long workMicros() {
        return (long) (number("work", 0) * MICROS_PER_MILLI);
    }

    /** The memory that the query needed, in MB, 0 if not told. */
    public double memory() {
        return number("peak", 0);
    }

    /** The name of a note, empty if there is none. */
    public String note() {
        return fields.getOrDefault("remark", "");
    }

    /** The figure of a note. */
    public double amount() {
        return number("value", 0);
    }

    /** The engine's load, by the names of its figures. */
    public Map<String, Double> report() {
        Map<String, Double> report = new HashMap<>();
        for (String pair : fields.getOrDefault("report", "").split(";")) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                report.put(pair.substring(0, colon), number(pair.substring(colon + 1)));
            }
        }
        return report;
    }

    private double number(String name, double absent) {
        String value = fields.get(name);
        return value == null ? absent : number(value);
    }

    private static double number(String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ProtocolException("an answer's field holds no number: " + value);
        }
    }

    private static String text(byte[] part) {
        return new String(part, StandardCharsets.UTF_8);
    }
}
