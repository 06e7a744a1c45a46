package cairnline.simhost;

import cairnline.control.ControlApi.RetrySafety;
import cairnline.control.ControlApi.MachineType;
import cairnline.control.ControlApi.Permissions;
import cairnline.control.ControlApi.SafetyRules;
import cairnline.control.ControlApi.DeduplicationScope;
import cairnline.control.ControlApi.Settings;
import cairnline.control.ControlApi.Tenant;
import cairnline.control.ControlApi.RequestClassSettings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Translates the wire's settings into the module's terms; a key that is absent gets its neutral meaning. */
public final class SettingsReader {
    private final Fields in;

    /** Reads from these values. */
    public SettingsReader(Fields in) {
        this.in = in;
    }

    /** All that the module is told at start. */
    public Settings read() {
        return new Settings((int) in.integer("selfIndex", 0), (int) in.integer("groupSize", 1), in.text("locality", ""),
                requestClasses(), tenants(), kinds(), permissions(), rules(), in.number("overShareWorth", 1),
                in.number("specifics.grantCap", 1), in.text("discovery", "push").equals("ask"),
                in.integer("specifics.notePeriodNs", 0), in.flag("clientHabits.marksRetry", false),
                in.number("deductions.probe", 0));
    }

    private List<RequestClassSettings> requestClasses() {
        List<RequestClassSettings> types = new ArrayList<>();
        int count = (int) in.integer("profiles.count", 0);
        for (int i = 0; i < count; i++) {
            String p = "profiles." + i + ".";
            long deadline = in.integer(p + "deadlineNs");
            types.add(new RequestClassSettings(in.text(p + "name"), in.integer(p + "aimNs", deadline), in.number(p + "aimStretch", 0),
                    deadline, in.number(p + "worth", 1), in.number(p + "lateWorth", 0), effect(p), scope(p),
                    in.integer(p + "windowNs", 0), in.flag(p + "serialByKey", false),
                    Math.max(1, (int) perClass("specifics.threadsByClass", i, 1)),
                    perClass("specifics.classLoad", i, 0) > 0, perClass("specifics.blockedByLoads", i, 0) > 0,
                    list(p + "areasOnly"), list(p + "shapesAllowed")));
        }
        return types;
    }

    private RetrySafety effect(String prefix) {
        return switch (in.text(prefix + "semantics", "pure")) {
            case "pure" -> RetrySafety.SAFE;
            case "token" -> RetrySafety.KEYED;
            case "side_effect" -> RetrySafety.UNSAFE;
            default -> throw new WireException("unknown semantics " + in.text(prefix + "semantics", ""), "HELLO");
        };
    }

    private DeduplicationScope scope(String prefix) {
        return switch (in.text(prefix + "keyScope", "cell")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new WireException("unknown keyScope " + in.text(prefix + "keyScope", ""), "HELLO");
        };
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        int count = (int) in.integer("parties.count", 0);
        for (int i = 0; i < count; i++) {
            String p = "parties." + i + ".";
            tenants.add(new Tenant(in.text(p + "name"), in.number(p + "share", 0), in.number(p + "quotaPerS", 0)));
        }
        return tenants;
    }

    private Map<String, MachineType> kinds() {
        Map<String, MachineType> kinds = new LinkedHashMap<>();
        List<String> names = list("shapes");
        for (int i = 0; i < names.size(); i++) {
            kinds.put(names.get(i), new MachineType((int) perClass("specifics.coresByKind", i, 1),
                    perClass("specifics.sizeMb", i, 0)));
        }
        return kinds;
    }

    private Permissions permissions() {
        String p = "permissions.";
        return new Permissions((int) in.integer(p + "tryLimit", 1), in.flag(p + "mayCancel", false),
                in.flag(p + "secondCopies", false), in.flag(p + "probes", false), in.flag(p + "peers", false),
                in.flag(p + "retryAfter", false), in.integer(p + "maxRetryAfterNs", 0),
                in.flag("specifics.memoryHeeded", false), in.flag("specifics.takesPriority", false));
    }

    private SafetyRules rules() {
        String p = "safety.";
        boolean rationed = in.has(p + "spareAttempts") || in.has(p + "extraPerRequest");
        return new SafetyRules(in.integer(p + "drainGraceNs", 0), in.number(p + "coldFrom", 1), in.integer(p + "warmWithinNs", 0),
                in.number(p + "tipMultiple", 1), in.integer(p + "overloadForNs", 0),
                in.integer(p + "settleAfterDoubtNs", 0), rationed ? in.number(p + "spareAttempts", 0) : -1,
                in.number(p + "extraPerRequest", 0), in.integer(p + "lookBackNs", 0));
    }

    private double perClass(String name, int index, double absent) {
        List<String> values = list(name);
        if (index >= values.size()) {
            return absent;
        }
        String value = values.get(index);
        if (value.equals("true") || value.equals("false")) {
            return value.equals("true") ? 1 : 0;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new WireException("setting " + name + " holds no number: " + value, "HELLO");
        }
    }

    private List<String> list(String name) {
        List<String> parts = new ArrayList<>();
        for (String part : in.text(name, "").split(",")) {
            if (!part.isEmpty()) {
                parts.add(part);
            }
        }
        return parts;
    }
}
