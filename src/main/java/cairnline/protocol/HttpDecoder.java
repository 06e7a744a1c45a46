package cairnline.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from bytes as they come, with bodies of a told length or in chunks. */
public final class HttpDecoder {
    private static final int LONGEST_CHUNK_SIZE = 7;

    private final ByteQueue bytes = new ByteQueue();
    private final int mostHead;
    private final int mostBody;
    /** The head that has been read; null before it is whole. */
    private HttpMessage head;
    private final ByteArrayOutputStream chunks = new ByteArrayOutputStream();

    /** A decoder that takes heads and bodies up to these sizes. */
    public HttpDecoder(int mostHead, int mostBody) {
        this.mostHead = mostHead;
        this.mostBody = mostBody;
    }

    /** Appends what has been read. */
    public void feed(byte[] from, int count) {
        bytes.feed(from, 0, count);
    }

    /** Whether a message has begun and not ended. */
    public boolean hasPartialInput() {
        return head != null || bytes.size() > 0;
    }

    /** Bytes of a message that has begun and not ended. */
    public int bufferedBytes() {
        return bytes.size() + chunks.size() + (head == null ? 0 : 1);
    }

    /** The next whole message; null until it is there. */
    public HttpMessage next() {
        if (head == null) {
            head = head();
        }
        if (head == null) {
            return null;
        }
        byte[] body = head.header("transfer-encoding").isEmpty() ? sized() : chunked();
        if (body == null) {
            return null;
        }
        HttpMessage whole = head.withBody(body);
        head = null;
        return whole;
    }

    private HttpMessage head() {
        String start = line(0);
        if (start == null) {
            return null;
        }
        int at = lineEnd(0) + 1;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(at); line != null; line = line(at)) {
            at = lineEnd(at) + 1;
            if (line.isEmpty()) {
                bytes.skip(at);
                return new HttpMessage(startLine(start), headers, new byte[0]);
            }
            int colon = line.indexOf(':');
            if (colon < 1 || Character.isWhitespace(line.charAt(colon - 1))) {
                throw new ProtocolException("a header line has no name");
            }
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            String value = line.substring(colon + 1).strip();
            boolean again = headers.containsKey(name);
            if (again && name.equals("content-length")) {
                throw new ProtocolException("content-length is given twice");
            }
            headers.merge(name, value, (first, second) -> first + ", " + second);
        }
        return null;
    }

    private static String[] startLine(String line) {
        String[] parts = line.split(" ", 3);
        boolean request = parts.length == 3 && parts[2].startsWith("HTTP/1.");
        boolean response = parts.length >= 2 && parts[0].startsWith("HTTP/1.") && parts[1].matches("[1-5][0-9][0-9]");
        if (!request && !response) {
            throw new ProtocolException("the first line is not HTTP/1.1's");
        }
        return parts.length == 3 ? parts : new String[] {parts[0], parts[1], ""};
    }

    private int lineEnd(int from) {
        return bytes.indexOf('\n', from);
    }

    /** The line that starts here, without its end; null until it is there. */
    private String line(int from) {
        int end = lineEnd(from);
        if ((end < 0 ? bytes.size() : end) > mostHead) {
            throw new ProtocolException("the head is longer than " + mostHead + " bytes");
        }
        if (end < 0) {
            return null;
        }
        int stop = end > from && bytes.at(end - 1) == '\r' ? end - 1 : end;
        byte[] text = new byte[stop - from];
        for (int i = 0; i < text.length; i++) {
            text[i] = (byte) bytes.at(from + i);
        }
        return new String(text, StandardCharsets.UTF_8);
    }

    private byte[] sized() {
        String told = head.header("content-length");
        int size = 0;
        if (!told.isEmpty()) {
            if (!told.matches("[0-9]{1,9}")) {
                throw new ProtocolException("content-length is not a number");
            }
            size = Integer.parseInt(told);
        }
        if (size > mostBody) {
            throw new ProtocolException("the body is longer than " + mostBody + " bytes");
        }
        return bytes.size() < size ? null : bytes.take(size);
    }

    private byte[] chunked() {
        if (!head.header("transfer-encoding").equalsIgnoreCase("chunked") || !head.header("content-length").isEmpty()) {
            throw new ProtocolException("the body's length is told in a way that is not understood");
        }
        while (true) {
            String line = line(0);
            if (line == null) {
                return null;
            }
            String size = line.split(";", 2)[0].strip();
            if (!size.matches("[0-9a-fA-F]{1," + LONGEST_CHUNK_SIZE + "}")) {
                throw new ProtocolException("a chunk's size is not a number");
            }
            int count = Integer.parseInt(size, 16);
            if (chunks.size() + count > mostBody) {
                throw new ProtocolException("the body is longer than " + mostBody + " bytes");
            }
            int start = lineEnd(0) + 1;
            if (count == 0) {
                return lastChunk(start);
            }
            if (bytes.size() < start + count + 2) {
                return null;
            }
            bytes.skip(start);
            chunks.writeBytes(bytes.take(count));
            if (!"".equals(line(0))) {
                throw new ProtocolException("a chunk does not end where it says");
            }
            bytes.skip(lineEnd(0) + 1);
        }
    }

    /** Passes over the trailer; gives the whole body once that is there. */
    private byte[] lastChunk(int start) {
        int at = start;
        for (String line = line(at); line != null; line = line(at)) {
            at = lineEnd(at) + 1;
            if (line.isEmpty()) {
                bytes.skip(at);
                byte[] body = chunks.toByteArray();
                chunks.reset();
                return body;
            }
        }
        return null;
    }
}
