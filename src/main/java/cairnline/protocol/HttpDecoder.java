package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Incremental decoder of HTTP/1.1 messages with a content length or chunked transfer encoding, and of responses whose body ends
 * with the connection. Not thread-safe.
 */
public final class HttpDecoder {
    private static final int MAX_CHUNK_SIZE_DIGITS = 7;

    private final ByteQueue bytes = new ByteQueue();
    private final int maxHeadBytes;
    private final int maxBodyBytes;
    /** The head of the message whose body is being received; null while the head is incomplete. */
    private HttpMessage head;
    /** Offset of the line of the head or trailer that is being received. */
    private int lineStart;
    /** Offset of the line whose end was looked for last, and up to where; -1 if none was. */
    private int searchedLine = -1;
    private int searchedTo;
    /** Chunks received of the body. */
    private final ByteQueue chunks = new ByteQueue();

    /** Creates a decoder that rejects larger heads and bodies, with sizes in bytes. */
    public HttpDecoder(int maxHeadBytes, int maxBodyBytes) {
        this.maxHeadBytes = maxHeadBytes;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Appends the first {@code count} bytes of {@code from}. */
    public void feed(byte[] from, int count) {
        bytes.feed(from, 0, count);
    }

    /** Returns whether an incomplete message has been received. */
    public boolean hasPartialInput() {
        return head != null || bytes.size() > 0;
    }

    /** Returns the number of bytes of memory held for the incomplete message. */
    public long heldBytes() {
        return bytes.heldBytes() + chunks.heldBytes() + (head == null ? 0 : head.heldBytes());
    }

    /** Discards all received input; to be called when no more input is used. */
    public void discardInput() {
        bytes.clear();
        chunks.clear();
        head = null;
        startNextLine();
    }

    /** Returns the next complete message, or null if it has not been received completely. */
    public HttpMessage next() {
        if (head == null) {
            head = readHead();
        }
        if (head == null) {
            return null;
        }
        if (endsWithConnection()) {
            checkBodySize(bytes.size());
            return null;
        }
        byte[] body = head.header("transfer-encoding").isEmpty() ? bodyOfContentLength() : chunkedBody();
        return body == null ? null : completeMessage(body);
    }

    /**
     * Returns the response whose body has ended with the connection, or null if none was being received. The sender may have
     * failed before its end, so the content has to show whether it is whole.
     */
    public HttpMessage endOfInput() {
        return head != null && endsWithConnection() ? completeMessage(bytes.take(bytes.size())) : null;
    }

    private boolean endsWithConnection() {
        return head.mayEndWithConnection() && head.header("content-length").isEmpty()
                && head.header("transfer-encoding").isEmpty();
    }

    private HttpMessage completeMessage(byte[] body) {
        HttpMessage message = head.withBody(body);
        head = null;
        return message;
    }

    /** Parses the head once it is complete; until then only the end of each line is looked for, and the first line checked. */
    private HttpMessage readHead() {
        int end = lineEnd(lineStart);
        while (end >= 0 && !isEmptyLine(lineStart, end)) {
            if (lineStart == 0) {
                startLine(line(0, end));
            }
            lineStart = end + 1;
            end = lineEnd(lineStart);
        }
        if (end < 0) {
            return null;
        }
        HttpMessage parsed = parseHead(new String(bytes.take(end + 1), StandardCharsets.UTF_8));
        startNextLine();
        return parsed;
    }

    private static HttpMessage parseHead(String text) {
        String[] lines = text.split("\r?\n");
        Map<String, StringJoiner> values = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon < 1 || Character.isWhitespace(lines[i].charAt(colon - 1))) {
                throw new ProtocolException("a header line has no name");
            }
            String name = lines[i].substring(0, colon).toLowerCase(Locale.ROOT);
            if (name.equals("content-length") && values.containsKey(name)) {
                throw new ProtocolException("content-length is given twice");
            }
            values.computeIfAbsent(name, key -> new StringJoiner(", ")).add(lines[i].substring(colon + 1).strip());
        }
        Map<String, String> headers = new LinkedHashMap<>();
        values.forEach((name, joined) -> headers.put(name, joined.toString()));
        return new HttpMessage(startLine(lines.length == 0 ? "" : lines[0]), headers, new byte[0]);
    }

    private static String[] startLine(String line) {
        String[] parts = line.split(" ", 3);
        boolean isRequest = parts.length == 3 && parts[2].startsWith("HTTP/1.");
        boolean isResponse = parts.length >= 2 && parts[0].startsWith("HTTP/1.") && parts[1].matches("[1-5][0-9][0-9]");
        if (!isRequest && !isResponse) {
            throw new ProtocolException("the first line is not HTTP/1.1's");
        }
        return parts.length == 3 ? parts : new String[] {parts[0], parts[1], ""};
    }

    /**
     * Returns the offset of the line feed that ends the line at this offset, or -1 if it has not been received. The bytes that
     * were searched for it before are not searched again.
     */
    private int lineEnd(int from) {
        int searchFrom = from == searchedLine ? Math.max(from, searchedTo) : from;
        int end = bytes.indexOf('\n', searchFrom);
        if ((end < 0 ? bytes.size() : end) > maxHeadBytes) {
            throw new ProtocolException("the head is longer than " + maxHeadBytes + " bytes");
        }
        searchedLine = from;
        searchedTo = end < 0 ? bytes.size() : end;
        return end;
    }

    /** Resets the search for line ends, since the offsets have changed. */
    private void startNextLine() {
        lineStart = 0;
        searchedLine = -1;
    }

    private boolean isEmptyLine(int from, int end) {
        return end == from || end == from + 1 && bytes.unsignedByte(from) == '\r';
    }

    private String line(int from, int end) {
        int textEnd = end > from && bytes.unsignedByte(end - 1) == '\r' ? end - 1 : end;
        return new String(bytes.copy(from, textEnd - from), StandardCharsets.UTF_8);
    }

    private byte[] bodyOfContentLength() {
        String contentLength = head.header("content-length");
        int size = 0;
        if (!contentLength.isEmpty()) {
            if (!contentLength.matches("[0-9]{1,9}")) {
                throw new ProtocolException("content-length is not a number");
            }
            size = Integer.parseInt(contentLength);
        }
        checkBodySize(size);
        return bytes.size() < size ? null : bytes.take(size);
    }

    private void checkBodySize(int size) {
        if (size > maxBodyBytes) {
            throw new ProtocolException("the body is longer than " + maxBodyBytes + " bytes");
        }
    }

    private byte[] chunkedBody() {
        if (!head.header("transfer-encoding").equalsIgnoreCase("chunked") || !head.header("content-length").isEmpty()) {
            throw new ProtocolException("the body's length is told in a way that is not understood");
        }
        while (true) {
            int sizeEnd = lineEnd(0);
            if (sizeEnd < 0) {
                return null;
            }
            int count = chunkSize(sizeEnd);
            checkBodySize(chunks.size() + count);
            int chunkStart = sizeEnd + 1;
            if (count == 0) {
                return readTrailer(chunkStart);
            }
            if (bytes.size() < chunkStart + count + 2) {
                return null;
            }
            bytes.skip(chunkStart);
            bytes.moveTo(chunks, count);
            boolean hasCarriageReturn = bytes.unsignedByte(0) == '\r';
            if (bytes.unsignedByte(hasCarriageReturn ? 1 : 0) != '\n') {
                throw new ProtocolException("a chunk does not end where it says");
            }
            bytes.skip(hasCarriageReturn ? 2 : 1);
            startNextLine();
        }
    }

    /** Parses the chunk size at the front, which may be followed by extensions. */
    private int chunkSize(int lineEnd) {
        int position = 0;
        while (position < lineEnd && isSpace(bytes.unsignedByte(position))) {
            position++;
        }
        int size = 0;
        int digits = 0;
        for (int digit = Character.digit(bytes.unsignedByte(position), 16); digit >= 0 && digits <= MAX_CHUNK_SIZE_DIGITS;
                digit = Character.digit(bytes.unsignedByte(position), 16)) {
            size = size * 16 + digit;
            digits++;
            position++;
        }
        while (position < lineEnd && isSpace(bytes.unsignedByte(position))) {
            position++;
        }
        boolean ended = position == lineEnd || bytes.unsignedByte(position) == ';';
        if (digits == 0 || digits > MAX_CHUNK_SIZE_DIGITS || !ended) {
            throw new ProtocolException("a chunk's size is not a number");
        }
        return size;
    }

    private static boolean isSpace(int character) {
        return character == ' ' || character == '\t' || character == '\r';
    }

    /** Skips the trailer and returns the complete body, or null if the trailer has not been received completely. */
    private byte[] readTrailer(int trailerStart) {
        lineStart = Math.max(lineStart, trailerStart);
        int end = lineEnd(lineStart);
        while (end >= 0 && !isEmptyLine(lineStart, end)) {
            lineStart = end + 1;
            end = lineEnd(lineStart);
        }
        if (end < 0) {
            return null;
        }
        bytes.skip(end + 1);
        startNextLine();
        return chunks.take(chunks.size());
    }
}
