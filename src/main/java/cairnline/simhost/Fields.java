package cairnline.simhost;

import java.util.HashMap;
import java.util.Map;

/** The name=value parts of one wire line; used anew for each line, or a configuration's values. */
public final class Fields {
    private final Map<String, String> values = new HashMap<>();
    private String line = "";

    /** The values of a configuration, by their paths. */
    public static Fields of(Map<String, String> values) {
        Fields fields = new Fields();
        fields.values.putAll(values);
        fields.line = "settings";
        return fields;
    }

    /** Splits a line and returns its first part. */
    public String read(String text) {
        line = text;
        values.clear();
        int end = text.indexOf(' ');
        String name = end < 0 ? text : text.substring(0, end);
        while (end >= 0) {
            int start = end + 1;
            end = text.indexOf(' ', start);
            int stop = end < 0 ? text.length() : end;
            int equals = text.indexOf('=', start);
            if (equals > start && equals < stop) {
                values.put(text.substring(start, equals), text.substring(equals + 1, stop));
            }
        }
        return name;
    }

    String text(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new WireException("field " + name + " is missing", line);
        }
        return value;
    }

    String text(String name, String absent) {
        return values.getOrDefault(name, absent);
    }

    boolean has(String name) {
        return values.containsKey(name);
    }

    long integer(String name) {
        return parse(name, text(name));
    }

    /** A whole number, or what stands for its absence. */
    public long integer(String name, long absent) {
        String value = values.get(name);
        return value == null ? absent : parse(name, value);
    }

    double number(String name, double absent) {
        String value = values.get(name);
        if (value == null) {
            return absent;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new WireException("field " + name + " is not a number: " + value, line);
        }
    }

    boolean flag(String name, boolean absent) {
        String value = values.get(name);
        return value == null ? absent : value.equals("1") || value.equals("true");
    }

    private long parse(String name, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireException("field " + name + " is not a whole number: " + value, line);
        }
    }
}
