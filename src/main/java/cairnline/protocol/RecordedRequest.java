package cairnline.protocol;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;

/** A request as a recording has it, {@code at} in Unix milliseconds; {@code request} is fit to be sent again. */
public record RecordedRequest(long at, HttpMessage request) {
    private static final Set<String> KEPT = Set.of("accept", "content-type", "prefer", "odata-version",
            "odata-maxversion", "if-match", "if-none-match");
    private static final Set<String> WRITES = Set.of("POST", "PUT", "PATCH", "DELETE");
    private static final String SECRET = "(?i)(access_?token|token|api_?key|password|passwd|secret|sig|signature|auth)";

    /** Whether it would change something. */
    public boolean writes() {
        return WRITES.contains(request.method());
    }

    /**
     * Makes one from what was recorded. Only headers that shape an answer are kept, so that no cookie or credential of
     * the recording is ever sent; neither is a host, a user in the URL or an option that holds a secret.
     */
    static RecordedRequest of(long at, String method, String url, Map<String, String> headers, byte[] body) {
        Map<String, String> kept = new LinkedHashMap<>();
        headers.forEach((name, value) -> {
            String plain = name.toLowerCase(Locale.ROOT);
            if (KEPT.contains(plain)) {
                kept.put(plain, value);
            }
        });
        String upper = method.toUpperCase(Locale.ROOT);
        if (!upper.matches("[A-Z]{3,10}")) {
            throw new ProtocolException("no method: " + method);
        }
        return new RecordedRequest(at, HttpMessage.request(upper, target(url), kept, body));
    }

    private static String target(String url) {
        try {
            URI uri = new URI(url.replace(" ", "%20").replace("|", "%7C"));
            String path = uri.getRawPath() == null || uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
            if (!path.startsWith("/") || path.startsWith("//")) {
                throw new ProtocolException("no path: " + url);
            }
            if (uri.getRawQuery() == null) {
                return path;
            }
            StringJoiner options = new StringJoiner("&");
            for (String option : uri.getRawQuery().split("&")) {
                if (!option.split("=", 2)[0].matches(SECRET)) {
                    options.add(option);
                }
            }
            return options.length() == 0 ? path : path + "?" + options;
        } catch (URISyntaxException e) {
            throw new ProtocolException("no URL: " + e.getMessage());
        }
    }
}
