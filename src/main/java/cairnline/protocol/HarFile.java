package cairnline.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Streams the requests of a HAR 1.2 file. All other members of its entries, such as the response, are skipped. */
public final class HarFile implements Recording {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final JsonParser parser;
    private long entryNumber;

    /** Reads up to the first entry; throws {@link ProtocolException} if the input is not a HAR file. */
    public HarFile(InputStream in) throws IOException {
        parser = FACTORY.createParser(in);
        try {
            require(parser.nextToken() == JsonToken.START_OBJECT, "the root is not an object");
            advanceInto("log", JsonToken.START_OBJECT);
            advanceInto("entries", JsonToken.START_ARRAY);
        } catch (JsonParseException e) {
            throw new ProtocolException("not a HAR file: " + e.getOriginalMessage());
        }
    }

    /** Skips members of the current object up to this one, and enters its value. */
    private void advanceInto(String name, JsonToken expected) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            boolean isMember = parser.currentName().equals(name);
            JsonToken value = parser.nextToken();
            if (isMember) {
                require(value == expected, name + " has the wrong type");
                return;
            }
            parser.skipChildren();
        }
        throw new ProtocolException("not a HAR file: " + name + " is missing");
    }

    private static void require(boolean condition, String problem) {
        if (!condition) {
            throw new ProtocolException("not a HAR file: " + problem);
        }
    }

    @Override
    public RecordedRequest next() throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            if (parser.currentToken() == null) {
                throw new IOException("the file ends within the list of entries");
            }
            return null;
        }
        entryNumber++;
        String startedDateTime = null;
        Map<String, Object> request = null;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            if (name.equals("startedDateTime")) {
                startedDateTime = parser.getValueAsString();
            } else if (name.equals("request") && parser.currentToken() == JsonToken.START_OBJECT) {
                request = Json.asObject(Json.readValue(parser), "request");
            } else {
                parser.skipChildren();
            }
        }
        if (startedDateTime == null || request == null) {
            throw new ProtocolException("startedDateTime or request is missing");
        }
        return toRequest(startedDateTime, request);
    }

    private static RecordedRequest toRequest(String startedDateTime, Map<String, Object> request) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (Object value : Json.asList(request.getOrDefault("headers", List.of()), "headers")) {
            Map<String, Object> header = Json.asObject(value, "headers");
            headers.put(Json.text(header, "name"), Json.text(header, "value"));
        }
        byte[] body = {};
        if (request.get("postData") != null) {
            Map<String, Object> postData = Json.asObject(request.get("postData"), "postData");
            body = String.valueOf(postData.getOrDefault("text", "")).getBytes(StandardCharsets.UTF_8);
        }
        try {
            return RecordedRequest.of(OffsetDateTime.parse(startedDateTime).toInstant().toEpochMilli(),
                    Json.text(request, "method"), Json.text(request, "url"), headers, body);
        } catch (DateTimeException e) {
            throw new ProtocolException("startedDateTime is no time: " + startedDateTime);
        }
    }

    @Override
    public String position() {
        return "entry " + entryNumber;
    }

    @Override
    public void close() throws IOException {
        parser.close();
    }
}
