package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The pages of one collection, joined: a client gets all rows in one answer, or none. */
public final class ODataPages {
    private static final String NEXT = "@odata.nextLink";
    private static final String NEXT_SHORT = "@nextLink";

    private HttpMessage first;
    private Map<String, Object> joined;
    private List<Object> rows;

    /** Takes a page; gives the target of the next, null after the last. */
    public String take(HttpMessage page) {
        if (first != null) {
            Map<String, Object> more = Json.object(page.body());
            rows.addAll(Json.asList(more.get("value"), "value"));
            return next(more);
        }
        first = page;
        boolean paged = page.header("content-type").startsWith("application/json")
                && new String(page.body(), StandardCharsets.UTF_8).contains("nextLink\"");
        if (!paged) {
            return null;
        }
        Map<String, Object> whole = Json.object(page.body());
        String next = next(whole);
        if (next != null) {
            joined = new LinkedHashMap<>(whole);
            joined.remove(NEXT);
            joined.remove(NEXT_SHORT);
            rows = new ArrayList<>(Json.asList(whole.get("value"), "value"));
            joined.put("value", rows);
        }
        return next;
    }

    /** The answer with the rows of all pages; one that came in a single page is unchanged to the byte. */
    public HttpMessage whole() {
        return joined == null ? first : first.withBody(Json.write(joined));
    }

    private static String next(Map<String, Object> page) {
        Object next = page.containsKey(NEXT) ? page.get(NEXT) : page.get(NEXT_SHORT);
        if (next == null) {
            return null;
        }
        String path = String.valueOf(next).replaceFirst("^https?://[^/]*", "");
        return path.startsWith("/") ? path : "/" + path;
    }
}
