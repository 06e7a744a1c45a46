package cairnline.simhost;

import java.util.HashMap;
import java.util.Map;

/** The name=value fields of one wire line, reused from line to line, or the values of a configuration. */
public final class Fields {
    private final Map<String, String> values = new HashMap<>();
    private String line = "";

    /** Returns the values of a configuration, keyed by their paths. */
    public static Fields of(Map<String, String> values) {
        Fields fields = new Fields();
        fields.values.putAll(values);
        fields.line = "settings";
        return fields;
    }

    /** Replaces the fields by those of a line and returns the line's first word. */
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

    String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    boolean has(String name) {
        return values.containsKey(name);
    }

    long integer(String name) {
        return parse(name, text(name));
    }

    /** Returns the integer value of a field, or {@code defaultValue} if the field is absent. */
    public long integer(String name, long defaultValue) {
        String value = values.get(name);
        return value == null ? defaultValue : parse(name, value);
    }

    double number(String name, double defaultValue) {
        String value = values.get(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new WireException("field " + name + " is not a number: " + value, line);
        }
    }

    boolean flag(String name, boolean defaultValue) {
        String value = values.get(name);
        return value == null ? defaultValue : value.equals("1") || value.equals("true");
    }

    private long parse(String name, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireException("field " + name + " is not an integer: " + value, line);
        }
    }
}
