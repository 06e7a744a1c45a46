package cairnline.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The requests of a {@code $batch}, in JSON or multipart, and the writing of its answers in the same form. */
public final class ODataBatch {
    private static final String BOUNDARY = "batchresponse_cairnline";

    private final List<Item> items;
    private final boolean json;
    private final boolean continueOnError;

    private ODataBatch(List<Item> items, boolean json, boolean continueOnError) {
        this.items = items;
        this.json = json;
        this.continueOnError = continueOnError;
    }

    /** One request; {@code group} is its atomicity group, null without; {@code dependsOn} names earlier ones. */
    public record Item(String id, String group, List<String> dependsOn, HttpMessage request) { }

    /** Reads a batch of so many requests at most. */
    public static ODataBatch read(HttpMessage http, int most) {
        String type = http.header("content-type");
        String plain = type.toLowerCase(Locale.ROOT);
        boolean json = plain.startsWith("application/json");
        if (!json && !plain.startsWith("multipart/mixed")) {
            throw new ODataException(415, "a batch is JSON or multipart/mixed");
        }
        List<Item> items = new ArrayList<>();
        try {
            if (json) {
                jsonItems(http.body(), items);
            } else {
                multipartItems(http.body(), boundary(type), items);
            }
        } catch (ProtocolException e) {
            throw new ODataException(400, "the batch can't be read: " + e.getMessage());
        }
        if (items.size() > most) {
            throw new ODataException(413, "the batch holds more than " + most + " requests");
        }
        for (Item item : items) {
            if (path(item.request().target()).startsWith("/$batch")) {
                throw new ODataException(400, "a batch can't hold a batch");
            }
        }
        return new ODataBatch(items, json, continues(http.header("prefer")));
    }

    /** The requests, in their order. */
    public List<Item> items() {
        return items;
    }

    /** Whether what follows an error is still served. */
    public boolean continueOnError() {
        return continueOnError;
    }

    /** Whether each request waits for the one before: so in multipart, while JSON says what depends on what. */
    public boolean sequential() {
        return !json;
    }

    /** The groups of more than one request: they would have to happen together or not at all. */
    public Set<String> multiRequestGroups() {
        Set<String> seen = new HashSet<>();
        Set<String> many = new HashSet<>();
        for (Item item : items) {
            if (item.group() != null && !seen.add(item.group())) {
                many.add(item.group());
            }
        }
        return many;
    }

    /** The answer that holds these answers, one for each request; null for a request that was not processed. */
    public HttpMessage answer(List<HttpMessage> answers) {
        return json ? jsonAnswer(answers) : multipartAnswer(answers);
    }

    private static boolean continues(String prefer) {
        String plain = prefer.toLowerCase(Locale.ROOT).replace("odata.", "");
        return plain.contains("continue-on-error") && !plain.contains("continue-on-error=false");
    }

    /** A target without scheme and host, from the service's root. */
    private static String path(String url) {
        String path = url.replaceFirst("^https?://[^/]*", "");
        return path.startsWith("/") ? path : "/" + path;
    }

    // ---- JSON ----

    private static void jsonItems(byte[] body, List<Item> items) {
        Set<String> seen = new HashSet<>();
        for (Object each : Json.asList(Json.object(body).get("requests"), "requests")) {
            Map<String, Object> request = Json.asObject(each, "request");
            String id = Json.text(request, "id");
            String group = request.containsKey("atomicityGroup") ? Json.text(request, "atomicityGroup") : null;
            List<String> dependsOn = new ArrayList<>();
            for (Object on : Json.asList(request.getOrDefault("dependsOn", List.of()), "dependsOn")) {
                if (!seen.contains(String.valueOf(on))) {
                    throw new ProtocolException("dependsOn names no earlier request: " + on);
                }
                dependsOn.add(String.valueOf(on));
            }
            if (!seen.add(id)) {
                throw new ProtocolException("id is given twice: " + id);
            }
            if (group != null) {
                seen.add(group);
            }
            Map<String, String> headers = new LinkedHashMap<>();
            Json.asObject(request.getOrDefault("headers", Map.of()), "headers").forEach((name, value) ->
                    headers.put(name.toLowerCase(Locale.ROOT), String.valueOf(value)));
            Object held = request.get("body");
            byte[] bytes = held == null ? new byte[0] : held instanceof String text
                    ? text.getBytes(StandardCharsets.UTF_8) : Json.write(held);
            if (held != null) {
                headers.putIfAbsent("content-type", "application/json");
            }
            items.add(new Item(id, group, dependsOn, HttpMessage.request(
                    Json.text(request, "method").toUpperCase(Locale.ROOT), path(Json.text(request, "url")), headers,
                    bytes)));
        }
    }

    private HttpMessage jsonAnswer(List<HttpMessage> answers) {
        List<Object> responses = new ArrayList<>();
        for (int i = 0; i < answers.size(); i++) {
            HttpMessage answer = answers.get(i);
            if (answer == null) {
                continue;
            }
            Map<String, Object> response = new LinkedHashMap<>();
            response.put("id", items.get(i).id());
            if (items.get(i).group() != null) {
                response.put("atomicityGroup", items.get(i).group());
            }
            response.put("status", answer.status());
            Map<String, String> headers = new LinkedHashMap<>(answer.headers());
            headers.remove("content-length");
            response.put("headers", headers);
            if (answer.body().length > 0) {
                boolean isJson = answer.header("content-type").startsWith("application/json");
                response.put("body", isJson ? Json.read(answer.body())
                        : new String(answer.body(), StandardCharsets.UTF_8));
            }
            responses.add(response);
        }
        return HttpMessage.response(200, "application/json", Json.write(Map.of("responses", responses)));
    }

    // ---- Multipart ----

    private static String boundary(String type) {
        int at = type.toLowerCase(Locale.ROOT).indexOf("boundary=");
        String value = at < 0 ? "" : type.substring(at + "boundary=".length()).split(";", 2)[0].strip();
        value = value.startsWith("\"") && value.endsWith("\"") && value.length() > 1
                ? value.substring(1, value.length() - 1) : value;
        if (value.isEmpty()) {
            throw new ProtocolException("multipart/mixed names no boundary");
        }
        return value;
    }

    private static void multipartItems(byte[] body, String boundary, List<Item> items) {
        for (byte[] part : parts(body, boundary)) {
            Map<String, String> headers = partHeaders(part);
            String type = headers.getOrDefault("content-type", "");
            if (type.toLowerCase(Locale.ROOT).startsWith("multipart/mixed")) {
                String group = "change set " + (items.size() + 1);
                for (byte[] inner : parts(partBody(part), boundary(type))) {
                    items.add(item(inner, group, items.size()));
                }
            } else {
                items.add(item(part, null, items.size()));
            }
        }
    }

    private static Item item(byte[] part, String group, int number) {
        Map<String, String> headers = partHeaders(part);
        if (!headers.getOrDefault("content-type", "").toLowerCase(Locale.ROOT).startsWith("application/http")) {
            throw new ProtocolException("a part is not application/http");
        }
        byte[] body = partBody(part);
        HttpMessage told = embedded(body);
        HttpMessage request = HttpMessage.request(told.method(), path(told.target()), told.headers(), told.body());
        return new Item(headers.getOrDefault("content-id", Integer.toString(number + 1)), group, List.of(), request);
    }

    /** A request inside a part may leave out the length of its body: the part's end is the body's. */
    private static HttpMessage embedded(byte[] bytes) {
        int end = headEnd(bytes);
        if (end < 0) {
            return HttpMessage.parse(concat(bytes, "\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        }
        byte[] body = Arrays.copyOfRange(bytes, end, bytes.length);
        byte[] head = Arrays.copyOf(bytes, end);
        HttpDecoder decoder = new HttpDecoder(head.length, bytes.length);
        decoder.feed(head, head.length);
        HttpMessage message = decoder.next();
        if (message != null) {
            return message.withBody(body);
        }
        decoder.feed(body, body.length);
        message = decoder.next();
        if (message == null) {
            throw new ProtocolException("a request in a part ends early");
        }
        return message;
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    /** The bytes between the boundary lines, each without the line end that belongs to the boundary. */
    private static List<byte[]> parts(byte[] body, String boundary) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        String mark = "--" + boundary;
        List<byte[]> parts = new ArrayList<>();
        int start = -1;
        for (int at = text.indexOf(mark); at >= 0; at = text.indexOf(mark, at + mark.length())) {
            boolean lineStart = at == 0 || text.charAt(at - 1) == '\n';
            int after = at + mark.length();
            boolean ends = text.startsWith("--", after);
            if (!lineStart || !ends && after < text.length() && "\r\n \t".indexOf(text.charAt(after)) < 0) {
                continue;
            }
            if (start >= 0) {
                int stop = at - (at > start + 1 && text.charAt(at - 2) == '\r' ? 2 : 1);
                parts.add(Arrays.copyOfRange(body, start, Math.max(start, stop)));
            }
            if (ends) {
                return parts;
            }
            start = text.indexOf('\n', after) + 1;
            if (start == 0) {
                break;
            }
        }
        throw new ProtocolException("the last boundary of the multipart body is missing");
    }

    private static int headEnd(byte[] bytes) {
        for (int i = 1; i < bytes.length; i++) {
            if (bytes[i] == '\n' && (bytes[i - 1] == '\n' || i > 2 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n')) {
                return i + 1;
            }
        }
        return -1;
    }

    private static Map<String, String> partHeaders(byte[] part) {
        int end = headEnd(part);
        if (end < 0) {
            throw new ProtocolException("a part has no head");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line : new String(part, 0, end, StandardCharsets.UTF_8).split("\r?\n")) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            }
        }
        return headers;
    }

    private static byte[] partBody(byte[] part) {
        return Arrays.copyOfRange(part, headEnd(part), part.length);
    }

    private HttpMessage multipartAnswer(List<HttpMessage> answers) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < answers.size(); i++) {
            if (answers.get(i) != null) {
                String head = "--" + BOUNDARY + "\r\ncontent-type: application/http\r\ncontent-id: "
                        + items.get(i).id() + "\r\n\r\n";
                out.writeBytes(head.getBytes(StandardCharsets.UTF_8));
                out.writeBytes(answers.get(i).encode());
                out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
        out.writeBytes(("--" + BOUNDARY + "--\r\n").getBytes(StandardCharsets.US_ASCII));
        return HttpMessage.response(200, "multipart/mixed; boundary=" + BOUNDARY, out.toByteArray());
    }
}
