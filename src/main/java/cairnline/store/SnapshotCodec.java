package cairnline.store;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.membership.StoredEngine;
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
 * Encodes and decodes snapshots. The format is big-endian:
 *
 * <pre>
 * magic "CAIRNLST" | version u16 | length of all u32 | saved at i64 (us) | engines u32
 * then for each engine: id, address, zone, machine type (u16 length, UTF-8) | status u8 | state u8 | cell i32 | size f64
 *                       | started at, last reported at, last alive at i64 (us)
 * then MurmurHash3 (128 bits, x64) of all preceding bytes
 * </pre>
 *
 * <p>Later versions of the format must keep the first 14 bytes, so that this version recognises them.
 */
public final class SnapshotCodec {
    /** The version that is written and the newest one that can be read. */
    static final int VERSION = 1;

    private static final byte[] MAGIC = "CAIRNLST".getBytes(StandardCharsets.US_ASCII);
    private static final int HEADER_BYTES = MAGIC.length + 2 + 4 + 8 + 4;
    private static final int CHECKSUM_BYTES = 16;
    /** Encoded size of an engine without the content of its four texts. */
    private static final int ENGINE_FIXED_BYTES = 4 * 2 + 2 + 4 + 8 + 3 * 8;
    private static final int MAX_TEXT_BYTES = 0xFFFF;
    private static final EngineStatus[] STATUSES = EngineStatus.values();
    private static final State[] STATES = State.values();

    private SnapshotCodec() { }

    /** Encodes a snapshot; throws {@link IllegalArgumentException} if a text is longer than 65535 bytes. */
    public static byte[] encode(Snapshot snapshot) {
        List<byte[][]> texts = new ArrayList<>(snapshot.engines().size());
        int length = HEADER_BYTES + CHECKSUM_BYTES;
        for (StoredEngine stored : snapshot.engines()) {
            ListedEngine engine = stored.engine();
            byte[][] engineTexts = {utf8(engine.id()), utf8(engine.address()), utf8(engine.zone()), utf8(engine.kind())};
            texts.add(engineTexts);
            length += ENGINE_FIXED_BYTES + engineTexts[0].length + engineTexts[1].length + engineTexts[2].length
                    + engineTexts[3].length;
        }
        ByteBuffer out = ByteBuffer.allocate(length);
        out.put(MAGIC).putShort((short) VERSION).putInt(length).putLong(snapshot.savedAt());
        out.putInt(snapshot.engines().size());
        for (int i = 0; i < texts.size(); i++) {
            writeEngine(out, snapshot.engines().get(i), texts.get(i));
        }
        long[] hash = MurmurHash3.hash128x64(Arrays.copyOf(out.array(), length - CHECKSUM_BYTES));
        out.putLong(hash[0]).putLong(hash[1]);
        return out.array();
    }

    private static byte[] utf8(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException("text exceeds 65535 bytes: " + bytes.length + " bytes");
        }
        return bytes;
    }

    private static void writeEngine(ByteBuffer out, StoredEngine stored, byte[][] texts) {
        for (byte[] text : texts) {
            out.putShort((short) text.length).put(text);
        }
        ListedEngine engine = stored.engine();
        out.put((byte) engine.status().ordinal()).put((byte) stored.lastState().ordinal());
        out.putInt(engine.cell()).putDouble(engine.size());
        out.putLong(engine.startedAt()).putLong(stored.reportedAt()).putLong(stored.aliveAt());
    }

    /** Decodes the content of a file; throws unless it is a complete snapshot with a valid checksum. */
    public static Snapshot decode(byte[] bytes) throws SnapshotException {
        int prefixLength = Math.min(bytes.length, MAGIC.length);
        if (prefixLength == 0) {
            throw new SnapshotException(Cause.CUT, "the file is empty");
        }
        if (!Arrays.equals(bytes, 0, prefixLength, MAGIC, 0, prefixLength)) {
            throw new SnapshotException(Cause.FOREIGN, "the file is not an engine list snapshot");
        }
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES) {
            throw new SnapshotException(Cause.CUT, "the file ends within its header, after " + bytes.length + " bytes");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes).position(MAGIC.length);
        int version = Short.toUnsignedInt(in.getShort());
        if (version > VERSION) {
            throw new SnapshotException(Cause.NEWER_VERSION,
                    "version " + version + " is newer than the supported version " + VERSION);
        }
        int length = in.getInt();
        if (length > bytes.length) {
            throw new SnapshotException(Cause.CUT, "the file ends after " + bytes.length + " bytes of " + length);
        }
        long[] hash = MurmurHash3.hash128x64(Arrays.copyOf(bytes, bytes.length - CHECKSUM_BYTES));
        ByteBuffer checksum = ByteBuffer.wrap(bytes).position(bytes.length - CHECKSUM_BYTES);
        if (version < VERSION || length != bytes.length || checksum.getLong() != hash[0] || checksum.getLong() != hash[1]) {
            throw new SnapshotException(Cause.DAMAGED, "checksum mismatch");
        }
        return readEngines(in.limit(bytes.length - CHECKSUM_BYTES));
    }

    private static Snapshot readEngines(ByteBuffer in) throws SnapshotException {
        try {
            long savedAt = in.getLong();
            int count = in.getInt();
            List<StoredEngine> engines = new ArrayList<>(Math.max(0, Math.min(count, in.remaining() / ENGINE_FIXED_BYTES)));
            // Zones and machine types repeat: engines share one copy of each.
            Map<String, String> internedTexts = new HashMap<>();
            for (int i = 0; i < count; i++) {
                engines.add(readEngine(in, internedTexts));
            }
            if (in.hasRemaining()) {
                throw new SnapshotException(Cause.DAMAGED, in.remaining() + " bytes follow the last engine");
            }
            return new Snapshot(savedAt, engines);
        } catch (BufferUnderflowException | ArrayIndexOutOfBoundsException e) {
            throw new SnapshotException(Cause.DAMAGED, "a field is invalid");
        }
    }

    private static StoredEngine readEngine(ByteBuffer in, Map<String, String> internedTexts) {
        String id = readText(in);
        String address = readText(in);
        String zone = internedTexts.computeIfAbsent(readText(in), text -> text);
        String kind = internedTexts.computeIfAbsent(readText(in), text -> text);
        EngineStatus status = STATUSES[in.get()];
        State state = STATES[in.get()];
        int cell = in.getInt();
        double size = in.getDouble();
        ListedEngine engine = new ListedEngine(id, address, status, zone, kind, cell, size, in.getLong());
        return new StoredEngine(engine, state, in.getLong(), in.getLong());
    }

    private static String readText(ByteBuffer in) {
        int length = Short.toUnsignedInt(in.getShort());
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        String text = new String(in.array(), in.position(), length, StandardCharsets.UTF_8);
        in.position(in.position() + length);
        return text;
    }
}
