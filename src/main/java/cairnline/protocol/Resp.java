package cairnline.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Incremental decoder and encoders of RESP arrays of bulk strings, and of the field lists in them. Not thread-safe. */
public final class Resp {
    private static final int MAX_NUMBER_LINE_CHARS = 10;

    private final ByteQueue bytes = new ByteQueue();
    private final int maxParts;
    private final int maxPartBytes;
    /** The parts received of the current array, and their total size. */
    private final List<byte[]> parts = new ArrayList<>();
    private int partsBytes;
    /** Parts of the current array that have not been received; -1 between arrays. */
    private int missingParts = -1;
    /** Size of the current part in bytes; -1 until it has been received. */
    private int partSize = -1;

    /** Creates a decoder that rejects arrays of more than {@code maxParts} parts or with a part of more than this size. */
    public Resp(int maxParts, int maxPartBytes) {
        this.maxParts = maxParts;
        this.maxPartBytes = maxPartBytes;
    }

    /** Appends the first {@code count} bytes of {@code from}. */
    public void feed(byte[] from, int count) {
        bytes.feed(from, 0, count);
    }

    /** Returns the next complete array, or null if it has not been received completely. */
    public List<byte[]> next() {
        if (missingParts < 0) {
            int count = readNumber('*', maxParts);
            if (count < 0) {
                return null;
            }
            missingParts = count;
        }
        while (missingParts > 0) {
            if (partSize < 0) {
                partSize = readNumber('$', maxPartBytes);
            }
            if (partSize < 0 || bytes.size() < partSize + 2) {
                return null;
            }
            parts.add(bytes.take(partSize));
            partsBytes += partSize;
            if (bytes.unsignedByte(0) != '\r' || bytes.unsignedByte(1) != '\n') {
                throw new ProtocolException("bulk string is not terminated by CR LF");
            }
            bytes.skip(2);
            partSize = -1;
            missingParts--;
        }
        missingParts = -1;
        List<byte[]> array = List.copyOf(parts);
        parts.clear();
        partsBytes = 0;
        return array;
    }

    /** Returns the number of bytes of memory held for the array that has not been received completely. */
    public int heldBytes() {
        return bytes.heldBytes() + partsBytes;
    }

    /** Discards all received input; to be called when no more input is used. */
    public void discardInput() {
        bytes.clear();
        parts.clear();
        partsBytes = 0;
        missingParts = -1;
        partSize = -1;
    }

    /** Returns whether an incomplete array has been received. */
    public boolean hasPartialInput() {
        return missingParts >= 0 || bytes.size() > 0;
    }

    /** Reads a line of a prefix and a number; returns -1 if the line has not been received completely. */
    private int readNumber(char prefix, int max) {
        int end = bytes.indexOf('\n', 0);
        if (end < 0 && bytes.size() <= MAX_NUMBER_LINE_CHARS + 2) {
            return -1;
        }
        if (end < 3 || end > MAX_NUMBER_LINE_CHARS || bytes.unsignedByte(0) != prefix || bytes.unsignedByte(end - 1) != '\r') {
            throw new ProtocolException("expected " + prefix + " and a number on a line");
        }
        int value = 0;
        for (int i = 1; i < end - 1; i++) {
            int digit = bytes.unsignedByte(i) - '0';
            if (digit < 0 || digit > 9 || value > max) {
                throw new ProtocolException("number after " + prefix + " is not in the range from 0 to " + max);
            }
            value = value * 10 + digit;
        }
        if (value > max) {
            throw new ProtocolException("number after " + prefix + " is not in the range from 0 to " + max);
        }
        bytes.skip(end + 1);
        return value;
    }

    /** Encodes an array of these parts. */
    public static byte[] array(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + parts.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (byte[] part : parts) {
            out.writeBytes(("$" + part.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(part);
            out.write('\r');
            out.write('\n');
        }
        return out.toByteArray();
    }

    /** Encodes an array of these strings. */
    public static byte[] stringArray(String... strings) {
        byte[][] parts = new byte[strings.length][];
        for (int i = 0; i < strings.length; i++) {
            parts[i] = strings[i].getBytes(StandardCharsets.UTF_8);
        }
        return array(parts);
    }

    /** Encodes a field list as the text of a part. */
    public static String fields(Map<String, String> fields) {
        if (fields.isEmpty()) {
            return "-";
        }
        StringBuilder text = new StringBuilder();
        fields.forEach((name, value) ->
                text.append(text.length() == 0 ? "" : ",").append(name).append('=').append(value));
        return text.toString();
    }

    /** Parses a field list; throws {@link ProtocolException} if an entry is not {@code name=value}. */
    public static Map<String, String> fields(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        if (text.equals("-") || text.isEmpty()) {
            return fields;
        }
        for (String part : text.split(",")) {
            int equals = part.indexOf('=');
            if (equals < 1) {
                throw new ProtocolException("field list entry is not name=value: " + part);
            }
            fields.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return fields;
    }
}
