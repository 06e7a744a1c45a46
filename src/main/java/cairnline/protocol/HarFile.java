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

/** The entries of a HAR 1.2 file, one after the other; the rest of each, its answer above all, is passed over. */
public final class HarFile implements Recording {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final JsonParser parser;
    private long number;

    /** Reads up to the first entry; throws {@link ProtocolException} if the file is no HAR. */
    public HarFile(InputStream in) throws IOException {
        parser = FACTORY.createParser(in);
        try {
            require(parser.nextToken() == JsonToken.START_OBJECT, "it is no object");
            enter("log", JsonToken.START_OBJECT);
            enter("entries", JsonToken.START_ARRAY);
        } catch (JsonParseException e) {
            throw new ProtocolException("no HAR file: " + e.getOriginalMessage());
        }
    }

    private void enter(String name, JsonToken kind) throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            boolean found = parser.currentName().equals(name);
            JsonToken value = parser.nextToken();
            if (found) {
                require(value == kind, name + " is not what it should be");
                return;
            }
            parser.skipChildren();
        }
        throw new ProtocolException("no HAR file: " + name + " is missing");
    }

    private static void require(boolean held, String problem) {
        if (!held) {
            throw new ProtocolException("no HAR file: " + problem);
        }
    }

    @Override
    public RecordedRequest next() throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            if (parser.currentToken() == null) {
                throw new IOException("the file ends inside its entries");
            }
            return null;
        }
        number++;
        String started = null;
        Map<String, Object> request = null;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            if (name.equals("startedDateTime")) {
                started = parser.getValueAsString();
            } else if (name.equals("request") && parser.currentToken() == JsonToken.START_OBJECT) {
                request = Json.asObject(Json.value(parser), "request");
            } else {
                parser.skipChildren();
            }
        }
        if (started == null || request == null) {
            throw new ProtocolException("startedDateTime or request is missing");
        }
        return entry(started, request);
    }

    private static RecordedRequest entry(String started, Map<String, Object> request) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (Object each : Json.asList(request.getOrDefault("headers", List.of()), "headers")) {
            Map<String, Object> header = Json.asObject(each, "headers");
            headers.put(Json.text(header, "name"), Json.text(header, "value"));
        }
        byte[] body = {};
        if (request.get("postData") != null) {
            Map<String, Object> post = Json.asObject(request.get("postData"), "postData");
            body = String.valueOf(post.getOrDefault("text", "")).getBytes(StandardCharsets.UTF_8);
        }
        try {
            return RecordedRequest.of(OffsetDateTime.parse(started).toInstant().toEpochMilli(),
                    Json.text(request, "method"), Json.text(request, "url"), headers, body);
        } catch (DateTimeException e) {
            throw new ProtocolException("startedDateTime is no time: " + started);
        }
    }

    @Override
    public String place() {
        return "entry " + number;
    }

    @Override
    public void close() throws IOException {
        parser.close();
    }
}
