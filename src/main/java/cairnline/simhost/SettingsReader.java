package cairnline.simhost;

import cairnline.control.ControlApi.DeduplicationScope;
import cairnline.control.ControlApi.MachineType;
import cairnline.control.ControlApi.Permissions;
import cairnline.control.ControlApi.RequestClassSettings;
import cairnline.control.ControlApi.RetrySafety;
import cairnline.control.ControlApi.SafetyRules;
import cairnline.control.ControlApi.Settings;
import cairnline.control.ControlApi.Tenant;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Translates settings from the line protocol into {@link Settings}; an absent key gets its neutral default. */
public final class SettingsReader {
    private final Fields in;

    /** Creates a reader of these values. */
    public SettingsReader(Fields in) {
        this.in = in;
    }

    /** Returns the settings that a decision module gets at start. */
    public Settings read() {
        return new Settings((int) in.integer("selfIndex", 0), (int) in.integer("groupSize", 1), in.text("locality", ""),
                requestClasses(), tenants(), machineTypes(), permissions(), safetyRules(), in.number("overShareWorth", 1),
                in.number("specifics.grantCap", 1), in.text("discovery", "push").equals("ask"),
                in.integer("specifics.notePeriodNs", 0), in.flag("clientHabits.marksRetry", false),
                in.number("deductions.probe", 0));
    }

    private List<RequestClassSettings> requestClasses() {
        List<RequestClassSettings> requestClasses = new ArrayList<>();
        int count = (int) in.integer("profiles.count", 0);
        for (int i = 0; i < count; i++) {
            String prefix = "profiles." + i + ".";
            long deadline = in.integer(prefix + "deadlineNs");
            requestClasses.add(new RequestClassSettings(in.text(prefix + "name"),
                    in.integer(prefix + "aimNs", deadline), in.number(prefix + "aimStretch", 0), deadline,
                    in.number(prefix + "worth", 1), in.number(prefix + "lateWorth", 0), retrySafety(prefix),
                    keyScope(prefix), in.integer(prefix + "windowNs", 0), in.flag(prefix + "serialByKey", false),
                    Math.max(1, (int) listElement("specifics.threadsByClass", i, 1)),
                    listElement("specifics.classLoad", i, 0) > 0, listElement("specifics.blockedByLoads", i, 0) > 0,
                    list(prefix + "areasOnly"), list(prefix + "shapesAllowed")));
        }
        return requestClasses;
    }

    private RetrySafety retrySafety(String prefix) {
        return switch (in.text(prefix + "semantics", "pure")) {
            case "pure" -> RetrySafety.SAFE;
            case "token" -> RetrySafety.KEYED;
            case "side_effect" -> RetrySafety.UNSAFE;
            default -> throw new WireException("unknown semantics " + in.text(prefix + "semantics", ""), "HELLO");
        };
    }

    private DeduplicationScope keyScope(String prefix) {
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
            String prefix = "parties." + i + ".";
            tenants.add(new Tenant(in.text(prefix + "name"), in.number(prefix + "share", 0), in.number(prefix + "quotaPerS", 0)));
        }
        return tenants;
    }

    private Map<String, MachineType> machineTypes() {
        Map<String, MachineType> machineTypes = new LinkedHashMap<>();
        List<String> names = list("shapes");
        for (int i = 0; i < names.size(); i++) {
            machineTypes.put(names.get(i), new MachineType((int) listElement("specifics.coresByKind", i, 1),
                    listElement("specifics.sizeMb", i, 0)));
        }
        return machineTypes;
    }

    private Permissions permissions() {
        String prefix = "permissions.";
        return new Permissions((int) in.integer(prefix + "tryLimit", 1), in.flag(prefix + "mayCancel", false),
                in.flag(prefix + "secondCopies", false), in.flag(prefix + "probes", false), in.flag(prefix + "peers", false),
                in.flag(prefix + "retryAfter", false), in.integer(prefix + "maxRetryAfterNs", 0),
                in.flag("specifics.memoryHeeded", false), in.flag("specifics.takesPriority", false));
    }

    private SafetyRules safetyRules() {
        String prefix = "safety.";
        boolean retryBudgetSet = in.has(prefix + "spareAttempts") || in.has(prefix + "extraPerRequest");
        return new SafetyRules(in.integer(prefix + "drainGraceNs", 0), in.number(prefix + "coldFrom", 1),
                in.integer(prefix + "warmWithinNs", 0), in.number(prefix + "tipMultiple", 1),
                in.integer(prefix + "overloadForNs", 0), in.integer(prefix + "settleAfterDoubtNs", 0),
                retryBudgetSet ? in.number(prefix + "spareAttempts", 0) : -1,
                in.number(prefix + "extraPerRequest", 0), in.integer(prefix + "lookBackNs", 0));
    }

    private double listElement(String name, int index, double defaultValue) {
        List<String> values = list(name);
        if (index >= values.size()) {
            return defaultValue;
        }
        String value = values.get(index);
        if (value.equals("true") || value.equals("false")) {
            return value.equals("true") ? 1 : 0;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new WireException("setting " + name + " is not a number: " + value, "HELLO");
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
