package cairnline.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.fail;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.membership.Remembered;
import cairnline.membership.State;
import cairnline.store.SnapshotException.Cause;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class SnapshotCodecTest {
    static Snapshot snapshot(int engines, long savedAt) {
        List<Remembered> all = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            ListedEngine engine = new ListedEngine("s-" + i, "127.0.0.1:" + (1_024 + i), EngineStatus.READY, "dc1", "std16",
                    i % 3, 4, 0);
            all.add(new Remembered(engine, State.TOLD, savedAt - i, savedAt));
        }
        return new Snapshot(savedAt, all);
    }

    private static Cause cause(byte[] bytes) {
        return assertThrows(SnapshotException.class, () -> SnapshotCodec.decode(bytes)).why();
    }

    @Provide
    Arbitrary<Remembered> engines() {
        Arbitrary<String> text = Arbitraries.strings().ofMaxLength(40).filter(s -> s.equals(new String(
                s.getBytes(java.nio.charset.StandardCharsets.UTF_8), java.nio.charset.StandardCharsets.UTF_8)));
        Arbitrary<ListedEngine> listed = Combinators.combine(text, text, Arbitraries.of(EngineStatus.class), text, text,
                Arbitraries.integers(), Arbitraries.doubles(), Arbitraries.longs()).as(ListedEngine::new);
        return Combinators.combine(listed, Arbitraries.of(State.class), Arbitraries.longs(), Arbitraries.longs())
                .as(Remembered::new);
    }

    @Property(tries = 200)
    void whatIsWrittenIsRead(@ForAll("lists") List<Remembered> engines, @ForAll long savedAt) throws Exception {
        Snapshot snapshot = new Snapshot(savedAt, engines);
        assertEquals(snapshot, SnapshotCodec.decode(SnapshotCodec.encode(snapshot)));
    }

    @Provide
    Arbitrary<List<Remembered>> lists() {
        return engines().list().ofMaxSize(20);
    }

    @Property(tries = 2_000)
    void noiseNeverPasses(@ForAll byte[] noise) {
        cause(noise);
    }

    @Test
    void aSnapshotCutAtAnyByteIsCut() {
        byte[] whole = SnapshotCodec.encode(snapshot(5, 1_000_000));
        for (int length = 0; length < whole.length; length++) {
            assertEquals(Cause.CUT, cause(Arrays.copyOf(whole, length)), "cut at " + length);
        }
    }

    @Test
    void aSnapshotWithAnyByteFlippedIsSkipped() {
        byte[] whole = SnapshotCodec.encode(snapshot(5, 1_000_000));
        Set<Cause> seen = EnumSet.noneOf(Cause.class);
        for (int i = 0; i < whole.length; i++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = whole.clone();
                flipped[i] ^= (byte) (1 << bit);
                seen.add(cause(flipped));
            }
        }
        assertEquals(EnumSet.of(Cause.DAMAGED, Cause.FOREIGN, Cause.NEWER_VERSION, Cause.CUT), seen);
    }

    @Test
    void aLaterVersionIsKnownAsOneWhateverFollows() {
        byte[] whole = SnapshotCodec.encode(snapshot(1, 1_000_000));
        ByteBuffer.wrap(whole).putShort(8, (short) (SnapshotCodec.VERSION + 1));
        assertEquals(Cause.NEWER_VERSION, cause(whole));
    }

    @Test
    void aTextThatIsTooLongIsNoReasonToWriteHalf() {
        ListedEngine engine = new ListedEngine("s".repeat(70_000), "a", EngineStatus.READY, "z", "k", 0, 1, 0);
        try {
            SnapshotCodec.encode(new Snapshot(0, List.of(new Remembered(engine, State.TOLD, 0, 0))));
            fail("it was written");
        } catch (IllegalArgumentException e) {
            assertEquals("a text of 70000 bytes", e.getMessage());
        }
    }
}
