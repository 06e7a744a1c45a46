package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An engine's answer: {@code ID WORD FIELDS BODY}. */
public record EngineMessage(String id, Kind kind, Map<String, String> fields, byte[] body) {
    private static final int PARTS_LEAST = 2;
    private static final int PARTS = 4;
    private static final int COLUMNS = 3;
    /** Above all that is counted here, in any unit. */
    private static final double LARGEST = 1e12;
    private static final double MICROS_PER_MILLI = 1_000;

    /** What an answer says. */
    public enum Kind { OK, FULL, ERROR, STALE, STATUS, PAGE, PROBE }

    /** Reads the parts of an answer. */
    public static EngineMessage of(List<byte[]> parts) {
        if (parts.size() < PARTS_LEAST) {
            throw new ProtocolException("an answer needs an id and a word");
        }
        Kind kind = kind(text(parts.get(1)));
        if (parts.size() < PARTS && (kind == Kind.OK || kind == Kind.PAGE)) {
            throw new ProtocolException("an answer with rows needs a body");
        }
        return new EngineMessage(text(parts.get(0)), kind, parts.size() > 2 ? Resp.fields(text(parts.get(2))) : Map.of(),
                parts.size() > 3 ? parts.get(3) : new byte[0]);
    }

    /** Whether these are whole rows, as a page holds them: three columns with tabs between and a line feed each. */
    public static boolean isRows(byte[] page) {
        int tabs = 0;
        for (byte b : page) {
            if (b == '\t') {
                tabs++;
            } else if (b == '\n' && tabs == COLUMNS - 1) {
                tabs = 0;
            } else if (b == '\n' || b == 0) {
                return false;
            }
        }
        return page.length == 0 || page[page.length - 1] == '\n';
    }

    private static Kind kind(String word) {
        return switch (word) {
            case "ACK" -> Kind.OK;
            case "AGAIN" -> Kind.FULL;
            case "EIO" -> Kind.ERROR;
            case "STALE" -> Kind.STALE;
            case "EVENT" -> Kind.STATUS;
            case "BLOCK" -> Kind.PAGE;
            case "READY", "AILING" -> Kind.PROBE;
            default -> throw new ProtocolException("no engine's word: " + word);
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
            double number = Double.parseDouble(value);
            if (number >= 0 && number < LARGEST) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below, with all other values that can't be used.
        }
        throw new ProtocolException("an answer's field holds no number: " + value);
    }

    private static String text(byte[] part) {
        return new String(part, StandardCharsets.UTF_8);
    }
}
