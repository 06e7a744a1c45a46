package cairnline.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** RESP arrays of bulk strings: a decoder that is fed bytes, and a writer; and the field lists inside. */
public final class Resp {
    private static final int LONGEST_NUMBER = 10;

    private final ByteQueue bytes = new ByteQueue();
    private final int mostParts;
    private final int largestPart;
    private final List<byte[]> parts = new ArrayList<>();
    /** Parts still to come of the array that has begun; -1 between arrays. */
    private int missing = -1;
    /** Size of the part that has begun; -1 before its size is known. */
    private int partSize = -1;

    /** A decoder that takes arrays of so many parts of such a size. */
    public Resp(int mostParts, int largestPart) {
        this.mostParts = mostParts;
        this.largestPart = largestPart;
    }

    /** Appends what has been read. */
    public void feed(byte[] from, int count) {
        bytes.feed(from, 0, count);
    }

    /** The next whole array; null until it is there. */
    public List<byte[]> next() {
        if (missing < 0) {
            int count = number('*', mostParts);
            if (count < 0) {
                return null;
            }
            missing = count;
        }
        while (missing > 0) {
            if (partSize < 0) {
                partSize = number('$', largestPart);
            }
            if (partSize < 0 || bytes.size() < partSize + 2) {
                return null;
            }
            parts.add(bytes.take(partSize));
            if (bytes.at(0) != '\r' || bytes.at(1) != '\n') {
                throw new ProtocolException("a bulk string does not end where it says");
            }
            bytes.skip(2);
            partSize = -1;
            missing--;
        }
        missing = -1;
        List<byte[]> whole = List.copyOf(parts);
        parts.clear();
        return whole;
    }

    /** Whether an array has begun and not ended. */
    public boolean hasPartialInput() {
        return missing >= 0 || bytes.size() > 0;
    }

    /** Reads a mark and a number on a line of its own; -1 if the line is not there yet. */
    private int number(char mark, int most) {
        int end = bytes.indexOf('\n', 0);
        if (end < 0 && bytes.size() <= LONGEST_NUMBER + 2) {
            return -1;
        }
        if (end < 3 || end > LONGEST_NUMBER || bytes.at(0) != mark || bytes.at(end - 1) != '\r') {
            throw new ProtocolException("expected " + mark + " and a number on a line");
        }
        int value = 0;
        for (int i = 1; i < end - 1; i++) {
            int digit = bytes.at(i) - '0';
            if (digit < 0 || digit > 9 || value > most) {
                throw new ProtocolException("a number after " + mark + " is not one up to " + most);
            }
            value = value * 10 + digit;
        }
        if (value > most) {
            throw new ProtocolException("a number after " + mark + " is not one up to " + most);
        }
        bytes.skip(end + 1);
        return value;
    }

    /** An array of these parts. */
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

    /** An array of these words. */
    public static byte[] words(String... words) {
        byte[][] parts = new byte[words.length][];
        for (int i = 0; i < words.length; i++) {
            parts[i] = words[i].getBytes(StandardCharsets.UTF_8);
        }
        return array(parts);
    }

    /** A field list as a part. */
    public static String fields(Map<String, String> fields) {
        if (fields.isEmpty()) {
            return "-";
        }
        StringBuilder text = new StringBuilder();
        fields.forEach((name, value) ->
                text.append(text.length() == 0 ? "" : ",").append(name).append('=').append(value));
        return text.toString();
    }

    /** Reads a field list. */
    public static Map<String, String> fields(String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        if (text.equals("-") || text.isEmpty()) {
            return fields;
        }
        for (String part : text.split(",")) {
            int equals = part.indexOf('=');
            if (equals < 1) {
                throw new ProtocolException("a field list holds no name=value: " + part);
            }
            fields.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return fields;
    }
}
