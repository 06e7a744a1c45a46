package cairnline.routing;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** The engines that are listed, and the links to them. Only the core's thread uses it; times are microseconds. */
final class EngineRegistry {
    private final Map<String, Entry> entries = new HashMap<>();
    private final Function<ListedEngine, EngineLink> links;
    private final long drainGrace;

    /** An engine that is listed, or gone with attempts still out. */
    static final class Entry {
        private final EngineLink link;
        private ListedEngine listed;
        private int attemptsOut;

        private Entry(ListedEngine listed, EngineLink link) {
            this.listed = listed;
            this.link = link;
        }

        EngineLink link() {
            return link;
        }

        void attemptBegan() {
            attemptsOut++;
        }
    }

    /** No engines yet; {@code links} opens the way to one, to which nothing leaves after {@code drainGrace} of draining. */
    EngineRegistry(Function<ListedEngine, EngineLink> links, long drainGrace) {
        this.links = links;
        this.drainGrace = drainGrace;
    }

    /** The engine with this id; null if it is not listed. */
    Entry get(String id) {
        return entries.get(id);
    }

    /** Brings links in line with these entries, which are all there are if {@code whole}. */
    void update(long now, boolean whole, List<ListedEngine> told) {
        if (whole) {
            Set<String> named = new HashSet<>();
            told.forEach(engine -> named.add(engine.id()));
            for (Entry entry : List.copyOf(entries.values())) {
                if (!named.contains(entry.listed.id())) {
                    become(now, entry, entry.listed.as(EngineStatus.REMOVED));
                }
            }
        }
        told.forEach(engine -> reach(now, engine));
    }

    /** An attempt at this engine has ended. */
    void attemptEnded(Entry entry) {
        entry.attemptsOut--;
        closeIfGone(entry);
    }

    private void reach(long now, ListedEngine engine) {
        Entry known = entries.get(engine.id());
        if (known != null && !known.listed.address().equals(engine.address())) {
            // The same name at another address is reached by another way; the old one ends.
            entries.remove(engine.id());
            known.link.close();
            known = null;
        }
        if (known != null) {
            become(now, known, engine);
        } else if (engine.status() != EngineStatus.REMOVED) {
            Entry entry = new Entry(engine, links.apply(engine));
            entries.put(engine.id(), entry);
            become(now, entry, engine);
        }
    }

    private void become(long now, Entry entry, ListedEngine engine) {
        boolean wasReady = entry.listed.status() == EngineStatus.READY;
        if (engine.startedAt() > entry.listed.startedAt()) {
            entry.link.renew();
        }
        entry.listed = engine;
        if (engine.status() == EngineStatus.READY) {
            entry.link.lastSend(Long.MAX_VALUE);
        } else if (wasReady) {
            entry.link.lastSend(now + drainGrace);
        }
        closeIfGone(entry);
    }

    private void closeIfGone(Entry entry) {
        if (entry.listed.status() == EngineStatus.REMOVED && entry.attemptsOut == 0 && entries.remove(entry.listed.id(), entry)) {
            entry.link.close();
        }
    }
}
