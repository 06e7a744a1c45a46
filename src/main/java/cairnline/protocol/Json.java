package cairnline.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON as maps, lists, text, numbers ({@link BigDecimal}), booleans and null. */
public final class Json {
    private static final int DEEPEST = 64;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(DEEPEST).build())
            .build();

    private Json() { }

    /** Reads one value and nothing after it. */
    public static Object read(byte[] bytes) {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            parser.nextToken();
            Object value = value(parser);
            if (parser.nextToken() != null) {
                throw new ProtocolException("JSON goes on after its value");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new ProtocolException("not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads one object. */
    public static Map<String, Object> object(byte[] bytes) {
        return asObject(read(bytes), "JSON");
    }

    /** This value as an object. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> asObject(Object value, String name) {
        if (value instanceof Map<?, ?>) {
            return (Map<String, Object>) value;
        }
        throw new ProtocolException(name + " is not an object");
    }

    /** This value as a list. */
    @SuppressWarnings("unchecked")
    public static List<Object> asList(Object value, String name) {
        if (value instanceof List<?>) {
            return (List<Object>) value;
        }
        throw new ProtocolException(name + " is not a list");
    }

    /** A text member. */
    public static String text(Map<String, Object> object, String name) {
        if (object.get(name) instanceof String text) {
            return text;
        }
        throw new ProtocolException(name + " is not text");
    }

    /** A number member, or what stands for its absence. */
    public static double number(Map<String, Object> object, String name, double absent) {
        Object value = object.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof BigDecimal number) {
            return number.doubleValue();
        }
        throw new ProtocolException(name + " is not a number");
    }

    /** Writes a value of the kinds that are read. */
    public static byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            write(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    static Object value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new ProtocolException("JSON ends before its value");
        }
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> object = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    object.put(name, value(parser));
                }
                return object;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser));
                }
                return list;
            }
            case VALUE_STRING -> {
                return parser.getText();
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return parser.getDecimalValue();
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return token == JsonToken.VALUE_TRUE;
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> throw new ProtocolException("unexpected " + token + " in JSON");
        }
    }

    private static void write(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Map<?, ?> object) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : object.entrySet()) {
                out.writeFieldName(entry.getKey().toString());
                write(out, entry.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object item : list) {
                write(out, item);
            }
            out.writeEndArray();
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value instanceof Number number) {
            out.writeNumber(new BigDecimal(number.toString()));
        } else if (value == null) {
            out.writeNull();
        } else {
            out.writeString(value.toString());
        }
    }
}
