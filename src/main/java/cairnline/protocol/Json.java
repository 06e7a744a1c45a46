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

/** Reads and writes JSON as maps, lists, strings, numbers ({@link BigDecimal}), booleans and null. */
public final class Json {
    private static final int MAX_NESTING_DEPTH = 64;
    /** Names are not kept beyond their document, since peers choose them. */
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES).disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
            .build();

    private Json() { }

    /** Parses one value; throws {@link ProtocolException} if the input is malformed or continues after it. */
    public static Object read(byte[] bytes) {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            parser.nextToken();
            Object value = readValue(parser);
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

    /** Handles one member of an object that is read as a stream. */
    interface MemberHandler {
        /** Handles a member. The parser is at its first token, and is left there or at its last token. */
        void handle(String name, JsonParser parser) throws IOException;
    }

    /**
     * Reads one object member by member, so that no more of it is held than the handler keeps; throws {@link ProtocolException}
     * if the input is malformed, no object, or continues after it.
     */
    static void forEachMember(byte[] bytes, MemberHandler handler) {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            parser.nextToken();
            forEachMember(parser, "JSON", handler);
            if (parser.nextToken() != null) {
                throw new ProtocolException("JSON goes on after its value");
            }
        } catch (JsonProcessingException e) {
            throw new ProtocolException("not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads the members of the object at the current token; throws {@link ProtocolException} with this name for other values. */
    static void forEachMember(JsonParser parser, String name, MemberHandler handler) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new ProtocolException(name + " is not an object");
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String member = parser.currentName();
            parser.nextToken();
            handler.handle(member, parser);
            // Does nothing at a scalar, or at the end of a value that was read.
            parser.skipChildren();
        }
    }

    /** Reads the string at the current token; throws {@link ProtocolException} with this name for any other value. */
    static String text(JsonParser parser, String name) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw new ProtocolException(name + " is not text");
        }
        return parser.getText();
    }

    /** Returns the value at the current token encoded again, without spaces, and numbers as they are written. */
    static byte[] copyValue(JsonParser parser) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            int depth = 0;
            do {
                depth += parser.currentToken().isStructStart() ? 1 : parser.currentToken().isStructEnd() ? -1 : 0;
                if (parser.currentToken().isNumeric()) {
                    generator.writeNumber(parser.getTextCharacters(), parser.getTextOffset(), parser.getTextLength());
                } else {
                    generator.copyCurrentEvent(parser);
                }
            } while (depth > 0 && parser.nextToken() != null);
        }
        return out.toByteArray();
    }

    /** Parses one object; throws {@link ProtocolException} for any other value. */
    public static Map<String, Object> object(byte[] bytes) {
        return asObject(read(bytes), "JSON");
    }

    /** Returns the value as an object; throws {@link ProtocolException} with this name if it is not one. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> asObject(Object value, String name) {
        if (value instanceof Map<?, ?>) {
            return (Map<String, Object>) value;
        }
        throw new ProtocolException(name + " is not an object");
    }

    /** Returns the value as a list; throws {@link ProtocolException} with this name if it is not one. */
    @SuppressWarnings("unchecked")
    public static List<Object> asList(Object value, String name) {
        if (value instanceof List<?>) {
            return (List<Object>) value;
        }
        throw new ProtocolException(name + " is not a list");
    }

    /** Returns a string member; throws {@link ProtocolException} if it is absent or not a string. */
    public static String text(Map<String, Object> object, String name) {
        if (object.get(name) instanceof String text) {
            return text;
        }
        throw new ProtocolException(name + " is not text");
    }

    /** Returns a number member, or the default if it is absent or null; throws {@link ProtocolException} for other types. */
    public static double number(Map<String, Object> object, String name, double defaultValue) {
        Object value = object.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof BigDecimal number) {
            return number.doubleValue();
        }
        throw new ProtocolException(name + " is not a number");
    }

    /** Encodes a value of the types that {@link #read} returns; any other type is written as its string. */
    public static byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            write(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /** Reads the value at the current token of the parser. */
    static Object readValue(JsonParser parser) throws IOException {
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
                    object.put(name, readValue(parser));
                }
                return object;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(readValue(parser));
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
