package cairnline.protocol;

import cairnline.protocol.ODataBatch.Item;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Parses the requests of a JSON batch as a stream: a tree of its values would take many times the memory of its text, however
 * few of the values are used.
 */
final class JsonBatchParser {
    private final int maxRequests;
    private final List<Item> items = new ArrayList<>();
    /** Ids and groups of the requests so far, of which later ones may depend. */
    private final Set<String> knownIds = new HashSet<>();
    private boolean requestsFound;

    /** Creates a parser that throws {@link ODataException} at the first request that is too many. */
    JsonBatchParser(int maxRequests) {
        this.maxRequests = maxRequests;
    }

    /** The members of one request that have been read so far. */
    private static final class Members {
        String id;
        String group;
        String method;
        String url;
        final List<String> dependsOn = new ArrayList<>();
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body;
        private int headerBytes;

        void addHeader(String name, String value) {
            headerBytes += name.length() + value.length();
            ODataBatch.checkHeadSize(headerBytes);
            headers.put(name.toLowerCase(Locale.ROOT), value);
        }
    }

    /** Returns the requests in the order of the batch; throws {@link ProtocolException} if it is malformed. */
    List<Item> parse(byte[] batch) {
        Json.forEachMember(batch, (name, parser) -> {
            if (name.equals("requests")) {
                readRequests(parser);
            }
        });
        if (!requestsFound) {
            throw new ProtocolException("requests is not a list");
        }
        return items;
    }

    private void readRequests(JsonParser parser) throws IOException {
        if (requestsFound || parser.currentToken() != JsonToken.START_ARRAY) {
            throw new ProtocolException(requestsFound ? "requests is given twice" : "requests is not a list");
        }
        requestsFound = true;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(readRequest(parser));
            ODataBatch.checkCount(items.size(), maxRequests);
        }
    }

    private Item readRequest(JsonParser parser) throws IOException {
        Members members = new Members();
        Json.forEachMember(parser, "request", (name, value) -> readMember(members, name, value));
        if (members.id == null || members.method == null || members.url == null) {
            throw new ProtocolException((members.id == null ? "id" : members.method == null ? "method" : "url") + " is not text");
        }
        for (String dependency : members.dependsOn) {
            if (!knownIds.contains(dependency)) {
                throw new ProtocolException("dependsOn names no earlier request: " + dependency);
            }
        }
        if (!knownIds.add(members.id)) {
            throw new ProtocolException("id is given twice: " + members.id);
        }
        if (members.group != null) {
            knownIds.add(members.group);
        }
        if (members.body != null) {
            members.headers.putIfAbsent("content-type", "application/json");
        }
        return new Item(members.id, members.group, members.dependsOn, HttpMessage.request(
                members.method.toUpperCase(Locale.ROOT), ODataBatch.pathOf(members.url), members.headers,
                members.body == null ? new byte[0] : members.body));
    }

    private void readMember(Members members, String name, JsonParser value) throws IOException {
        switch (name) {
            case "id" -> members.id = Json.text(value, name);
            case "atomicityGroup" -> members.group = Json.text(value, name);
            case "method" -> members.method = Json.text(value, name);
            case "url" -> members.url = Json.text(value, name);
            case "dependsOn" -> readDependencies(members, value);
            case "headers" -> Json.forEachMember(value, name, (header, text) -> {
                if (text.currentToken().isStructStart()) {
                    throw new ProtocolException("header " + header + " is not text");
                }
                members.addHeader(header, text.getText());
            });
            case "body" -> members.body = value.currentToken() == JsonToken.VALUE_NULL ? null
                    : value.currentToken() == JsonToken.VALUE_STRING ? value.getText().getBytes(StandardCharsets.UTF_8)
                    : Json.copyValue(value);
            default -> { }
        }
    }

    private void readDependencies(Members members, JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw new ProtocolException("dependsOn is not a list");
        }
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken().isStructStart()) {
                throw new ProtocolException("dependsOn names no earlier request");
            }
            members.dependsOn.add(parser.getText());
            ODataBatch.checkCount(members.dependsOn.size(), maxRequests);
        }
    }
}
