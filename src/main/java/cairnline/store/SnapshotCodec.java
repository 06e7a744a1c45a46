package cairnline.store;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.membership.Remembered;
import cairnline.membership.State;
import cairnline.store.SnapshotException.Cause;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Snapshots as bytes, big-endian:
 *
 * <pre>
 * magic "CAIRNLST" | version u16 | length of all u32 | saved at i64 (us) | engines u32
 * then for each engine: id, address, zone, kind (u16 length, UTF-8) | listed u8 | state u8 | cell i32 | size f64
 *                       | started at, told at, alive at i64 (us)
 * then MurmurHash3 (128 bits, x64) of all before it
 * </pre>
 *
 * <p>A later version must keep the first 14 bytes, so that this one can tell what it is.
 */
public final class SnapshotCodec {
    /** The version that is written, and the latest that is read. */
    static final int VERSION = 1;

    private static final byte[] MAGIC = "CAIRNLST".getBytes(StandardCharsets.US_ASCII);
    private static final int HEAD = MAGIC.length + 2 + 4 + 8 + 4;
    private static final int HASH = 16;
    /** Of an engine without its texts. */
    private static final int FIXED = 4 * 2 + 2 + 4 + 8 + 3 * 8;
    private static final int TEXT_MOST = 0xFFFF;
    private static final EngineStatus[] LISTED = EngineStatus.values();
    private static final State[] STATES = State.values();

    private SnapshotCodec() { }

    /** Encodes a snapshot. */
    public static byte[] encode(Snapshot snapshot) {
        List<byte[][]> texts = new ArrayList<>(snapshot.engines().size());
        int length = HEAD + HASH;
        for (Remembered each : snapshot.engines()) {
            ListedEngine e = each.engine();
            byte[][] own = {utf8(e.id()), utf8(e.address()), utf8(e.zone()), utf8(e.kind())};
            texts.add(own);
            length += FIXED + own[0].length + own[1].length + own[2].length + own[3].length;
        }
        ByteBuffer out = ByteBuffer.allocate(length);
        out.put(MAGIC).putShort((short) VERSION).putInt(length).putLong(snapshot.savedAt());
        out.putInt(snapshot.engines().size());
        for (int i = 0; i < texts.size(); i++) {
            put(out, snapshot.engines().get(i), texts.get(i));
        }
        long[] hash = MurmurHash3.hash128x64(Arrays.copyOf(out.array(), length - HASH));
        out.putLong(hash[0]).putLong(hash[1]);
        return out.array();
    }

    private static byte[] utf8(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > TEXT_MOST) {
            throw new IllegalArgumentException("a text of " + bytes.length + " bytes");
        }
        return bytes;
    }

    private static void put(ByteBuffer out, Remembered each, byte[][] texts) {
        for (byte[] text : texts) {
            out.putShort((short) text.length).put(text);
        }
        ListedEngine e = each.engine();
        out.put((byte) e.status().ordinal()).put((byte) each.last().ordinal());
        out.putInt(e.cell()).putDouble(e.size());
        out.putLong(e.startedAt()).putLong(each.toldAt()).putLong(each.aliveAt());
    }

    /** Decodes a whole file; never returns what was not written so. */
    public static Snapshot decode(byte[] bytes) throws SnapshotException {
        int known = Math.min(bytes.length, MAGIC.length);
        if (known == 0) {
            throw new SnapshotException(Cause.CUT, "it is empty");
        }
        if (!Arrays.equals(bytes, 0, known, MAGIC, 0, known)) {
            throw new SnapshotException(Cause.FOREIGN, "it is no snapshot of a list");
        }
        if (bytes.length < HEAD + HASH) {
            throw new SnapshotException(Cause.CUT, "it ends within its head, after " + bytes.length + " bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes).position(MAGIC.length);
        int version = Short.toUnsignedInt(in.getShort());
        if (version > VERSION) {
            throw new SnapshotException(Cause.NEWER_VERSION, "version " + version + " is later than " + VERSION);
        }
        int length = in.getInt();
        if (length > bytes.length) {
            throw new SnapshotException(Cause.CUT, "it ends after " + bytes.length + " bytes of " + length);
        }
        long[] hash = MurmurHash3.hash128x64(Arrays.copyOf(bytes, bytes.length - HASH));
        ByteBuffer tail = ByteBuffer.wrap(bytes).position(bytes.length - HASH);
        if (version < VERSION || length != bytes.length || tail.getLong() != hash[0] || tail.getLong() != hash[1]) {
            throw new SnapshotException(Cause.DAMAGED, "its checksum is wrong");
        }
        return body(in.limit(bytes.length - HASH));
    }

    private static Snapshot body(ByteBuffer in) throws SnapshotException {
        try {
            long savedAt = in.getLong();
            int count = in.getInt();
            List<Remembered> engines = new ArrayList<>(Math.max(0, Math.min(count, in.remaining() / FIXED)));
            // Zones and kinds are few: one copy of each is enough.
            Map<String, String> shared = new HashMap<>();
            for (int i = 0; i < count; i++) {
                engines.add(engine(in, shared));
            }
            if (in.hasRemaining()) {
                throw new SnapshotException(Cause.DAMAGED, in.remaining() + " bytes follow its last engine");
            }
            return new Snapshot(savedAt, engines);
        } catch (BufferUnderflowException | ArrayIndexOutOfBoundsException e) {
            throw new SnapshotException(Cause.DAMAGED, "a field of it is wrong");
        }
    }

    private static Remembered engine(ByteBuffer in, Map<String, String> shared) {
        String id = text(in);
        String address = text(in);
        String zone = shared.computeIfAbsent(text(in), text -> text);
        String kind = shared.computeIfAbsent(text(in), text -> text);
        EngineStatus listed = LISTED[in.get()];
        State state = STATES[in.get()];
        int cell = in.getInt();
        double size = in.getDouble();
        ListedEngine engine = new ListedEngine(id, address, listed, zone, kind, cell, size, in.getLong());
        return new Remembered(engine, state, in.getLong(), in.getLong());
    }

    private static String text(ByteBuffer in) {
        int length = Short.toUnsignedInt(in.getShort());
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        String text = new String(in.array(), in.position(), length, StandardCharsets.UTF_8);
        in.position(in.position() + length);
        return text;
    }
}
