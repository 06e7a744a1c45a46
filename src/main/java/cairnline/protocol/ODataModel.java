package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The entity sets that are served, and the documents that describe them. */
public record ODataModel(Map<String, EntitySet> sets) {
    /** The type of the service document and of all answers. */
    public static final String JSON = "application/json;odata.metadata=minimal";
    private static final String NAMESPACE = "Cairnline";

    /**
     * An entity set: the classes of its reads, of its aggregations ({@code $apply}) and of its writes, null where there
     * are none; its key and the key's type; its group of tables, -1 if unknown.
     */
    public record EntitySet(String name, String read, String aggregate, String write, String key, String keyType,
                            int tables) { }

    /** The service document. */
    public byte[] serviceDocument() {
        List<Object> list = new ArrayList<>();
        for (String name : sets.keySet()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("name", name);
            entry.put("kind", "EntitySet");
            entry.put("url", name);
            list.add(entry);
        }
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("@odata.context", "$metadata");
        document.put("value", list);
        return Json.write(document);
    }

    /** The metadata as CSDL in XML; the types are open, since only the engines know their other properties. */
    public byte[] metadataXml() {
        StringBuilder xml = new StringBuilder("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n"
                + "<edmx:Edmx xmlns:edmx=\"http://docs.oasis-open.org/odata/ns/edmx\" Version=\"4.01\">"
                + "<edmx:DataServices><Schema xmlns=\"http://docs.oasis-open.org/odata/ns/edm\" Namespace=\""
                + NAMESPACE + "\">");
        for (EntitySet set : sets.values()) {
            xml.append("<EntityType Name=\"").append(set.name()).append("Entity\" OpenType=\"true\"><Key><PropertyRef Name=\"")
                    .append(set.key()).append("\"/></Key><Property Name=\"").append(set.key()).append("\" Type=\"")
                    .append(set.keyType()).append("\" Nullable=\"false\"/></EntityType>");
        }
        xml.append("<EntityContainer Name=\"Container\">");
        for (EntitySet set : sets.values()) {
            xml.append("<EntitySet Name=\"").append(set.name()).append("\" EntityType=\"").append(NAMESPACE).append('.')
                    .append(set.name()).append("Entity\"/>");
        }
        xml.append("</EntityContainer></Schema></edmx:DataServices></edmx:Edmx>");
        return xml.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** The metadata as CSDL in JSON. */
    public byte[] metadataJson() {
        Map<String, Object> schema = new LinkedHashMap<>();
        Map<String, Object> container = new LinkedHashMap<>();
        container.put("$Kind", "EntityContainer");
        for (EntitySet set : sets.values()) {
            Map<String, Object> type = new LinkedHashMap<>();
            type.put("$Kind", "EntityType");
            type.put("$OpenType", true);
            type.put("$Key", List.of(set.key()));
            type.put(set.key(), Map.of("$Type", set.keyType()));
            schema.put(set.name() + "Entity", type);
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("$Collection", true);
            entry.put("$Type", NAMESPACE + "." + set.name() + "Entity");
            container.put(set.name(), entry);
        }
        schema.put("Container", container);
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("$Version", "4.01");
        document.put("$EntityContainer", NAMESPACE + ".Container");
        document.put(NAMESPACE, schema);
        return Json.write(document);
    }

    /** A standard error body. */
    public static HttpMessage error(int status, String problem) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", HttpMessage.reason(status).replace(" ", ""));
        error.put("message", problem);
        return HttpMessage.response(status, JSON, Json.write(Map.of("error", error)));
    }
}
