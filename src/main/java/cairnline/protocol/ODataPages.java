package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Joins the pages of an OData collection, so that a client receives either all rows in one response or none. */
public final class ODataPages {
    private static final String NEXT_LINK = "@odata.nextLink";
    private static final String NEXT_LINK_SHORT = "@nextLink";

    private HttpMessage firstPage;
    /** The bodies of the pages after the first; they are joined when all have arrived, since parsed rows take far more memory. */
    private final List<byte[]> furtherPages = new ArrayList<>();
    private long heldBytes;

    /** Adds a page and returns the request target of the next page, or null if this is the last one. */
    public String addPage(HttpMessage page) {
        if (firstPage != null) {
            Map<String, Object> nextPage = Json.object(page.body());
            Json.asList(nextPage.get("value"), "value");
            furtherPages.add(page.body());
            heldBytes += page.body().length;
            return nextTarget(nextPage);
        }
        firstPage = page;
        heldBytes = page.heldBytes();
        boolean paged = page.header("content-type").startsWith("application/json")
                && new String(page.body(), StandardCharsets.UTF_8).contains("nextLink\"");
        if (!paged) {
            return null;
        }
        Map<String, Object> root = Json.object(page.body());
        String nextTarget = nextTarget(root);
        if (nextTarget != null) {
            Json.asList(root.get("value"), "value");
        }
        return nextTarget;
    }

    /** Returns the number of bytes of memory held for the pages. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the response with the rows of all pages; a response of a single page is returned byte for byte. */
    public HttpMessage join() {
        if (furtherPages.isEmpty()) {
            return firstPage;
        }
        Map<String, Object> joined = new LinkedHashMap<>(Json.object(firstPage.body()));
        joined.remove(NEXT_LINK);
        joined.remove(NEXT_LINK_SHORT);
        List<Object> rows = new ArrayList<>(Json.asList(joined.get("value"), "value"));
        for (byte[] page : furtherPages) {
            rows.addAll(Json.asList(Json.object(page).get("value"), "value"));
        }
        joined.put("value", rows);
        return firstPage.withBody(Json.write(joined));
    }

    private static String nextTarget(Map<String, Object> page) {
        Object next = page.containsKey(NEXT_LINK) ? page.get(NEXT_LINK) : page.get(NEXT_LINK_SHORT);
        if (next == null) {
            return null;
        }
        String path = String.valueOf(next).replaceFirst("^https?://[^/]*", "");
        return path.startsWith("/") ? path : "/" + path;
    }
}
