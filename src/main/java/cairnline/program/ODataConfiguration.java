package cairnline.program;

import cairnline.control.ControlApi.RetrySafety;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Settings;
import cairnline.control.ControlApi.RequestClassSettings;
import cairnline.protocol.Json;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ODataModel.EntitySet;
import cairnline.protocol.ProtocolException;
import cairnline.membership.ListedEngine;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Configuration of the OData front: its listen address, its engines (listed here or reported by a control feed), and the
 * request classes of its entity sets.
 *
 * @param feed address of the control feed; null if the engines are listed here
 */
record ODataConfiguration(InetSocketAddress listen, InetSocketAddress feed, List<ListedEngine> engines,
                          ODataModel model) {
    private static final String IDENTIFIER_PATTERN = "[A-Za-z_][A-Za-z0-9_]{0,127}";

    static ODataConfiguration parse(byte[] json, Settings settings) {
        try {
            return parse(Json.object(json), settings);
        } catch (ProtocolException e) {
            throw new ConfigurationException("odata", e.getMessage());
        }
    }

    /** Validates a configuration; the request classes and machine types that it names must occur in the settings. */
    static ODataConfiguration parse(Map<String, Object> root, Settings settings) {
        try {
            InetSocketAddress listen = Configuration.parseAddress("odata.listen", text(root, "odata.listen", "listen"));
            InetSocketAddress feed = root.containsKey("feed")
                    ? Configuration.parseAddress("odata.feed", text(root, "odata.feed", "feed")) : null;
            return new ODataConfiguration(listen, feed, parseEngines(root, settings), parseModel(root, settings));
        } catch (ProtocolException e) {
            throw new ConfigurationException("odata", e.getMessage());
        }
    }

    private static List<ListedEngine> parseEngines(Map<String, Object> root, Settings settings) {
        List<ListedEngine> engines = new ArrayList<>();
        String defaultMachineType = settings.machineTypes().keySet().stream().findFirst().orElse("");
        for (Object entry : Json.asList(root.getOrDefault("engines", List.of()), "engines")) {
            Map<String, Object> engine = Json.asObject(entry, "engines");
            String address = text(engine, "odata.engines.address", "address");
            Configuration.parseAddress("odata.engines.address", address);
            String machineType = engine.containsKey("kind") ? text(engine, "odata.engines.kind", "kind")
                    : defaultMachineType;
            if (!settings.machineTypes().containsKey(machineType)) {
                throw new ConfigurationException("odata.engines.kind",
                        "is not one of the machine types (shapes) in the settings: " + machineType);
            }
            engines.add(new ListedEngine(text(engine, "odata.engines.id", "id"), address, EngineStatus.READY,
                    settings.zone(), machineType, 0, 1, 0));
        }
        return engines;
    }

    private static ODataModel parseModel(Map<String, Object> root, Settings settings) {
        Map<String, EntitySet> sets = new LinkedHashMap<>();
        Map<String, Object> configured = Json.asObject(root.get("sets"), "odata.sets");
        configured.forEach((name, value) -> sets.put(name, parseEntitySet(name, value, settings)));
        if (sets.isEmpty()) {
            throw new ConfigurationException("odata.sets", "contains no entity set");
        }
        return new ODataModel(sets);
    }

    private static EntitySet parseEntitySet(String name, Object value, Settings settings) {
        String path = "odata.sets." + name;
        if (!name.matches(IDENTIFIER_PATTERN)) {
            throw new ConfigurationException(path, "is not a valid entity set name");
        }
        Map<String, Object> set = Json.asObject(value, path);
        String key = set.containsKey("key") ? text(set, path + ".key", "key") : "ID";
        if (!key.matches(IDENTIFIER_PATTERN)) {
            throw new ConfigurationException(path + ".key", "is not a valid property name");
        }
        String keyType = set.containsKey("keyType") ? text(set, path + ".keyType", "keyType") : "Edm.Int64";
        if (!keyType.matches("Edm\\.[A-Za-z0-9]+")) {
            throw new ConfigurationException(path + ".keyType", "is not a primitive type: " + keyType);
        }
        return new EntitySet(name, requestClass(set, path, "read", false, settings),
                requestClass(set, path, "aggregate", false, settings), requestClass(set, path, "write", true, settings), key,
                keyType, (int) Json.number(set, "tables", -1));
    }

    /**
     * Returns the request class that an entity set names for an operation; null if it names none. Reads need a class that
     * is safe to retry, writes one whose idempotency key makes engines ignore repeats.
     */
    private static String requestClass(Map<String, Object> set, String path, String member, boolean write,
            Settings settings) {
        if (!set.containsKey(member)) {
            return null;
        }
        String name = text(set, path + "." + member, member);
        RequestClassSettings requestClass = settings.requestClasses().stream()
                .filter(candidate -> candidate.name().equals(name)).findFirst()
                .orElseThrow(() -> new ConfigurationException(path + "." + member,
                        "is not one of the request classes in the settings: " + name));
        if (requestClass.retrySafety() != (write ? RetrySafety.KEYED : RetrySafety.SAFE)) {
            throw new ConfigurationException(path + "." + member, write ? "is not a class with an idempotency key: " + name
                    : "is not a class that is safe to retry: " + name);
        }
        return name;
    }

    private static String text(Map<String, Object> object, String key, String member) {
        if (object.get(member) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new ConfigurationException(key, "is missing or is not text");
    }
}
