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
 * What an OData request asks of the engines, checked. {@code order} names what its writes keep their order for: one
 * entity, or the whole set where the request names none; {@code entity} is true for the former. {@code waitMs} is how
 * long its client said that it waits, 0 if it did not. {@code passed} is the request as the engine gets it.
 */
public record ODataRequest(EntitySet set, boolean write, String type, String order, boolean entity, String idempotencyKey,
                           long waitMs, HttpMessage passed) {
    private static final Set<String> WRITES = Set.of("POST", "PUT", "PATCH", "DELETE");
    private static final Set<String> PASSED = Set.of("accept", "content-type", "prefer", "if-match", "if-none-match",
            "odata-version", "odata-maxversion");
    private static final Pattern SET = Pattern.compile("/([A-Za-z_][A-Za-z0-9_]*)(\\(([^/]*)\\))?(/.*)?");
    private static final Pattern WAIT = Pattern.compile("(?:^|[,;\\s])wait=([0-9]{1,6})(?:$|[,;\\s])");
    private static final Pattern DATE = Pattern.compile(
            "(Mon|Tue|Wed|Thu|Fri|Sat|Sun), [0-3][0-9] [A-Z][a-z]{2} [0-9]{4} [0-2][0-9]:[0-5][0-9]:[0-6][0-9] GMT");
    private static final long MILLIS = 1_000;

    /** Reads a request to one of the model's entity sets; {@code firstSent} dates one that bears no date. */
    public static ODataRequest read(HttpMessage http, ODataModel model, String firstSent) {
        checkVersions(http);
        int question = http.target().indexOf('?');
        String path = decoded(question < 0 ? http.target() : http.target().substring(0, question));
        String query = question < 0 ? "" : decoded(http.target().substring(question + 1));
        Matcher matcher = SET.matcher(path);
        EntitySet set = matcher.matches() ? model.sets().get(matcher.group(1)) : null;
        if (set == null) {
            throw new ODataException(404, "no entity set has this path: " + path);
        }
        boolean write = WRITES.contains(http.method());
        if (!write && !http.method().equals("GET")) {
            throw new ODataException(http.method().equals("HEAD") ? 405 : 501, http.method() + " is not served");
        }
        checkFormat(http, query, write);
        String type = write ? set.write() : query.contains("$apply=") && set.aggregate() != null ? set.aggregate()
                : set.read();
        if (type == null) {
            throw new ODataException(405, set.name() + " does not serve " + http.method());
        }
        String key = entity(matcher.group(3), set);
        if (write && key == null && !http.method().equals("POST")) {
            throw new ODataException(405, http.method() + " needs the key of an entity");
        }
        if (write && key == null) {
            key = keyInBody(http, set);
        }
        Map<String, String> headers = new LinkedHashMap<>();
        http.headers().forEach((name, value) -> {
            if (PASSED.contains(name)) {
                headers.put(name, value);
            }
        });
        String idempotencyKey = write ? repeatability(http, headers, firstSent) : null;
        return new ODataRequest(set, write, type, key == null ? set.name() : set.name() + "(" + key + ")",
                key != null, idempotencyKey, waitMs(http),
                HttpMessage.request(http.method(), http.target(), headers, http.body()));
    }

    /** Whether one of two requests must wait for the other: both touch the same, and one changes it. */
    public boolean conflicts(ODataRequest other) {
        boolean same = entity && other.entity ? order.equals(other.order) : set.name().equals(other.set.name());
        return same && (write || other.write);
    }

    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new ODataException(400, "the URL holds a broken escape");
        }
    }

    private static void checkVersions(HttpMessage http) {
        String version = http.header("odata-version");
        String most = http.header("odata-maxversion");
        if (!version.isEmpty() && !version.equals("4.0") && !version.equals("4.01")) {
            throw new ODataException(400, "OData-Version is not 4.0 or 4.01: " + version);
        }
        if (!most.isEmpty() && !most.matches("[0-9]+(\\.[0-9]+)?") || !most.isEmpty() && Double.parseDouble(most) < 4) {
            throw new ODataException(400, "OData-MaxVersion is below 4.0: " + most);
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

    /** The entity that a path names, in one form whichever way it is written; null if it names the set. */
    private static String entity(String inBrackets, EntitySet set) {
        if (inBrackets == null) {
            return null;
        }
        String key = inBrackets.startsWith(set.key() + "=") ? inBrackets.substring(set.key().length() + 1) : inBrackets;
        if (key.isBlank()) {
            throw new ODataException(400, "the key of an entity is empty");
        }
        return key;
    }

    /** A POST names its entity in its body, if at all. */
    private static String keyInBody(HttpMessage http, EntitySet set) {
        try {
            Object value = Json.object(http.body()).get(set.key());
            return value == null ? null : value instanceof String text ? "'" + text.replace("'", "''") + "'"
                    : value.toString();
        } catch (ProtocolException e) {
            throw new ODataException(400, e.getMessage());
        }
    }

    /** The idempotency key; made here where the client gives none, so that engines can drop our own repeats. */
    private static String repeatability(HttpMessage http, Map<String, String> headers, String firstSent) {
        String id = http.header("repeatability-request-id");
        String first = http.header("repeatability-first-sent");
        if (id.isEmpty() != first.isEmpty()) {
            throw new ODataException(400, "Repeatability-Request-ID and Repeatability-First-Sent go together");
        }
        if (id.isEmpty()) {
            id = UUID.randomUUID().toString();
            first = firstSent;
        } else if (!DATE.matcher(first).matches()) {
            throw new ODataException(400, "Repeatability-First-Sent is not an HTTP date");
        }
        try {
            ClientRequest.idempotencyKey(id);
        } catch (ProtocolException e) {
            throw new ODataException(400, "Repeatability-Request-ID is not a plain word");
        }
        headers.put("repeatability-request-id", id);
        headers.put("repeatability-first-sent", first);
        return id;
    }

    private static long waitMs(HttpMessage http) {
        Matcher wait = WAIT.matcher(http.header("prefer"));
        return wait.find() ? Long.parseLong(wait.group(1)) * MILLIS : 0;
    }
}
