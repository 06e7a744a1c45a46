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
 * The part of the configuration that turns the OData front on: where it listens, its engines (named here, or by a
 * control feed), and which classes its entity sets mean.
 */
record ODataConfiguration(InetSocketAddress listen, InetSocketAddress feed, List<ListedEngine> engines,
                          ODataModel model) {
    private static final String NAME = "[A-Za-z_][A-Za-z0-9_]{0,127}";

    static ODataConfiguration of(byte[] json, Settings settings) {
        try {
            return of(Json.object(json), settings);
        } catch (ProtocolException e) {
            throw new ConfigurationException("odata", e.getMessage());
        }
    }

    /** The classes must be among those of the settings. */
    static ODataConfiguration of(Map<String, Object> root, Settings settings) {
        try {
            InetSocketAddress listen = Configuration.address("odata.listen", text(root, "odata.listen", "listen"));
            InetSocketAddress feed = root.containsKey("feed")
                    ? Configuration.address("odata.feed", text(root, "odata.feed", "feed")) : null;
            return new ODataConfiguration(listen, feed, engines(root, settings), model(root, settings));
        } catch (ProtocolException e) {
            throw new ConfigurationException("odata", e.getMessage());
        }
    }

    private static List<ListedEngine> engines(Map<String, Object> root, Settings settings) {
        List<ListedEngine> engines = new ArrayList<>();
        String usualKind = settings.machineTypes().keySet().stream().findFirst().orElse("");
        for (Object each : Json.asList(root.getOrDefault("engines", List.of()), "engines")) {
            Map<String, Object> engine = Json.asObject(each, "engines");
            String address = text(engine, "odata.engines.address", "address");
            Configuration.address("odata.engines.address", address);
            String kind = engine.containsKey("kind") ? text(engine, "odata.engines.kind", "kind") : usualKind;
            if (!settings.machineTypes().containsKey(kind)) {
                throw new ConfigurationException("odata.engines.kind", "is none of the settings' shapes: " + kind);
            }
            engines.add(new ListedEngine(text(engine, "odata.engines.id", "id"), address, EngineStatus.READY,
                    settings.zone(), kind, 0, 1, 0));
        }
        return engines;
    }

    private static ODataModel model(Map<String, Object> root, Settings settings) {
        Map<String, EntitySet> sets = new LinkedHashMap<>();
        Map<String, Object> told = Json.asObject(root.get("sets"), "odata.sets");
        told.forEach((name, value) -> sets.put(name, set(name, value, settings)));
        if (sets.isEmpty()) {
            throw new ConfigurationException("odata.sets", "names no entity set");
        }
        return new ODataModel(sets);
    }

    private static EntitySet set(String name, Object value, Settings settings) {
        String at = "odata.sets." + name;
        if (!name.matches(NAME)) {
            throw new ConfigurationException(at, "is no name of an entity set");
        }
        Map<String, Object> set = Json.asObject(value, at);
        String key = set.containsKey("key") ? text(set, at + ".key", "key") : "ID";
        if (!key.matches(NAME)) {
            throw new ConfigurationException(at + ".key", "is no name of a property");
        }
        String keyType = set.containsKey("keyType") ? text(set, at + ".keyType", "keyType") : "Edm.Int64";
        if (!keyType.matches("Edm\\.[A-Za-z0-9]+")) {
            throw new ConfigurationException(at + ".keyType", "is no primitive type: " + keyType);
        }
        return new EntitySet(name, type(set, at, "read", false, settings), type(set, at, "aggregate", false, settings),
                type(set, at, "write", true, settings), key, keyType, (int) Json.number(set, "tables", -1));
    }

    /** A class of the settings; reads must be safe to repeat, and writes must be dropped when repeated. */
    private static String type(Map<String, Object> set, String at, String member, boolean write, Settings settings) {
        if (!set.containsKey(member)) {
            return null;
        }
        String name = text(set, at + "." + member, member);
        RequestClassSettings type = settings.requestClasses().stream().filter(t -> t.name().equals(name)).findFirst().orElseThrow(() ->
                new ConfigurationException(at + "." + member, "is none of the settings' classes: " + name));
        if (type.retrySafety() != (write ? RetrySafety.KEYED : RetrySafety.SAFE)) {
            throw new ConfigurationException(at + "." + member,
                    write ? "is no keyed class: " + name : "is no class that is safe to repeat: " + name);
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
