package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A message from an engine: {@code ID WORD FIELDS BODY}, in which the word states the kind of message. */
public record EngineMessage(String id, Kind kind, Map<String, String> fields, byte[] body) {
    private static final int MIN_PARTS = 2;
    private static final int PARTS_WITH_BODY = 4;
    private static final int ROW_COLUMNS = 3;
    /** Exclusive upper bound of work, memory and load values, whatever their unit. */
    private static final double FIELD_VALUE_LIMIT = 1e12;
    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * Kinds of messages: OK carries the first page of a result and PAGE a further one; FULL means that the engine has no room,
     * ERROR that the query failed, STALE that it was not executed; STATUS reports on a running query, PROBE on the load.
     */
    public enum Kind { OK, FULL, ERROR, STALE, STATUS, PAGE, PROBE }

    /** Parses the parts of a message; throws {@link ProtocolException} if they are malformed. */
    public static EngineMessage parse(List<byte[]> parts) {
        if (parts.size() < MIN_PARTS) {
            throw new ProtocolException("message from engine lacks an id or a word");
        }
        Kind kind = kind(text(parts.get(1)));
        if (parts.size() < PARTS_WITH_BODY && (kind == Kind.OK || kind == Kind.PAGE)) {
            throw new ProtocolException("message from engine lacks a body");
        }
        return new EngineMessage(text(parts.get(0)), kind, parts.size() > 2 ? Resp.fields(text(parts.get(2))) : Map.of(),
                parts.size() > 3 ? parts.get(3) : new byte[0]);
    }

    /** Returns whether these are complete rows: each has three columns separated by tabs and ends with a line feed. */
    public static boolean isRows(byte[] page) {
        int tabs = 0;
        for (byte b : page) {
            if (b == '\t') {
                tabs++;
            } else if (b == '\n' && tabs == ROW_COLUMNS - 1) {
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
            default -> throw new ProtocolException("unknown word in message from engine: " + word);
        };
    }

    /** Returns the number of pages of the result, 1 if the field is absent. */
    public int pageCount() {
        return (int) number("parts", 1);
    }

    /** Returns the index of the page in this message, -1 if the field is absent. */
    public int pageNumber() {
        return (int) number("part_no", -1);
    }

    /** Returns the work that the query took in microseconds on one core, 0 if the field is absent. */
    public long workMicros() {
        return (long) (number("work", 0) * MICROS_PER_MILLI);
    }

    /** Returns the memory that the query used in megabytes, 0 if the field is absent. */
    public double memory() {
        return number("peak", 0);
    }

    /** Returns the name of a status update, empty if the field is absent. */
    public String statusName() {
        return fields.getOrDefault("remark", "");
    }

    /** Returns the value of a status update, 0 if the field is absent. */
    public double statusValue() {
        return number("value", 0);
    }

    /** Returns the load that the engine reports, by the names of its values. */
    public Map<String, Double> loadReport() {
        Map<String, Double> loadReport = new HashMap<>();
        for (String pair : fields.getOrDefault("report", "").split(";")) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                loadReport.put(pair.substring(0, colon), number(pair.substring(colon + 1)));
            }
        }
        return loadReport;
    }

    private double number(String name, double defaultValue) {
        String value = fields.get(name);
        return value == null ? defaultValue : number(value);
    }

    private static double number(String value) {
        try {
            double number = Double.parseDouble(value);
            if (number >= 0 && number < FIELD_VALUE_LIMIT) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, as are values out of range.
        }
        throw new ProtocolException("field of message from engine is not a valid number: " + value);
    }

    private static String text(byte[] part) {
        return new String(part, StandardCharsets.UTF_8);
    }
}
