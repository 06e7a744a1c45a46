package cairnline.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** Incremental decoder and encoders of the binary frame protocol of clients. Not thread-safe. */
public final class ClientFrames {
    /* Frame types. */
    public static final int REQUEST = 0;
    public static final int ANSWER = 1;
    /** Sent by a client that no longer wants the answer on a stream. */
    public static final int CANCEL_REQUEST = 2;
    public static final int READINESS_REQUEST = 6;
    public static final int READINESS_ANSWER = 7;
    /** Sent to a client that must not open further streams on the connection. */
    public static final int NO_MORE_REQUESTS = 9;

    /* Codes of answers. */
    public static final int CODE_REFUSED = 0;
    public static final int CODE_SERVED = 1;
    public static final int CODE_FAILED = 9;

    /** Size of type and stream number; the length field of a frame counts them. */
    private static final int HEADER_BYTES = 5;
    private static final int LENGTH_FIELD_BYTES = 4;

    private final ByteQueue bytes = new ByteQueue();
    private final int maxFrameLength;
    /** The incomplete frame whose payload is being discarded, or null. */
    private Frame droppedFrame;
    /** Bytes of {@link #droppedFrame} that have not been received yet. */
    private long droppedBytesRemaining;

    /** Creates a decoder that rejects frames whose length field exceeds {@code maxFrameLength}. */
    public ClientFrames(int maxFrameLength) {
        this.maxFrameLength = maxFrameLength;
    }

    /** A decoded frame; the payload is empty if it was discarded by {@link #dropPartialPayload}. */
    public record Frame(int type, long stream, byte[] payload, boolean payloadDropped) { }

    /** The payload of a request or answer: its fields and the body after them. */
    public record Content(Map<String, String> fields, byte[] body) { }

    /** Appends the first {@code count} bytes of {@code from}. */
    public void feed(byte[] from, int count) {
        int discarded = (int) Math.min(count, droppedBytesRemaining);
        droppedBytesRemaining -= discarded;
        bytes.feed(from, discarded, count - discarded);
    }

    /**
     * Discards the payload of the incomplete frame, both the buffered part and the part still to be received.
     * {@link #next} returns the frame without payload once it has been received completely. Does nothing while length,
     * type and stream of the frame have not been received.
     */
    public void dropPartialPayload() {
        if (droppedFrame == null && bytes.size() >= LENGTH_FIELD_BYTES + HEADER_BYTES) {
            droppedBytesRemaining = LENGTH_FIELD_BYTES + bytes.unsignedInt(0) - bytes.size();
            droppedFrame = new Frame(bytes.unsignedByte(LENGTH_FIELD_BYTES), bytes.unsignedInt(LENGTH_FIELD_BYTES + 1),
                    new byte[0], true);
            bytes.clear();
        }
    }

    /** Discards all received input; to be called when no more input is used. */
    public void discardInput() {
        bytes.clear();
        droppedFrame = null;
        droppedBytesRemaining = 0;
    }

    /** Returns the stream of an incomplete request, or 0 if there is none or its stream has not been received yet. */
    public long partialRequestStream() {
        boolean streamReceived = droppedFrame == null && bytes.size() >= LENGTH_FIELD_BYTES + HEADER_BYTES
                && bytes.unsignedByte(LENGTH_FIELD_BYTES) == REQUEST;
        return streamReceived ? bytes.unsignedInt(LENGTH_FIELD_BYTES + 1) : 0;
    }

    /** Returns the next complete frame, or null if it has not been received completely. */
    public Frame next() {
        if (droppedFrame != null) {
            return droppedBytesRemaining > 0 ? null : completeDroppedFrame();
        }
        if (bytes.size() < LENGTH_FIELD_BYTES) {
            return null;
        }
        long length = bytes.unsignedInt(0);
        if (length < HEADER_BYTES || length > maxFrameLength) {
            throw new ProtocolException("frame length " + length + " lies outside " + HEADER_BYTES + " to " + maxFrameLength);
        }
        if (bytes.size() < LENGTH_FIELD_BYTES + length) {
            return null;
        }
        bytes.skip(LENGTH_FIELD_BYTES);
        int type = bytes.unsignedByte(0);
        long stream = bytes.unsignedInt(1);
        bytes.skip(HEADER_BYTES);
        return new Frame(type, stream, bytes.take((int) length - HEADER_BYTES), false);
    }

    private Frame completeDroppedFrame() {
        Frame frame = droppedFrame;
        droppedFrame = null;
        return frame;
    }

    /** Returns whether an incomplete frame has been received. */
    public boolean hasPartialInput() {
        return droppedFrame != null || bytes.size() > 0;
    }

    /** Returns the number of bytes of memory held for input that has not been decoded. */
    public int heldBytes() {
        return bytes.heldBytes();
    }

    /** Splits a payload into fields and body; throws {@link ProtocolException} if the fields are malformed. */
    public static Content parseContent(byte[] payload) {
        Map<String, String> fields = new LinkedHashMap<>();
        if (payload.length == 0) {
            return new Content(fields, payload);
        }
        int position = 1;
        for (int i = 0; i < (payload[0] & 0xff); i++) {
            int nameLength = position < payload.length ? payload[position] & 0xff : 0;
            int valueStart = position + 1 + nameLength + 2;
            if (valueStart > payload.length) {
                throw new ProtocolException("the fields run past the end of the frame");
            }
            int valueLength = (payload[valueStart - 2] & 0xff) << 8 | payload[valueStart - 1] & 0xff;
            if (valueStart + valueLength > payload.length) {
                throw new ProtocolException("the fields run past the end of the frame");
            }
            String name = new String(payload, position + 1, nameLength, StandardCharsets.UTF_8);
            String value = new String(payload, valueStart, valueLength, StandardCharsets.UTF_8);
            if (fields.put(name, value) != null) {
                throw new ProtocolException("field " + name + " is given twice");
            }
            position = valueStart + valueLength;
        }
        return new Content(fields, Arrays.copyOfRange(payload, position, payload.length));
    }

    /** Encodes an answer; stream 0 reports an error that belongs to no request. */
    public static byte[] answer(long stream, int code, Map<String, String> fields, byte[] body) {
        return frameWithCode(ANSWER, stream, code, fields, body);
    }

    /** Encodes the answer to {@link #READINESS_REQUEST}. */
    public static byte[] readinessAnswer(long stream, boolean ready) {
        return frameWithCode(READINESS_ANSWER, stream, ready ? CODE_SERVED : CODE_REFUSED, Map.of(), new byte[0]);
    }

    /** Encodes the frame that tells the client to send no more requests on this connection. */
    public static byte[] noMoreRequests() {
        return frame(NO_MORE_REQUESTS, 0, new byte[0]);
    }

    /** Encodes a request. */
    public static byte[] request(long stream, Map<String, String> fields, byte[] body) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        writeFields(payload, fields);
        payload.writeBytes(body);
        return frame(REQUEST, stream, payload.toByteArray());
    }

    /** Encodes a frame of any type. */
    public static byte[] frame(int type, long stream, byte[] payload) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(LENGTH_FIELD_BYTES + HEADER_BYTES + payload.length);
        writeInt(out, HEADER_BYTES + payload.length);
        out.write(type);
        writeInt(out, stream);
        out.writeBytes(payload);
        return out.toByteArray();
    }

    private static byte[] frameWithCode(int type, long stream, int code, Map<String, String> fields, byte[] body) {
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

    private static void writeInt(ByteArrayOutputStream out, long value) {
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.write((int) (value >> shift));
        }
    }
}
