package cairnline.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** The clients' binary frames: a decoder that is fed bytes, and writers. */
public final class ClientFrames {
    public static final int REQUEST = 0;
    public static final int ANSWER = 1;
    public static final int WITHDRAWN = 2;
    public static final int READINESS_REQUEST = 6;
    public static final int READINESS_ANSWER = 7;
    public static final int NO_MORE_REQUESTS = 9;

    public static final int CODE_REFUSED = 0;
    public static final int CODE_SERVED = 1;
    public static final int CODE_FAILED = 9;

    /** Type and stream, which every length counts. */
    private static final int HEAD = 5;
    private static final int LENGTH = 4;

    private final ByteQueue bytes = new ByteQueue();
    private final int largest;
    /** A frame whose payload is dropped as it comes, and how many bytes of it are still to come; null without. */
    private Frame dropped;
    private long droppedLeft;

    /** A decoder that takes frames up to this length. */
    public ClientFrames(int largest) {
        this.largest = largest;
    }

    /** One frame; the payload is what follows the stream, and empty where it was dropped. */
    public record Frame(int type, long stream, byte[] payload, boolean payloadDropped) { }

    /** Fields and what follows them. */
    public record Content(Map<String, String> fields, byte[] body) { }

    /** Appends what has been read. */
    public void feed(byte[] from, int count) {
        int skipped = (int) Math.min(count, droppedLeft);
        droppedLeft -= skipped;
        bytes.feed(from, skipped, count - skipped);
    }

    /**
     * Drops what is held of the frame that has begun, and the rest of it as it comes: {@link #next} gives it without its
     * payload once it is whole. Nothing is dropped of a frame whose length, type and stream have not come yet.
     */
    public void dropPartialPayload() {
        if (dropped == null && bytes.size() >= LENGTH + HEAD) {
            droppedLeft = LENGTH + bytes.number(0) - bytes.size();
            dropped = new Frame(bytes.at(LENGTH), bytes.number(LENGTH + 1), new byte[0], true);
            bytes.skip(bytes.size());
        }
    }

    /** The stream of a request that has begun and not ended; 0 if there is none, or its stream has not come yet. */
    public long partialRequestStream() {
        boolean known = dropped == null && bytes.size() >= LENGTH + HEAD && bytes.at(LENGTH) == REQUEST;
        return known ? bytes.number(LENGTH + 1) : 0;
    }

    /** The next whole frame; null until it is there. */
    public Frame next() {
        if (dropped != null) {
            return droppedLeft > 0 ? null : takeDropped();
        }
        if (bytes.size() < LENGTH) {
            return null;
        }
        long length = bytes.number(0);
        if (length < HEAD || length > largest) {
            throw new ProtocolException("frame length " + length + " lies outside " + HEAD + " to " + largest);
        }
        if (bytes.size() < LENGTH + length) {
            return null;
        }
        bytes.skip(LENGTH);
        int type = bytes.at(0);
        long stream = bytes.number(1);
        bytes.skip(HEAD);
        return new Frame(type, stream, bytes.take((int) length - HEAD), false);
    }

    private Frame takeDropped() {
        Frame whole = dropped;
        dropped = null;
        return whole;
    }

    /** Whether a frame has begun and not ended. */
    public boolean hasPartialInput() {
        return dropped != null || bytes.size() > 0;
    }

    /** Bytes of a frame that has begun and not ended. */
    public int bufferedBytes() {
        return bytes.size();
    }

    /** Splits a payload into its fields and its body. */
    public static Content content(byte[] payload) {
        Map<String, String> fields = new LinkedHashMap<>();
        if (payload.length == 0) {
            return new Content(fields, payload);
        }
        int at = 1;
        for (int i = 0; i < (payload[0] & 0xff); i++) {
            int nameSize = at < payload.length ? payload[at] & 0xff : 0;
            int valueAt = at + 1 + nameSize + 2;
            if (valueAt > payload.length) {
                throw new ProtocolException("the fields run past the end of the frame");
            }
            int valueSize = (payload[valueAt - 2] & 0xff) << 8 | payload[valueAt - 1] & 0xff;
            if (valueAt + valueSize > payload.length) {
                throw new ProtocolException("the fields run past the end of the frame");
            }
            String name = new String(payload, at + 1, nameSize, StandardCharsets.UTF_8);
            String value = new String(payload, valueAt, valueSize, StandardCharsets.UTF_8);
            if (fields.put(name, value) != null) {
                throw new ProtocolException("field " + name + " is given twice");
            }
            at = valueAt + valueSize;
        }
        return new Content(fields, Arrays.copyOfRange(payload, at, payload.length));
    }

    /** An answer on a stream; stream 0 tells of an error that belongs to no request. */
    public static byte[] answer(long stream, int code, Map<String, String> fields, byte[] body) {
        return coded(ANSWER, stream, code, fields, body);
    }

    /** The answer to the question whether this workload manager is ready. */
    public static byte[] ready(long stream, boolean ready) {
        return coded(READINESS_ANSWER, stream, ready ? CODE_SERVED : CODE_REFUSED, Map.of(), new byte[0]);
    }

    /** Tells the client to ask no more on this connection. */
    public static byte[] noMoreRequests() {
        return frame(NO_MORE_REQUESTS, 0, new byte[0]);
    }

    /** A request, as clients write it. */
    public static byte[] request(long stream, Map<String, String> fields, byte[] body) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        writeFields(payload, fields);
        payload.writeBytes(body);
        return frame(REQUEST, stream, payload.toByteArray());
    }

    /** Any frame. */
    public static byte[] frame(int type, long stream, byte[] payload) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(LENGTH + HEAD + payload.length);
        writeNumber(out, HEAD + payload.length);
        out.write(type);
        writeNumber(out, stream);
        out.writeBytes(payload);
        return out.toByteArray();
    }

    private static byte[] coded(int type, long stream, int code, Map<String, String> fields, byte[] body) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream(body.length + 2);
        payload.write(code);
        writeFields(payload, fields);
        payload.writeBytes(body);
        return frame(type, stream, payload.toByteArray());
    }

    private static void writeFields(ByteArrayOutputStream out, Map<String, String> fields) {
        out.write(fields.size());
        fields.forEach((name, value) -> {
            byte[] nameBytes = name.getBytes(StandardCharsets.UTF_8);
            byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
            out.write(nameBytes.length);
            out.writeBytes(nameBytes);
            out.write(valueBytes.length >> 8);
            out.write(valueBytes.length);
            out.writeBytes(valueBytes);
        });
    }

    private static void writeNumber(ByteArrayOutputStream out, long value) {
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.write((int) (value >> shift));
        }
    }
}
