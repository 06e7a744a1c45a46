package cairnline.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Whom to probe first, and when again: entries with most trust go first, ill ones at growing pauses, and no more are out
 * at once than the settings say. Plain state of {@link Membership}; times in microseconds.
 */
final class Probes {
    /** Pauses double until this many failures; further ones would overflow and change nothing. */
    private static final int DOUBLINGS = 16;

    private final TrustSettings settings;
    private final Map<String, Watch> watched = new HashMap<>();
    /** Never asked yet; the most trusted first, and where trust is at its least, the last confirmed. */
    private final TreeSet<Watch> fresh = new TreeSet<>(Comparator.comparingDouble((Watch w) -> -w.trust)
            .thenComparingLong(w -> -w.confirmedAt).thenComparing(w -> w.id));
    /** To be asked again. */
    private final TreeSet<Watch> again = new TreeSet<>(Comparator.comparingLong((Watch w) -> w.dueAt)
            .thenComparing(w -> w.id));
    private final TreeSet<Watch> out = new TreeSet<>(Comparator.comparingLong((Watch w) -> w.silentAt)
            .thenComparing(w -> w.id));

    /** An entry that is looked after. Its fields are set only while it stands in neither of the sets. */
    private static final class Watch {
        final String id;
        double trust;
        long confirmedAt;
        long dueAt;
        /** When a probe that is out counts as unanswered; 0 if none is out. */
        long silentAt;
        boolean asked;
        int failures;

        Watch(String id) {
            this.id = id;
        }
    }

    Probes(TrustSettings settings) {
        this.settings = settings;
    }

    /** Looks after this entry, or takes up what is believed of it now. */
    void watch(Member member, long now) {
        Watch w = watched.computeIfAbsent(member.engine().id(), Watch::new);
        if (w.silentAt == 0) {
            take(w);
            w.trust = member.trust().nats();
            w.confirmedAt = Math.max(member.reportedAt(), member.aliveAt());
            put(w);
        }
    }

    private void put(Watch w) {
        (w.asked ? again : fresh).add(w);
    }

    private void take(Watch w) {
        (w.silentAt > 0 ? out : w.asked ? again : fresh).remove(w);
    }

    void forget(String id) {
        Watch w = watched.remove(id);
        if (w != null) {
            take(w);
        }
    }

    /** The next to be asked, which from now on counts as asked; null if none is due or too many are out. */
    String next(long now, int offered) {
        if (due(now, offered) > now || out.size() >= settings.probesAtOnce()) {
            return null;
        }
        Watch w = !again.isEmpty() && again.first().dueAt <= now ? again.first()
                : !fresh.isEmpty() && offered < settings.enough() ? fresh.first() : null;
        if (w == null) {
            return null;
        }
        take(w);
        w.asked = true;
        w.silentAt = now + settings.probeWithin();
        out.add(w);
        return w.id;
    }

    /** One whose probe has been out for too long; null if there is none. */
    String silent(long now) {
        return !out.isEmpty() && out.first().silentAt <= now ? out.first().id : null;
    }

    /** Its probe is over, or what was seen of it makes waiting for one idle. */
    void settled(String id, boolean good, long now) {
        Watch w = watched.get(id);
        if (w == null) {
            return;
        }
        take(w);
        w.silentAt = 0;
        w.asked = true;
        w.failures = good ? 0 : w.failures + 1;
        long pause = settings.probePause() << Math.min(DOUBLINGS, Math.max(0, w.failures - 1));
        w.dueAt = now + Math.min(settings.probePauseMost(), pause);
        put(w);
    }

    /** When something is due next; never if nothing is watched. */
    long due(long now, int offered) {
        long silent = out.isEmpty() ? Long.MAX_VALUE : out.first().silentAt;
        if (out.size() >= settings.probesAtOnce()) {
            return silent;
        }
        long asked = again.isEmpty() ? Long.MAX_VALUE : Math.max(now, again.first().dueAt);
        long first = fresh.isEmpty() || offered >= settings.enough() ? Long.MAX_VALUE : now;
        return Math.min(silent, Math.min(asked, first));
    }

    /** When the next of those asked before may be asked again; never if there is none. */
    long soonestAgain() {
        return again.isEmpty() ? Long.MAX_VALUE : again.first().dueAt;
    }

    /** Whether a probe of this entry is out. */
    boolean isOut(String id) {
        Watch w = watched.get(id);
        return w != null && w.silentAt > 0;
    }
}
