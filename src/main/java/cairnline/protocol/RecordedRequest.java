package cairnline.protocol;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;

/** A request from a recording, stripped of credentials and ready to be replayed; the time is in Unix milliseconds. */
public record RecordedRequest(long timestampMillis, HttpMessage request) {
    private static final Set<String> KEPT_HEADERS = Set.of("accept", "content-type", "prefer", "odata-version",
            "odata-maxversion", "if-match", "if-none-match");
    private static final Set<String> WRITE_METHODS = Set.of("POST", "PUT", "PATCH", "DELETE");
    private static final String SECRET_OPTION_NAMES =
            "(?i)(access_?token|token|api_?key|password|passwd|secret|sig|signature|auth)";

    /** Returns whether the method of the request changes data. */
    public boolean isWrite() {
        return WRITE_METHODS.contains(request.method());
    }

    /**
     * Creates a request from recorded values. Only headers that influence the response are kept, so that no cookie or
     * credential of the recording is replayed. Host, user info and query options with secrets are removed from the URL.
     */
    static RecordedRequest of(long timestampMillis, String method, String url, Map<String, String> headers, byte[] body) {
        Map<String, String> kept = new LinkedHashMap<>();
        headers.forEach((name, value) -> {
            String lowerCase = name.toLowerCase(Locale.ROOT);
            if (KEPT_HEADERS.contains(lowerCase)) {
                kept.put(lowerCase, value);
            }
        });
        String upperCaseMethod = method.toUpperCase(Locale.ROOT);
        if (!upperCaseMethod.matches("[A-Z]{3,10}")) {
            throw new ProtocolException("invalid method: " + method);
        }
        return new RecordedRequest(timestampMillis, HttpMessage.request(upperCaseMethod, target(url), kept, body));
    }

    private static String target(String url) {
        try {
            URI uri = new URI(url.replace(" ", "%20").replace("|", "%7C"));
            String path = uri.getRawPath() == null || uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
            if (!path.startsWith("/") || path.startsWith("//")) {
                throw new ProtocolException("URL without absolute path: " + url);
            }
            if (uri.getRawQuery() == null) {
                return path;
            }
            StringJoiner options = new StringJoiner("&");
            for (String option : uri.getRawQuery().split("&")) {
                if (!option.split("=", 2)[0].matches(SECRET_OPTION_NAMES)) {
                    options.add(option);
                }
            }
            return options.length() == 0 ? path : path + "?" + options;
        } catch (URISyntaxException e) {
            throw new ProtocolException("invalid URL: " + e.getMessage());
        }
    }
}
