package cairnline.control;

import cairnline.control.ControlApi.DeduplicationScope;
import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.MachineType;
import cairnline.control.ControlApi.RequestClassSettings;
import cairnline.control.ControlApi.SafetyRules;

import java.util.HashMap;
import java.util.Map;

/** An engine's list entry and this front's attempts in flight there; plain state of {@link Control}. */
class EngineState {
    final String id;
    final String zone;
    final String machineType;
    final int cell;
    final int cores;
    /** The engine's part of its rank in {@link Placement}. */
    final long placementSeed;
    /** Number of this front's loads that lock each table group here. */
    final Map<Integer, Integer> locks = new HashMap<>();
    EngineStatus status = EngineStatus.READY;
    long startedAt;
    /** Unless true, the engine may take as long to warm up as the safety rules allow. */
    boolean startTimeKnown = true;
    /** The assumed start time; 0 if long ago. */
    long coldSince;
    int attemptsInFlight;
    int threadsInFlight;
    /** The available share of the engine's capacity at the last update. */
    double warmth = 1;

    EngineState(Engine entry, MachineType machine) {
        this.id = entry.id();
        this.zone = entry.zone();
        this.machineType = entry.machineType();
        this.cell = entry.cell();
        this.placementSeed = Placement.seed(entry.id());
        this.cores = machine == null ? 1 : machine.cores();
    }

    /** Returns whether both engines share the deduplication keys of this scope. */
    final boolean sharesKeys(EngineState other, DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> zone.equals(other.zone);
            case CELL -> cell == other.cell;
        };
    }

    /** Returns the least available share of the capacity; an unknown start may have been as late as now. */
    final double warmthAt(SafetyRules rules, long now) {
        long age = now - coldSince;
        if (coldSince == 0 || age >= rules.warmUpTime()) {
            return 1;
        }
        double grown = startTimeKnown ? (double) Math.max(0, age) / rules.warmUpTime() : 0;
        return rules.coldCapacity() + (1 - rules.coldCapacity()) * grown * grown;
    }

    /** Adds (1) or removes (-1) an attempt of a class. */
    final void addAttempts(RequestClassSettings classSettings, int tableGroup, int count) {
        attemptsInFlight += count;
        threadsInFlight += count * classSettings.threads();
        if (classSettings.locksTables()) {
            locks.merge(tableGroup, count, (a, b) -> a + b == 0 ? null : a + b);
        }
    }
}
