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
 * Tracks the believed state of each listed engine from reports of the control feed, the list restored from disk and
 * evidence. For each engine it yields the <em>offer</em>: the entry as it is passed to the decision module. The class does
 * no I/O, reads no clock and is not thread-safe. Times are microseconds on the program's clock and never decrease.
 *
 * <p>As long as the feed has reported every entry as ready ({@link State#CONFIRMED}), the offers equal the reported list.
 */
public final class Membership {
    private final TrustSettings settings;
    private final Map<String, Member> members = new HashMap<>();
    private final int[] countsByState = new int[State.values().length];
    private final Probes probes;
    /** Engines observed alive, ordered by the time at which they can have become warm. */
    private final ArrayDeque<WarmUp> warmUps = new ArrayDeque<>();
    private boolean wasRestored;
    private boolean feedReported;
    private boolean urgentChange;

    private record WarmUp(String id, long aliveSince) { }

    /** Creates a membership without engines. */
    public Membership(TrustSettings settings) {
        this.settings = settings;
        this.probes = new Probes(settings);
    }

    // ---- Input ----

    /** Restores the stored engine list, which is valid until the feed reports; returns the offers of its engines. */
    public List<ListedEngine> restore(long now, List<StoredEngine> storedEngines) {
        wasRestored = true;
        List<ListedEngine> offers = new ArrayList<>();
        for (StoredEngine stored : storedEngines) {
            Member member = Member.ofStored(stored, now, settings);
            if (!feedReported && member.state() != State.REMOVED && !members.containsKey(member.engine().id())) {
                put(member, now);
                offers.add(member.toOffer());
            }
        }
        return offers;
    }

    /**
     * Applies a list update from the feed. Returns its entries, followed by entries that it removes implicitly: engines whose
     * address now belongs to another engine. The feed may tell the start of the new one before the end of the old one, or
     * never tell that end.
     *
     * @param complete whether the update holds all engines; it then replaces all restored entries
     */
    public List<ListedEngine> applyUpdate(long now, boolean complete, List<ListedEngine> reported) {
        feedReported = true;
        List<ListedEngine> result = withoutReplaced(reported);
        List<ListedEngine> entries = List.copyOf(result);
        Set<String> reportedIds = new HashSet<>();
        entries.forEach(entry -> reportedIds.add(entry.id()));
        if (complete) {
            List.copyOf(members.keySet()).stream().filter(id -> !reportedIds.contains(id)).forEach(this::remove);
        } else {
            removeReplaced(entries, reportedIds, result);
        }
        for (ListedEngine entry : entries) {
            Member before = members.get(entry.id());
            urgentChange |= entry.status() != EngineStatus.READY && before != null
                    && before.engine().status() == EngineStatus.READY;
            if (entry.status() == EngineStatus.REMOVED) {
                remove(entry.id());
            } else {
                put(Member.ofReported(entry, now, before), now);
            }
        }
        urgentChange |= complete;
        return result;
    }

    /** Returns the entries; of several ready ones with one address, all but the one that started last are removed. */
    private static List<ListedEngine> withoutReplaced(List<ListedEngine> reported) {
        Map<String, ListedEngine> latestByAddress = new HashMap<>();
        for (ListedEngine entry : reported) {
            if (entry.status() == EngineStatus.READY) {
                latestByAddress.merge(entry.address(), entry,
                        (first, second) -> second.startedAt() >= first.startedAt() ? second : first);
            }
        }
        List<ListedEngine> result = new ArrayList<>();
        for (ListedEngine entry : reported) {
            ListedEngine latest = latestByAddress.get(entry.address());
            boolean replaced = entry.status() == EngineStatus.READY && !latest.id().equals(entry.id());
            result.add(replaced ? entry.withStatus(EngineStatus.REMOVED) : entry);
        }
        return result;
    }

    private void removeReplaced(List<ListedEngine> entries, Set<String> reportedIds, List<ListedEngine> result) {
        Set<String> listedAddresses = new HashSet<>();
        Set<String> takenAddresses = new HashSet<>();
        for (ListedEngine entry : entries) {
            Member known = members.get(entry.id());
            if (entry.status() != EngineStatus.REMOVED) {
                listedAddresses.add(entry.address());
            }
            if (entry.status() == EngineStatus.READY && (known == null || !known.engine().address().equals(entry.address()))) {
                takenAddresses.add(entry.address());
            }
        }
        if (takenAddresses.isEmpty() && unconfirmedCount() == 0) {
            return;
        }
        for (Member member : List.copyOf(members.values())) {
            Set<String> addresses = member.state().isUnconfirmed() ? listedAddresses : takenAddresses;
            if (!reportedIds.contains(member.engine().id()) && addresses.contains(member.engine().address())) {
                result.add(member.asRemoved().engine());
                remove(member.engine().id());
            }
        }
    }

    /** Applies evidence about an engine; returns its offer if that has changed, otherwise null. */
    public ListedEngine observe(long now, String id, Evidence evidence) {
        Member before = members.get(id);
        if (before == null) {
            return null;
        }
        Member after = before.after(evidence, now);
        if (after != before) {
            put(after, now);
            if (after.state().needsProbing()) {
                probes.finished(id, evidence.isGood(), now);
            }
        }
        return changedOffer(before, after);
    }

    /** Records that a probe has ended without an answer; evidence that it yielded has been applied before. */
    public void probeFailed(long now, String id) {
        if (probes.isInFlight(id)) {
            probes.finished(id, false, now);
        }
    }

    /** Applies what depends on time only: probe timeouts and completed warm-ups. Returns the offers that have changed. */
    public List<ListedEngine> advanceTime(long now) {
        List<ListedEngine> offers = new ArrayList<>(0);
        for (String id = probes.timedOut(now); id != null; id = probes.timedOut(now)) {
            ListedEngine offer = observe(now, id, Evidence.NO_ANSWER);
            if (offer != null) {
                offers.add(offer);
            }
        }
        while (!warmUps.isEmpty() && now - warmUps.peekFirst().aliveSince >= settings.warmUpTime()) {
            WarmUp warmUp = warmUps.pollFirst();
            Member member = members.get(warmUp.id);
            if (member != null && member.aliveSince() == warmUp.aliveSince) {
                put(member.advancedTo(now, settings.warmUpTime()), now);
            }
        }
        return offers;
    }

    // ---- Queries ----

    /** Returns the id of the engine to probe now and counts its probe as in flight; null if none is due. */
    public String nextProbe(long now) {
        return probes.next(now, offeredCount());
    }

    /** Returns when {@link #advanceTime} or {@link #nextProbe} is next to be called; {@code Long.MAX_VALUE} for never. */
    public long nextEventAt(long now) {
        long warmAt = warmUps.isEmpty() ? Long.MAX_VALUE : warmUps.peekFirst().aliveSince + settings.warmUpTime();
        return Math.min(warmAt, probes.nextEventAt(now, offeredCount()));
    }

    /**
     * Returns the time in microseconds after which a client should retry, if no engine can be offered and no first probe is
     * pending that could change this; 0 if a request may be served or is worth queueing. Not 0 only while the list is the
     * restored one, without a report from the feed since.
     */
    public long retryAfter(long now) {
        if (!wasRestored || feedReported || offeredCount() > 0 || count(State.RESTORED) > 0) {
            return 0;
        }
        long nextProbeAt = probes.nextRepeatAt();
        return nextProbeAt == Long.MAX_VALUE ? settings.retryAfter() : Math.max(settings.probeInterval(), nextProbeAt - now);
    }

    /** Returns the offer for this entry; an entry without a member, as after its removal, is returned unchanged. */
    public ListedEngine offerFor(ListedEngine entry) {
        Member member = members.get(entry.id());
        return member == null ? entry : member.toOffer();
    }

    /** Returns the number of engines in this state. */
    public int count(State state) {
        return countsByState[state.ordinal()];
    }

    /** Returns the state of this engine; null if it is not listed. */
    public State stateOf(String id) {
        Member member = members.get(id);
        return member == null ? null : member.state();
    }

    /** Returns the probability that this entry is valid, between 0 and 1; 0 for an engine that is not listed. */
    public double trustIn(String id) {
        Member member = members.get(id);
        return member == null ? 0 : member.trust().probability();
    }

    /** Returns an immutable view of all members. */
    public MembershipView view(long now) {
        return new MembershipView(now, members.values().toArray(new Member[0]));
    }

    /** Returns whether a change has to be stored at once, since it must survive a restart; clears the flag. */
    public boolean takeUrgentChange() {
        boolean wasUrgent = urgentChange;
        urgentChange = false;
        return wasUrgent;
    }

    // ---- State ----

    private int offeredCount() {
        return count(State.CONFIRMED) + count(State.ALIVE) + count(State.WARM);
    }

    private int unconfirmedCount() {
        return members.size() - count(State.CONFIRMED) - count(State.DRAINING);
    }

    private void put(Member member, long now) {
        Member before = members.put(member.engine().id(), member);
        if (before != null) {
            countsByState[before.state().ordinal()]--;
        }
        countsByState[member.state().ordinal()]++;
        if (member.state().needsProbing()) {
            probes.schedule(member, now);
        } else {
            probes.remove(member.engine().id());
        }
        if (member.state() == State.ALIVE && (before == null || before.aliveSince() != member.aliveSince())) {
            warmUps.addLast(new WarmUp(member.engine().id(), member.aliveSince()));
        }
    }

    private void remove(String id) {
        Member before = members.remove(id);
        if (before != null) {
            countsByState[before.state().ordinal()]--;
            probes.remove(id);
        }
    }

    private static ListedEngine changedOffer(Member before, Member after) {
        ListedEngine offer = after.toOffer();
        return offer.equals(before.toOffer()) ? null : offer;
    }
}
