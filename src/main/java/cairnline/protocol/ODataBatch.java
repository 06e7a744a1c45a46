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

/** A parsed OData {@code $batch} request in JSON or multipart format, and the encoder of its response in the same format. */
public final class ODataBatch {
    private static final String BOUNDARY = "batchresponse_cairnline";
    private static final int STATUS_BAD_GATEWAY = 502;
    /** Each header is an object of many times the size of a short text. */
    private static final int MAX_HEAD_BYTES = 16_384;

    private final List<Item> items;
    private final boolean json;
    private final boolean continueOnError;

    private ODataBatch(List<Item> items, boolean json, boolean continueOnError) {
        this.items = items;
        this.json = json;
        this.continueOnError = continueOnError;
    }

    /** A request of the batch; {@code group} is its atomicity group or null, {@code dependsOn} holds ids of earlier requests. */
    public record Item(String id, String group, List<String> dependsOn, HttpMessage request) { }

    /** Parses a batch; throws {@link ODataException} if it is malformed or has more than {@code maxRequests} requests. */
    public static ODataBatch read(HttpMessage http, int maxRequests) {
        String type = http.header("content-type");
        String lowerCase = type.toLowerCase(Locale.ROOT);
        boolean json = lowerCase.startsWith("application/json");
        if (!json && !lowerCase.startsWith("multipart/mixed")) {
            throw new ODataException(415, "a batch is JSON or multipart/mixed");
        }
        List<Item> items = new ArrayList<>();
        try {
            if (json) {
                items.addAll(new JsonBatchParser(maxRequests).parse(http.body()));
            } else {
                parseMultipartItems(http.body(), boundaryOf(type), maxRequests, items);
            }
        } catch (ProtocolException e) {
            throw new ODataException(400, "the batch can't be read: " + e.getMessage());
        }
        checkCount(items.size(), maxRequests);
        for (Item item : items) {
            if (pathOf(item.request().target()).startsWith("/$batch")) {
                throw new ODataException(400, "a batch can't hold a batch");
            }
        }
        return new ODataBatch(items, json, prefersContinueOnError(http.header("prefer")));
    }

    /** Throws {@link ODataException} if a batch has too many requests. */
    static void checkCount(int requests, int maxRequests) {
        if (requests > maxRequests) {
            throw new ODataException(413, "the batch holds more than " + maxRequests + " requests");
        }
    }

    /** Returns the requests in the order of the batch. */
    public List<Item> items() {
        return items;
    }

    /** Returns an estimate of the bytes of memory that the requests hold. */
    public long heldBytes() {
        return items.stream().mapToLong(item -> item.request().heldBytes()).sum();
    }

    /** Returns whether the client prefers that requests after a failed one are still processed. */
    public boolean continueOnError() {
        return continueOnError;
    }

    /** Returns whether requests run one after another. Multipart batches do; JSON batches list dependencies instead. */
    public boolean sequential() {
        return !json;
    }

    /** Returns the atomicity groups of more than one request, which would have to be executed atomically. */
    public Set<String> multiRequestGroups() {
        Set<String> knownGroups = new HashSet<>();
        Set<String> multiRequestGroups = new HashSet<>();
        for (Item item : items) {
            if (item.group() != null && !knownGroups.add(item.group())) {
                multiRequestGroups.add(item.group());
            }
        }
        return multiRequestGroups;
    }

    /** Encodes the response of the batch from one answer for each request; null marks a request that was not processed. */
    public HttpMessage answer(List<HttpMessage> answers) {
        return json ? jsonAnswer(answers) : multipartAnswer(answers);
    }

    private static boolean prefersContinueOnError(String prefer) {
        String lowerCase = prefer.toLowerCase(Locale.ROOT).replace("odata.", "");
        return lowerCase.contains("continue-on-error") && !lowerCase.contains("continue-on-error=false");
    }

    /** Returns the target of a URL without scheme and host, relative to the service root. */
    static String pathOf(String url) {
        String path = url.replaceFirst("^https?://[^/]*", "");
        return path.startsWith("/") ? path : "/" + path;
    }

    // ---- JSON ----

    private HttpMessage jsonAnswer(List<HttpMessage> answers) {
        List<Object> responses = new ArrayList<>();
        for (int i = 0; i < answers.size(); i++) {
            if (answers.get(i) != null) {
                responses.add(jsonResponse(items.get(i), answers.get(i)));
            }
        }
        return HttpMessage.response(200, "application/json", Json.write(Map.of("responses", responses)));
    }

    /** Returns the response of a part; one that says that it is JSON and is not fails alone. */
    private static Map<String, Object> jsonResponse(Item item, HttpMessage answer) {
        try {
            return jsonResponse(item, answer, jsonBody(answer));
        } catch (ProtocolException e) {
            HttpMessage error = ODataModel.error(STATUS_BAD_GATEWAY, "the engine's answer can't be read: " + e.getMessage());
            return jsonResponse(item, error, jsonBody(error));
        }
    }

    private static Map<String, Object> jsonResponse(Item item, HttpMessage answer, Object body) {
        Map<String, Object> response = new LinkedHashMap<>();
        response.put("id", item.id());
        if (item.group() != null) {
            response.put("atomicityGroup", item.group());
        }
        response.put("status", answer.status());
        Map<String, String> headers = new LinkedHashMap<>(answer.headers());
        headers.remove("content-length");
        response.put("headers", headers);
        if (answer.body().length > 0) {
            response.put("body", body);
        }
        return response;
    }

    private static Object jsonBody(HttpMessage answer) {
        boolean isJson = answer.body().length > 0 && answer.header("content-type").startsWith("application/json");
        return isJson ? Json.read(answer.body()) : new String(answer.body(), StandardCharsets.UTF_8);
    }

    // ---- Multipart ----

    private static String boundaryOf(String type) {
        int position = type.toLowerCase(Locale.ROOT).indexOf("boundary=");
        String value = position < 0 ? "" : type.substring(position + "boundary=".length()).split(";", 2)[0].strip();
        value = value.startsWith("\"") && value.endsWith("\"") && value.length() > 1
                ? value.substring(1, value.length() - 1) : value;
        if (value.isEmpty()) {
            throw new ProtocolException("multipart/mixed names no boundary");
        }
        return value;
    }

    private static void parseMultipartItems(byte[] body, String boundary, int maxRequests, List<Item> items) {
        for (byte[] part : splitParts(body, boundary, maxRequests)) {
            Map<String, String> headers = partHeaders(part);
            String type = headers.getOrDefault("content-type", "");
            if (type.toLowerCase(Locale.ROOT).startsWith("multipart/mixed")) {
                String group = "change set " + (items.size() + 1);
                for (byte[] inner : splitParts(partBody(part), boundaryOf(type), maxRequests - items.size())) {
                    items.add(parseItem(inner, group, items.size()));
                }
            } else {
                items.add(parseItem(part, null, items.size()));
            }
        }
    }

    private static Item parseItem(byte[] part, String group, int number) {
        Map<String, String> headers = partHeaders(part);
        if (!headers.getOrDefault("content-type", "").toLowerCase(Locale.ROOT).startsWith("application/http")) {
            throw new ProtocolException("a part is not application/http");
        }
        byte[] body = partBody(part);
        HttpMessage received = parseEmbedded(body);
        HttpMessage request = HttpMessage.request(received.method(), pathOf(received.target()), received.headers(),
                received.body());
        return new Item(headers.getOrDefault("content-id", Integer.toString(number + 1)), group, List.of(), request);
    }

    /** Parses the request of a part. It may omit the length of its body, which then ends with the part. */
    private static HttpMessage parseEmbedded(byte[] bytes) {
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
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    /** Splits a multipart body at its boundary lines; the line break before a boundary belongs to the boundary. */
    private static List<byte[]> splitParts(byte[] body, String boundary, int maxParts) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        String delimiter = "--" + boundary;
        List<byte[]> parts = new ArrayList<>();
        int start = -1;
        for (int position = text.indexOf(delimiter); position >= 0;
                position = text.indexOf(delimiter, position + delimiter.length())) {
            boolean lineStart = position == 0 || text.charAt(position - 1) == '\n';
            int delimiterEnd = position + delimiter.length();
            boolean isClosing = text.startsWith("--", delimiterEnd);
            if (!lineStart || !isClosing && delimiterEnd < text.length() && "\r\n \t".indexOf(text.charAt(delimiterEnd)) < 0) {
                continue;
            }
            if (start >= 0) {
                int partEnd = position - (position > start + 1 && text.charAt(position - 2) == '\r' ? 2 : 1);
                parts.add(Arrays.copyOfRange(body, start, Math.max(start, partEnd)));
                checkCount(parts.size(), maxParts);
            }
            if (isClosing) {
                return parts;
            }
            start = text.indexOf('\n', delimiterEnd) + 1;
            if (start == 0) {
                break;
            }
        }
        throw new ProtocolException("the last boundary of the multipart body is missing");
    }

    private static int headEnd(byte[] bytes) {
        for (int i = 1; i < bytes.length; i++) {
            if (bytes[i] == '\n' && (bytes[i - 1] == '\n' || i > 2 && bytes[i - 1] == '\r' && bytes[i - 2] == '\n')) {
                checkHeadSize(i);
                return i + 1;
            }
        }
        return -1;
    }

    /** Throws {@link ODataException} if the headers of a request in a batch are too long. */
    static void checkHeadSize(int bytes) {
        if (bytes > MAX_HEAD_BYTES) {
            throw new ODataException(431, "the headers of a request in the batch are longer than " + MAX_HEAD_BYTES + " bytes");
        }
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
