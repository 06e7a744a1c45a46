package cairnline.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.fail;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.membership.StoredEngine;
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

/** Tests that snapshots survive encoding, and that damaged ones are rejected with the right cause. */
class SnapshotCodecTest {
    static Snapshot snapshot(int engines, long savedAt) {
        List<StoredEngine> stored = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            ListedEngine engine = new ListedEngine("s-" + i, "127.0.0.1:" + (1_024 + i), EngineStatus.READY, "dc1", "std16",
                    i % 3, 4, 0);
            stored.add(new StoredEngine(engine, State.CONFIRMED, savedAt - i, savedAt));
        }
        return new Snapshot(savedAt, stored);
    }

    private static Cause decodingFailure(byte[] bytes) {
        return assertThrows(SnapshotException.class, () -> SnapshotCodec.decode(bytes)).reason();
    }

    @Provide
    Arbitrary<StoredEngine> engines() {
        Arbitrary<String> text = Arbitraries.strings().ofMaxLength(40).filter(s -> s.equals(new String(
                s.getBytes(java.nio.charset.StandardCharsets.UTF_8), java.nio.charset.StandardCharsets.UTF_8)));
        Arbitrary<ListedEngine> listed = Combinators.combine(text, text, Arbitraries.of(EngineStatus.class), text, text,
                Arbitraries.integers(), Arbitraries.doubles(), Arbitraries.longs()).as(ListedEngine::new);
        return Combinators.combine(listed, Arbitraries.of(State.class), Arbitraries.longs(), Arbitraries.longs())
                .as(StoredEngine::new);
    }

    @Property(tries = 200)
    void decodesWhatItEncoded(@ForAll("engineLists") List<StoredEngine> engines, @ForAll long savedAt) throws Exception {
        Snapshot snapshot = new Snapshot(savedAt, engines);
        assertEquals(snapshot, SnapshotCodec.decode(SnapshotCodec.encode(snapshot)));
    }

    @Provide
    Arbitrary<List<StoredEngine>> engineLists() {
        return engines().list().ofMaxSize(20);
    }

    @Property(tries = 2_000)
    void rejectsRandomBytes(@ForAll byte[] noise) {
        decodingFailure(noise);
    }

    @Test
    void reportsTruncationAtAnyLength() {
        byte[] encoded = SnapshotCodec.encode(snapshot(5, 1_000_000));
        for (int length = 0; length < encoded.length; length++) {
            assertEquals(Cause.CUT, decodingFailure(Arrays.copyOf(encoded, length)), "truncated to " + length);
        }
    }

    @Test
    void rejectsSnapshotWithAnyBitFlipped() {
        byte[] encoded = SnapshotCodec.encode(snapshot(5, 1_000_000));
        Set<Cause> causes = EnumSet.noneOf(Cause.class);
        for (int i = 0; i < encoded.length; i++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = encoded.clone();
                flipped[i] ^= (byte) (1 << bit);
                causes.add(decodingFailure(flipped));
            }
        }
        assertEquals(EnumSet.of(Cause.DAMAGED, Cause.FOREIGN, Cause.NEWER_VERSION, Cause.CUT), causes);
    }

    @Test
    void recognisesNewerVersionWhateverItsContent() {
        byte[] encoded = SnapshotCodec.encode(snapshot(1, 1_000_000));
        ByteBuffer.wrap(encoded).putShort(8, (short) (SnapshotCodec.VERSION + 1));
        assertEquals(Cause.NEWER_VERSION, decodingFailure(encoded));
    }

    @Test
    void refusesToEncodeTextThatIsTooLong() {
        ListedEngine engine = new ListedEngine("s".repeat(70_000), "a", EngineStatus.READY, "z", "k", 0, 1, 0);
        try {
            SnapshotCodec.encode(new Snapshot(0, List.of(new StoredEngine(engine, State.CONFIRMED, 0, 0))));
            fail("the snapshot was encoded");
        } catch (IllegalArgumentException e) {
            assertEquals("text exceeds 65535 bytes: 70000 bytes", e.getMessage());
        }
    }
}
