package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The entity sets that the OData front serves, by name, and the service and metadata documents that describe them. */
public record ODataModel(Map<String, EntitySet> sets) {
    /** Content type of the service document and of error responses. */
    public static final String JSON_CONTENT_TYPE = "application/json;odata.metadata=minimal";
    private static final String NAMESPACE = "Cairnline";

    /**
     * An entity set.
     *
     * @param readClass request class of reads; null if reads are not served
     * @param aggregateClass request class of reads with {@code $apply}; null if they use {@code readClass}
     * @param writeClass request class of writes; null if writes are not served
     * @param key name of the key property
     * @param keyType EDM type of the key property
     * @param tableGroup group of tables that hold the set; -1 if unknown
     */
    public record EntitySet(String name, String readClass, String aggregateClass, String writeClass, String key, String keyType,
                            int tableGroup) { }

    /** Encodes the service document. */
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

    /** Encodes the metadata as CSDL XML. Entity types are open, since only the engines know the properties beside the key. */
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

    /** Encodes the metadata as CSDL JSON. */
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

    /** Creates an error response in the format of OData. */
    public static HttpMessage error(int status, String problem) {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", HttpMessage.reasonPhrase(status).replace(" ", ""));
        error.put("message", problem);
        return HttpMessage.response(status, JSON_CONTENT_TYPE, Json.write(Map.of("error", error)));
    }
}
