package cairnline.membership;

import cairnline.control.ControlApi.EngineStatus;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is believed of each listed engine: it takes in what the feed tells, what the disk remembers and what was seen, and
 * gives each engine as the module is to be told of it. It does no I/O, reads no clock and is used by one thread; times
 * are microseconds on the program's clock and never run backwards.
 *
 * <p>What is told needs nothing of this: as long as every entry is {@link State#TOLD}, offers equal the list.
 */
public final class Membership {
    private final TrustSettings settings;
    private final Map<String, Member> members = new HashMap<>();
    private final int[] counts = new int[State.values().length];
    private final Probes probes;
    /** Engines seen alive, in the order in which they were: those that may have become warm by now stand first. */
    private final ArrayDeque<Alive> warming = new ArrayDeque<>();
    private boolean restored;
    private boolean heard;
    private boolean urgent;

    private record Alive(String id, long since) { }

    /** Nothing is believed yet. */
    public Membership(TrustSettings settings) {
        this.settings = settings;
        this.probes = new Probes(settings);
    }

    // ---- What comes in ----

    /** Takes up what the disk remembers, which counts until the feed tells; gives the offers. */
    public List<ListedEngine> restore(long now, List<Remembered> kept) {
        restored = true;
        List<ListedEngine> offers = new ArrayList<>();
        for (Remembered each : kept) {
            Member member = Member.remembered(each, now, settings);
            if (!heard && member.state() != State.GONE && !members.containsKey(member.engine().id())) {
                put(member, now);
                offers.add(member.offer());
            }
        }
        return offers;
    }

    /**
     * Takes in what the feed tells. Gives these entries with further ones that they end: what was remembered at an
     * address that now belongs to another engine. A whole list replaces all that was remembered.
     */
    public List<ListedEngine> told(long now, boolean whole, List<ListedEngine> entries) {
        heard = true;
        List<ListedEngine> all = new ArrayList<>(entries);
        Set<String> named = new HashSet<>();
        entries.forEach(e -> named.add(e.id()));
        if (whole) {
            List.copyOf(members.keySet()).stream().filter(id -> !named.contains(id)).forEach(this::remove);
        } else {
            endTakenOver(entries, named, all);
        }
        for (ListedEngine entry : entries) {
            Member before = members.get(entry.id());
            urgent |= entry.status() != EngineStatus.READY && before != null && before.engine().status() == EngineStatus.READY;
            if (entry.status() == EngineStatus.REMOVED) {
                remove(entry.id());
            } else {
                put(Member.told(entry, now, before), now);
            }
        }
        urgent |= whole;
        return all;
    }

    private void endTakenOver(List<ListedEngine> entries, Set<String> named, List<ListedEngine> all) {
        if (untold() == 0) {
            return;
        }
        Set<String> addresses = new HashSet<>();
        entries.stream().filter(e -> e.status() != EngineStatus.REMOVED).forEach(e -> addresses.add(e.address()));
        for (Member m : List.copyOf(members.values())) {
            if (m.state().isUntold() && !named.contains(m.engine().id()) && addresses.contains(m.engine().address())) {
                all.add(m.gone().engine());
                remove(m.engine().id());
            }
        }
    }

    /** Takes in what was seen of an engine; gives its offer if that has changed, else null. */
    public ListedEngine seen(long now, String id, Evidence evidence) {
        Member before = members.get(id);
        if (before == null) {
            return null;
        }
        Member after = before.seen(evidence, now);
        if (after != before) {
            put(after, now);
            if (after.state().isWatched()) {
                probes.settled(id, evidence.isGood(), now);
            }
        }
        return changed(before, after);
    }

    /** A probe ended without an answer; what was seen of it, if anything, has been told. */
    public void probeEnded(long now, String id) {
        if (probes.isOut(id)) {
            probes.settled(id, false, now);
        }
    }

    /** What time alone has changed: probes not answered, engines warm by now. Gives the offers that changed. */
    public List<ListedEngine> turn(long now) {
        List<ListedEngine> offers = new ArrayList<>(0);
        for (String id = probes.silent(now); id != null; id = probes.silent(now)) {
            ListedEngine offer = seen(now, id, Evidence.SILENCE);
            if (offer != null) {
                offers.add(offer);
            }
        }
        while (!warming.isEmpty() && now - warming.peekFirst().since >= settings.warmWithin()) {
            Alive alive = warming.pollFirst();
            Member m = members.get(alive.id);
            if (m != null && m.aliveSince() == alive.since) {
                put(m.at(now, settings.warmWithin()), now);
            }
        }
        return offers;
    }

    // ---- What is asked of it ----

    /** The engine to be probed now, which from now on counts as asked; null if none is due. */
    public String probe(long now) {
        return probes.next(now, offered());
    }

    /** When {@link #turn} or {@link #probe} has something to do next; never if nothing is waited for. */
    public long due(long now) {
        long warm = warming.isEmpty() ? Long.MAX_VALUE : warming.peekFirst().since + settings.warmWithin();
        return Math.min(warm, probes.due(now, offered()));
    }

    /**
     * How long until asking again may help, if nothing can be offered and nothing is about to change that; 0 if a
     * request may be served or is worth holding. Only for a list that was restored and not told since.
     */
    public long comeBack(long now) {
        if (!restored || heard || offered() > 0 || count(State.REMEMBERED) > 0) {
            return 0;
        }
        long soonest = probes.soonestAgain();
        return soonest == Long.MAX_VALUE ? settings.advice() : Math.max(settings.probePause(), soonest - now);
    }

    /** The engine as the module is to be told of it; an entry that is unknown, having ended, as it is. */
    public ListedEngine offer(ListedEngine entry) {
        Member m = members.get(entry.id());
        return m == null ? entry : m.offer();
    }

    /** How many engines are believed to be in this state. */
    public int count(State state) {
        return counts[state.ordinal()];
    }

    /** What is believed of this engine; null if it is not listed. */
    public State state(String id) {
        Member m = members.get(id);
        return m == null ? null : m.state();
    }

    /** Odds that this entry holds, between 0 and 1; 0 for an engine that is not listed. */
    public double trust(String id) {
        Member m = members.get(id);
        return m == null ? 0 : m.trust().probability();
    }

    /** All that is believed now. */
    public View view(long now) {
        return new View(now, members.values().toArray(new Member[0]));
    }

    /** Whether something has come that a restart must not forget; asked once. */
    public boolean takeUrgent() {
        boolean was = urgent;
        urgent = false;
        return was;
    }

    // ---- State ----

    private int offered() {
        return count(State.TOLD) + count(State.ALIVE) + count(State.PROVEN);
    }

    private int untold() {
        return members.size() - count(State.TOLD) - count(State.LEAVING);
    }

    private void put(Member m, long now) {
        Member before = members.put(m.engine().id(), m);
        if (before != null) {
            counts[before.state().ordinal()]--;
        }
        counts[m.state().ordinal()]++;
        if (m.state().isWatched()) {
            probes.watch(m, now);
        } else {
            probes.forget(m.engine().id());
        }
        if (m.state() == State.ALIVE && (before == null || before.aliveSince() != m.aliveSince())) {
            warming.addLast(new Alive(m.engine().id(), m.aliveSince()));
        }
    }

    private void remove(String id) {
        Member before = members.remove(id);
        if (before != null) {
            counts[before.state().ordinal()]--;
            probes.forget(id);
        }
    }

    private static ListedEngine changed(Member before, Member after) {
        ListedEngine offer = after.offer();
        return offer.equals(before.offer()) ? null : offer;
    }
}
