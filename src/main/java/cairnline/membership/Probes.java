package cairnline.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Schedules the probes of entries that the feed has not confirmed: the most trusted entries first, unhealthy ones with
 * exponential back-off, and never more at once than the settings allow. Used only by {@link Membership}, on its thread;
 * times are in microseconds.
 */
final class Probes {
    /** The back-off doubles at most this often; further doublings would overflow and are above the upper bound anyway. */
    private static final int MAX_DOUBLINGS = 16;

    private final TrustSettings settings;
    private final Map<String, ProbedEntry> entries = new HashMap<>();
    /** Entries that were never probed: the most trusted first; at equal trust, the most recently confirmed first. */
    private final TreeSet<ProbedEntry> neverProbed =
            new TreeSet<>(Comparator.comparingDouble((ProbedEntry entry) -> -entry.logOdds)
                    .thenComparingLong(entry -> -entry.confirmedAt).thenComparing(entry -> entry.id));
    /** Entries that wait for their next probe, by due time. */
    private final TreeSet<ProbedEntry> waiting =
            new TreeSet<>(Comparator.comparingLong((ProbedEntry entry) -> entry.dueAt).thenComparing(entry -> entry.id));
    /** Entries with a probe in flight, by the time at which it times out. */
    private final TreeSet<ProbedEntry> inFlight =
            new TreeSet<>(Comparator.comparingLong((ProbedEntry entry) -> entry.timeoutAt).thenComparing(entry -> entry.id));

    /**
     * An entry to be probed. It is in exactly one of the three sets; its fields may change only while it is removed from
     * that set, since the sets sort by them.
     */
    private static final class ProbedEntry {
        final String id;
        double logOdds;
        long confirmedAt;
        long dueAt;
        /** When the probe in flight counts as unanswered; 0 if none is in flight. */
        long timeoutAt;
        boolean wasProbed;
        int failures;

        ProbedEntry(String id) {
            this.id = id;
        }
    }

    Probes(TrustSettings settings) {
        this.settings = settings;
    }

    /** Starts probing this member, or updates its rank if it is probed already and no probe is in flight. */
    void schedule(Member member, long now) {
        ProbedEntry entry = entries.computeIfAbsent(member.engine().id(), ProbedEntry::new);
        if (entry.timeoutAt == 0) {
            removeFromSet(entry);
            entry.logOdds = member.trust().logOdds();
            entry.confirmedAt = Math.max(member.reportedAt(), member.aliveAt());
            addToSet(entry);
        }
    }

    private void addToSet(ProbedEntry entry) {
        (entry.wasProbed ? waiting : neverProbed).add(entry);
    }

    private void removeFromSet(ProbedEntry entry) {
        (entry.timeoutAt > 0 ? inFlight : entry.wasProbed ? waiting : neverProbed).remove(entry);
    }

    void remove(String id) {
        ProbedEntry entry = entries.remove(id);
        if (entry != null) {
            removeFromSet(entry);
        }
    }

    /**
     * Returns the id of the engine to probe now and counts its probe as in flight; null if none is due or the maximum
     * number of probes is in flight.
     */
    String next(long now, int offeredEngines) {
        if (nextEventAt(now, offeredEngines) > now || inFlight.size() >= settings.maxConcurrentProbes()) {
            return null;
        }
        ProbedEntry entry = !waiting.isEmpty() && waiting.first().dueAt <= now ? waiting.first()
                : !neverProbed.isEmpty() && offeredEngines < settings.enoughOffered() ? neverProbed.first() : null;
        if (entry == null) {
            return null;
        }
        removeFromSet(entry);
        entry.wasProbed = true;
        entry.timeoutAt = now + settings.probeTimeout();
        inFlight.add(entry);
        return entry.id;
    }

    /** Returns the id of an engine whose probe has timed out; null if there is none. */
    String timedOut(long now) {
        return !inFlight.isEmpty() && inFlight.first().timeoutAt <= now ? inFlight.first().id : null;
    }

    /** Records that the probe of this engine has ended, or that other evidence has made its answer unnecessary. */
    void finished(String id, boolean isGood, long now) {
        ProbedEntry entry = entries.get(id);
        if (entry == null) {
            return;
        }
        removeFromSet(entry);
        entry.timeoutAt = 0;
        entry.wasProbed = true;
        entry.failures = isGood ? 0 : entry.failures + 1;
        long backoff = settings.probeInterval() << Math.min(MAX_DOUBLINGS, Math.max(0, entry.failures - 1));
        entry.dueAt = now + Math.min(settings.maxProbeInterval(), backoff);
        addToSet(entry);
    }

    /** Returns when the next probe is due or times out; {@code Long.MAX_VALUE} if no entry is probed. */
    long nextEventAt(long now, int offeredEngines) {
        long timeout = inFlight.isEmpty() ? Long.MAX_VALUE : inFlight.first().timeoutAt;
        if (inFlight.size() >= settings.maxConcurrentProbes()) {
            return timeout;
        }
        long repeated = waiting.isEmpty() ? Long.MAX_VALUE : Math.max(now, waiting.first().dueAt);
        long first = neverProbed.isEmpty() || offeredEngines >= settings.enoughOffered() ? Long.MAX_VALUE : now;
        return Math.min(timeout, Math.min(repeated, first));
    }

    /** Returns when the next entry that was probed before is due; {@code Long.MAX_VALUE} if there is none. */
    long nextRepeatAt() {
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.first().dueAt;
    }

    /** Whether a probe of this engine is in flight. */
    boolean isInFlight(String id) {
        ProbedEntry entry = entries.get(id);
        return entry != null && entry.timeoutAt > 0;
    }
}
