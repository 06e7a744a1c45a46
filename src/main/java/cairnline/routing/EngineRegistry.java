package cairnline.routing;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** The listed engines and the links to them. Used only on the dispatcher's thread; times are in microseconds. */
final class EngineRegistry {
    private final Map<String, Entry> entries = new HashMap<>();
    private final Function<ListedEngine, EngineLink> linkFactory;
    private final long drainGrace;

    /** An engine that is listed, or that was removed while attempts were in flight to it. */
    static final class Entry {
        private final EngineLink link;
        private ListedEngine engine;
        private int attemptsInFlight;

        private Entry(ListedEngine engine, EngineLink link) {
            this.engine = engine;
            this.link = link;
        }

        EngineLink link() {
            return link;
        }

        void attemptStarted() {
            attemptsInFlight++;
        }
    }

    /**
     * Creates a registry without engines.
     *
     * @param linkFactory creates the link to an engine
     * @param drainGrace time after the start of a drain from which on nothing is sent to the engine
     */
    EngineRegistry(Function<ListedEngine, EngineLink> linkFactory, long drainGrace) {
        this.linkFactory = linkFactory;
        this.drainGrace = drainGrace;
    }

    /** Returns the entry of the engine with this id; null if there is none. */
    Entry get(String id) {
        return entries.get(id);
    }

    /** Updates the links to match these engines; if {@code complete}, engines that are missing here are removed. */
    void update(long now, boolean complete, List<ListedEngine> engines) {
        if (complete) {
            Set<String> ids = new HashSet<>();
            engines.forEach(engine -> ids.add(engine.id()));
            for (Entry entry : List.copyOf(entries.values())) {
                if (!ids.contains(entry.engine.id())) {
                    apply(now, entry, entry.engine.withStatus(EngineStatus.REMOVED));
                }
            }
        }
        engines.forEach(engine -> update(now, engine));
    }

    /** Records that an attempt on this engine has ended. */
    void attemptEnded(Entry entry) {
        entry.attemptsInFlight--;
        closeIfRemoved(entry);
    }

    private void update(long now, ListedEngine engine) {
        Entry known = entries.get(engine.id());
        if (known != null && !known.engine.address().equals(engine.address())) {
            // A link is bound to one address: an engine with a new address gets a new link.
            entries.remove(engine.id());
            known.link.close();
            known = null;
        }
        if (known != null) {
            apply(now, known, engine);
        } else if (engine.status() != EngineStatus.REMOVED) {
            Entry entry = new Entry(engine, linkFactory.apply(engine));
            entries.put(engine.id(), entry);
            apply(now, entry, engine);
        }
    }

    private void apply(long now, Entry entry, ListedEngine engine) {
        boolean wasReady = entry.engine.status() == EngineStatus.READY;
        if (engine.startedAt() > entry.engine.startedAt()) {
            entry.link.resetConnections();
        }
        entry.engine = engine;
        if (engine.status() == EngineStatus.READY) {
            entry.link.stopSendingAfter(Long.MAX_VALUE);
        } else if (engine.status() == EngineStatus.REMOVED) {
            // Another engine may listen at the address by now: what was not sent must not reach it in place of this one.
            entry.link.stopSendingAfter(now - 1);
        } else if (wasReady) {
            entry.link.stopSendingAfter(now + drainGrace);
        }
        closeIfRemoved(entry);
    }

    private void closeIfRemoved(Entry entry) {
        if (entry.engine.status() == EngineStatus.REMOVED && entry.attemptsInFlight == 0
                && entries.remove(entry.engine.id(), entry)) {
            entry.link.close();
        }
    }
}
