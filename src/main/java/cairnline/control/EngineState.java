package cairnline.control;

import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.MachineType;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.SafetyRules;
import cairnline.control.ControlApi.DeduplicationScope;
import cairnline.control.ControlApi.RequestClassSettings;

import java.util.HashMap;
import java.util.Map;

/** What is listed of an engine and what this front has out there; plain state of {@link Control}. */
class EngineState {
    final String id;
    final String zone;
    final String kind;
    final int cell;
    final int cores;
    /** Its part of the order in which engines are looked at. */
    final long seed;
    /** Loads of this front that hold a group of tables here. */
    final Map<Integer, Integer> holding = new HashMap<>();
    /** Work sent while cold. */
    final SlidingWindow coldSends = new SlidingWindow();
    EngineStatus listed = EngineStatus.READY;
    long startedAt;
    /** Whether that is known; else it may not warm up before the rules' last moment. */
    boolean sure = true;
    /** When it is taken to have started; 0 if long ago. */
    long coldSince;
    int attempts;
    int threads;
    /** Part of its capacity that it has, when last looked at. */
    double warmth = 1;

    EngineState(Engine e, MachineType machine) {
        this.id = e.id();
        this.zone = e.zone();
        this.kind = e.machineType();
        this.cell = e.cell();
        this.seed = Placement.seed(e.id());
        this.cores = machine == null ? 1 : machine.cores();
    }

    final boolean sharesKeys(EngineState other, DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> zone.equals(other.zone);
            case CELL -> cell == other.cell;
        };
    }

    /** Part of its capacity that it has at least: a start that is not known may be as late as now. */
    final double warmth(SafetyRules rules, long now) {
        long age = now - coldSince;
        if (coldSince == 0 || age >= rules.warmUpTime()) {
            return 1;
        }
        double grown = sure ? (double) Math.max(0, age) / rules.warmUpTime() : 0;
        return rules.coldCapacity() + (1 - rules.coldCapacity()) * grown * grown;
    }

    /** Books one attempt of a class on (1) or off (-1). */
    final void add(RequestClassSettings type, int tables, int count) {
        attempts += count;
        threads += count * type.threads();
        if (type.locksTables()) {
            holding.merge(tables, count, (a, b) -> a + b == 0 ? null : a + b);
        }
    }
}
