package cairnline.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.EngineStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long HOUR = 3_600 * SECOND;
    private static final long NOW = 1_000_000 * HOUR;
    private static final long WARM = 15 * SECOND;

    private final TrustSettings settings = TrustSettings.usual(WARM);
    private final Membership membership = new Membership(settings);

    private static ListedEngine engine(String id, EngineStatus listed) {
        return new ListedEngine(id, "127.0.0.1:" + (7_000 + id.charAt(1)), listed, "dc1", "std16", 0, 1, 0);
    }

    private static Remembered kept(String id, State last, long age) {
        EngineStatus listed = last == State.LEAVING ? EngineStatus.DRAINING : last == State.GONE ? EngineStatus.REMOVED : EngineStatus.READY;
        return new Remembered(engine(id, listed), last, NOW - age, 0);
    }

    private void restore(Remembered... kept) {
        membership.restore(NOW, List.of(kept));
    }

    /** All that are asked now, in their order. */
    private List<String> asked(long now) {
        List<String> asked = new ArrayList<>();
        for (String id = membership.probe(now); id != null; id = membership.probe(now)) {
            asked.add(id);
        }
        return asked;
    }

    private EngineStatus offered(String id) {
        return membership.offer(engine(id, EngineStatus.REMOVED)).status();
    }

    @Test
    void whatTheFeedTellsIsOfferedAsItIs() {
        ListedEngine told = engine("e1", EngineStatus.READY);
        assertEquals(List.of(told), membership.told(NOW, true, List.of(told)));
        assertEquals(told, membership.offer(told));
        for (Evidence each : Evidence.values()) {
            assertNull(membership.seen(NOW, "e1", each), "the module alone judges what is told");
        }
        assertEquals(Long.MAX_VALUE, membership.due(NOW));
        assertEquals(0, membership.comeBack(NOW));
    }

    @Test
    void aRememberedEngineIsOfferedAsJustStartedOnceItAnswers() {
        restore(kept("e1", State.TOLD, 10 * SECOND));
        assertEquals(EngineStatus.DRAINING, offered("e1"));
        assertEquals(List.of("e1"), asked(NOW));
        ListedEngine offer = membership.seen(NOW + 3 * MS, "e1", Evidence.PROBE_ANSWERED);
        assertEquals(EngineStatus.READY, offer.status());
        assertEquals(NOW + 3 * MS, offer.startedAt(), "it may be as cold as one that started when it was first seen");
        assertTrue(!offer.startTimeKnown(), "and may be the last to warm up");
        assertNull(membership.seen(NOW + 4 * MS, "e1", Evidence.WORK_SERVED), "nothing new to tell the module");
        assertTrue(membership.turn(NOW + 3 * MS + WARM).isEmpty());
        assertEquals(State.PROVEN, membership.state("e1"));
    }

    @Test
    void anOldEntryNeedsMoreEvidenceThanAFreshOne() {
        long[] ages = {0, 2 * settings.halfLife(), 5 * settings.halfLife(), 400 * settings.halfLife()};
        int[] answersNeeded = {1, 1, 2, 3};
        for (int i = 0; i < ages.length; i++) {
            Membership each = new Membership(settings);
            each.restore(NOW, List.of(kept("e1", State.TOLD, ages[i])));
            int answers = 0;
            while (each.state("e1") == State.REMEMBERED) {
                each.seen(NOW + ++answers, "e1", Evidence.PROBE_ANSWERED);
            }
            assertEquals(answersNeeded[i], answers, "age " + ages[i]);
        }
    }

    @Test
    void aClockThatWasSetBackMakesNoEntryYounger() {
        restore(kept("e1", State.TOLD, settings.halfLife()), kept("e2", State.TOLD, -settings.halfLife()));
        assertEquals(membership.trust("e1"), membership.trust("e2"), 1e-9);
        assertTrue(membership.trust("e2") < settings.fresh());
    }

    @Test
    void theMostTrustedIsAskedFirstAndNoMoreAtOnceThanAllowed() {
        Remembered[] many = IntStream.range(0, 200).mapToObj(i -> new Remembered(new ListedEngine("e" + i,
                "127.0.0.1:" + (2_000 + i), EngineStatus.READY, "dc1", "std16", 0, 1, 0), State.TOLD, NOW - i * HOUR, 0))
                .toArray(Remembered[]::new);
        restore(many);
        List<String> first = asked(NOW);
        assertEquals(IntStream.range(0, settings.probesAtOnce()).mapToObj(i -> "e" + i).toList(), first);
        membership.seen(NOW + MS, "e0", Evidence.PROBE_ANSWERED);
        assertEquals(List.of("e" + settings.probesAtOnce()), asked(NOW + MS));
    }

    @Test
    void enoughOfferedEnginesLeaveTheRestAlone() {
        TrustSettings few = new TrustSettings(HOUR, 0.9, WARM, 400 * MS, 100 * MS, SECOND, 4, 2, SECOND);
        Membership each = new Membership(few);
        each.restore(NOW, List.of(kept("e1", State.TOLD, 0), kept("e2", State.TOLD, MS), kept("e3", State.TOLD, HOUR)));
        for (String id : List.of("e1", "e2")) {
            assertEquals(id, each.probe(NOW));
            each.seen(NOW, id, Evidence.PROBE_ANSWERED);
        }
        assertNull(each.probe(NOW));
        // One of them ends: the next in line is asked.
        each.seen(NOW + MS, "e1", Evidence.REFUSED);
        each.seen(NOW + MS, "e1", Evidence.REFUSED);
        assertEquals("e3", each.probe(NOW + MS));
    }

    @Test
    void silenceIsNotedWhenItsTimeIsUpAndAskedAgainAtGrowingPauses() {
        restore(kept("e1", State.TOLD, 0));
        List<Long> pauses = new ArrayList<>();
        long now = NOW;
        for (int i = 0; i < 9; i++) {
            assertEquals(List.of("e1"), asked(now));
            long silent = membership.due(now);
            assertEquals(now + settings.probeWithin(), silent);
            membership.turn(silent);
            assertEquals(State.ILL, membership.state("e1"));
            now = membership.due(silent);
            assertEquals(now - silent, membership.comeBack(silent), "when to come back is when it is asked next");
            pauses.add((now - silent) / MS);
        }
        assertEquals(List.of(100L, 200L, 400L, 800L, 1_600L, 3_200L, 5_000L, 5_000L, 5_000L), pauses);
        membership.seen(now, "e1", Evidence.PROBE_ANSWERED);
        membership.seen(now, "e1", Evidence.PROBE_ANSWERED);
        membership.seen(now, "e1", Evidence.PROBE_ANSWERED);
        assertEquals(State.ALIVE, membership.state("e1"), "a late answer is an answer");
        assertEquals(0, membership.comeBack(now));
    }

    @Test
    void whatEndedOrDrainedGetsNothingHoweverOldAndWhateverItAnswers() {
        restore(kept("e1", State.LEAVING, 1_000 * settings.halfLife()), kept("e2", State.GONE, 0));
        assertNull(membership.state("e2"));
        assertTrue(asked(NOW).isEmpty());
        for (int i = 0; i < 10; i++) {
            assertNull(membership.seen(NOW + i, "e1", Evidence.WORK_SERVED));
        }
        assertEquals(EngineStatus.DRAINING, offered("e1"));
        assertEquals(settings.advice(), membership.comeBack(NOW), "nothing can be offered");
    }

    @Test
    void whatIsNoEngineIsToldApartFromAnEngineThatSpoilsAnAnswer() {
        restore(kept("e1", State.TOLD, 0), kept("e2", State.TOLD, 0));
        membership.seen(NOW, "e1", Evidence.UNREADABLE);
        assertEquals(State.MISTAKEN, membership.state("e1"));
        membership.seen(NOW, "e1", Evidence.REFUSED);
        assertEquals(State.MISTAKEN, membership.state("e1"), "it stays known as that");
        membership.seen(NOW, "e2", Evidence.PROBE_ANSWERED);
        membership.seen(NOW, "e2", Evidence.WORK_SERVED);
        membership.seen(NOW, "e2", Evidence.WORK_SERVED);
        membership.seen(NOW, "e2", Evidence.UNREADABLE);
        assertEquals(State.ALIVE, membership.state("e2"));
    }

    @Test
    void aBrokenConnectionMakesItColdOnceMore() {
        restore(kept("e1", State.TOLD, 0));
        membership.seen(NOW, "e1", Evidence.PROBE_ANSWERED);
        membership.turn(NOW + WARM);
        assertEquals(State.PROVEN, membership.state("e1"));
        ListedEngine offer = membership.seen(NOW + WARM + 7, "e1", Evidence.RESET);
        assertNotNull(offer);
        assertEquals(NOW + WARM + 7, offer.startedAt());
        assertEquals(State.ALIVE, membership.state("e1"));
        assertTrue(membership.turn(NOW + 2 * WARM).isEmpty());
        assertEquals(State.ALIVE, membership.state("e1"), "its warmth of before counts no more");
    }

    @Test
    void theFirstWholeListReplacesAllThatWasRemembered() {
        restore(kept("e1", State.TOLD, 0), kept("e2", State.TOLD, 0), kept("e3", State.TOLD, 0));
        membership.seen(NOW, "e1", Evidence.PROBE_ANSWERED);
        membership.told(NOW + MS, true, List.of(engine("e1", EngineStatus.READY), engine("e2", EngineStatus.DRAINING)));
        assertEquals(State.TOLD, membership.state("e1"));
        assertEquals(0, membership.offer(engine("e1", EngineStatus.READY)).startedAt(), "the feed knows since when it runs");
        assertEquals(State.LEAVING, membership.state("e2"));
        assertNull(membership.state("e3"));
        assertTrue(membership.takeUrgent());
        assertTrue(asked(NOW + SECOND).isEmpty());
        assertTrue(membership.restore(NOW + SECOND, List.of(kept("e4", State.TOLD, 0))).isEmpty(), "too late");
    }

    @Test
    void anAddressGivenToANewEngineEndsTheOneRememberedThere() {
        restore(kept("e1", State.TOLD, 0), kept("e2", State.TOLD, 0));
        ListedEngine next = new ListedEngine("n1", engine("e1", EngineStatus.READY).address(), EngineStatus.READY, "dc1", "std16",
                0, 1, 0);
        List<ListedEngine> entries = membership.told(NOW, false, List.of(next));
        assertEquals(List.of("n1", "e1"), entries.stream().map(ListedEngine::id).toList());
        assertEquals(EngineStatus.REMOVED, entries.get(1).status());
        assertNull(membership.state("e1"));
        assertEquals(State.REMEMBERED, membership.state("e2"));
    }

    @Test
    void aDrainIsUrgentToKeepAndAServedRequestIsNot() {
        membership.told(NOW, true, List.of(engine("e1", EngineStatus.READY)));
        assertTrue(membership.takeUrgent());
        membership.seen(NOW, "e1", Evidence.WORK_SERVED);
        assertTrue(!membership.takeUrgent());
        membership.told(NOW, false, List.of(engine("e1", EngineStatus.DRAINING)));
        assertTrue(membership.takeUrgent());
        assertEquals(State.LEAVING, membership.view(NOW).remembered().get(0).last());
    }

    /** Each state, what may come, and where it leads: the drawing in docs/membership.md, as a table. */
    @Test
    void theStateMachineIsAsDrawn() {
        for (State state : Set.of(State.TOLD, State.LEAVING, State.GONE)) {
            for (Evidence seen : Evidence.values()) {
                assertEquals(state, state.after(seen, true));
                assertEquals(state, state.after(seen, false));
            }
        }
        for (State state : Set.of(State.REMEMBERED, State.ILL)) {
            assertEquals(State.ALIVE, state.after(Evidence.PROBE_ANSWERED, true));
            assertEquals(State.REMEMBERED, state.after(Evidence.PROBE_ANSWERED, false));
            assertEquals(State.ILL, state.after(Evidence.SILENCE, true));
            assertEquals(State.ILL, state.after(Evidence.REFUSED, false));
            assertEquals(State.MISTAKEN, state.after(Evidence.UNREADABLE, true));
        }
        assertEquals(State.MISTAKEN, State.MISTAKEN.after(Evidence.SILENCE, false));
        assertEquals(State.REMEMBERED, State.MISTAKEN.after(Evidence.PROBE_ANSWERED, false));
        for (State state : Set.of(State.ALIVE, State.PROVEN)) {
            assertEquals(state, state.after(Evidence.WORK_SERVED, true));
            assertEquals(State.ALIVE, state.after(Evidence.RESET, true));
            assertEquals(State.ILL, state.after(Evidence.RESET, false));
        }
    }
}
