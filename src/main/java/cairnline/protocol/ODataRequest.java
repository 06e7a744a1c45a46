package cairnline.protocol;

import cairnline.protocol.ODataModel.EntitySet;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A validated OData request to an entity set.
 *
 * @param set the entity set
 * @param write whether the request changes data
 * @param type name of the request class
 * @param orderingKey the entity whose writes run one at a time, or the set if the request names no entity
 * @param singleEntity whether {@code orderingKey} is an entity
 * @param idempotencyKey key by which engines drop repeats of a write; null for a read
 * @param waitMs how long the client waits, in milliseconds, from its {@code wait} preference; 0 if it has none
 * @param forwarded the request as it is sent to the engine
 */
public record ODataRequest(EntitySet set, boolean write, String type, String orderingKey, boolean singleEntity,
                           String idempotencyKey, long waitMs, HttpMessage forwarded) {
    private static final Set<String> WRITE_METHODS = Set.of("POST", "PUT", "PATCH", "DELETE");
    private static final Set<String> FORWARDED_HEADERS = Set.of("accept", "content-type", "prefer", "if-match", "if-none-match",
            "odata-version", "odata-maxversion");
    private static final Pattern PATH_PATTERN = Pattern.compile("/([A-Za-z_][A-Za-z0-9_]*)(\\(([^/]*)\\))?(/.*)?");
    private static final Pattern NAMED_KEY = Pattern.compile("\\s*([A-Za-z_][A-Za-z0-9_]*)\\s*=\\s*(.*?)\\s*", Pattern.DOTALL);
    private static final Pattern WAIT_PREFERENCE = Pattern.compile("(?:^|[,;\\s])wait=([0-9]{1,6})(?:$|[,;\\s])");
    private static final Pattern HTTP_DATE = Pattern.compile(
            "(Mon|Tue|Wed|Thu|Fri|Sat|Sun), [0-3][0-9] [A-Z][a-z]{2} [0-9]{4} [0-2][0-9]:[0-5][0-9]:[0-6][0-9] GMT");
    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Validates a request; throws {@link ODataException} if it can't be served. {@code firstSent} is the
     * Repeatability-First-Sent header of a write whose client sends none.
     */
    public static ODataRequest read(HttpMessage http, ODataModel model, String firstSent) {
        checkVersions(http);
        int queryStart = http.target().indexOf('?');
        String path = decode(queryStart < 0 ? http.target() : http.target().substring(0, queryStart));
        String query = queryStart < 0 ? "" : decode(http.target().substring(queryStart + 1));
        Matcher matcher = PATH_PATTERN.matcher(path);
        EntitySet set = matcher.matches() ? model.sets().get(matcher.group(1)) : null;
        if (set == null) {
            throw new ODataException(404, "no entity set has this path: " + path);
        }
        boolean write = WRITE_METHODS.contains(http.method());
        if (!write && !http.method().equals("GET")) {
            throw new ODataException(http.method().equals("HEAD") ? 405 : 501, http.method() + " is not served");
        }
        checkFormat(http, query, write);
        String type = write ? set.writeClass() : query.contains("$apply=") && set.aggregateClass() != null ? set.aggregateClass()
                : set.readClass();
        if (type == null) {
            throw new ODataException(405, set.name() + " does not serve " + http.method());
        }
        String key = canonicalKey(matcher.group(3), set);
        if (write && key == null && !http.method().equals("POST")) {
            throw new ODataException(405, http.method() + " needs the key of an entity");
        }
        if (write && key == null) {
            key = keyInBody(http, set);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        http.headers().forEach((name, value) -> {
            if (FORWARDED_HEADERS.contains(name)) {
                headers.put(name, value);
            }
        });
        String idempotencyKey = write ? idempotencyHeaders(http, headers, firstSent) : null;
        return new ODataRequest(set, write, type, key == null ? set.name() : set.name() + "(" + key + ")",
                key != null, idempotencyKey, waitMs(http),
                HttpMessage.request(http.method(), http.target(), headers, http.body()));
    }

    /** Returns whether the requests must not run at the same time: they access the same data and at least one writes. */
    public boolean conflicts(ODataRequest other) {
        boolean overlaps = singleEntity && other.singleEntity ? orderingKey.equals(other.orderingKey)
                : set.name().equals(other.set.name());
        return overlaps && (write || other.write);
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new ODataException(400, "the URL holds a broken escape");
        }
    }

    private static void checkVersions(HttpMessage http) {
        String version = http.header("odata-version");
        String maxVersion = http.header("odata-maxversion");
        if (!version.isEmpty() && !version.equals("4.0") && !version.equals("4.01")) {
            throw new ODataException(400, "OData-Version is not 4.0 or 4.01: " + version);
        }
        if (!maxVersion.isEmpty() && !maxVersion.matches("[0-9]+(\\.[0-9]+)?")
                || !maxVersion.isEmpty() && Double.parseDouble(maxVersion) < 4) {
            throw new ODataException(400, "OData-MaxVersion is below 4.0: " + maxVersion);
        }
    }

    private static void checkFormat(HttpMessage http, String query, boolean write) {
        String accept = http.header("accept");
        boolean json = accept.isEmpty() || accept.contains("application/json") || accept.contains("*/*")
                || accept.contains("application/*");
        Matcher format = Pattern.compile("(?:^|&)\\$format=([^&;]*)").matcher(query);
        if (format.find()) {
            json = format.group(1).equals("json") || format.group(1).equals("application/json");
        }
        if (!json) {
            throw new ODataException(406, "answers are JSON only");
        }
        String type = http.header("content-type").toLowerCase(Locale.ROOT);
        if (write && http.body().length > 0 && !type.startsWith("application/json")) {
            throw new ODataException(415, "bodies are JSON only");
        }
    }

    /** Returns the key in the path, whether or not it is written with its name; null if the path names the set. */
    private static String canonicalKey(String inParentheses, EntitySet set) {
        if (inParentheses == null) {
            return null;
        }
        Matcher named = NAMED_KEY.matcher(inParentheses);
        String key = named.matches() && named.group(1).equals(set.key()) ? named.group(2) : inParentheses.strip();
        if (key.isBlank()) {
            throw new ODataException(400, "the key of an entity is empty");
        }
        return EntityKey.canonical(key, set.keyType());
    }

    /** Returns the key in the body of a POST as it would be written in a path; null if there is none. */
    private static String keyInBody(HttpMessage http, EntitySet set) {
        try {
            String[] key = new String[1];
            Json.forEachMember(http.body(), (name, parser) -> {
                if (name.equals(set.key())) {
                    key[0] = EntityKey.ofJson(parser, set.keyType());
                }
            });
            return key[0];
        } catch (ProtocolException e) {
            throw new ODataException(400, e.getMessage());
        }
    }

    /** Returns the idempotency key. It is generated if the client sends none, so that engines can drop our own retries. */
    private static String idempotencyHeaders(HttpMessage http, Map<String, String> headers, String firstSent) {
        String id = http.header("repeatability-request-id");
        String sentAt = http.header("repeatability-first-sent");
        if (id.isEmpty() != sentAt.isEmpty()) {
            throw new ODataException(400, "Repeatability-Request-ID and Repeatability-First-Sent go together");
        }
        if (id.isEmpty()) {
            id = UUID.randomUUID().toString();
            sentAt = firstSent;
        } else if (!HTTP_DATE.matcher(sentAt).matches()) {
            throw new ODataException(400, "Repeatability-First-Sent is not an HTTP date");
        }
        try {
            ClientRequest.idempotencyKey(id);
        } catch (ProtocolException e) {
            throw new ODataException(400, "Repeatability-Request-ID is not a plain word");
        }
        headers.put("repeatability-request-id", id);
        headers.put("repeatability-first-sent", sentAt);
        return id;
    }

    private static long waitMs(HttpMessage http) {
        Matcher wait = WAIT_PREFERENCE.matcher(http.header("prefer"));
        return wait.find() ? Long.parseLong(wait.group(1)) * MILLIS_PER_SECOND : 0;
    }
}
