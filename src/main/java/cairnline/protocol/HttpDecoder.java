package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.LinkedHashMap;
import java.util.Map;

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

    private HttpMessage readHead() {
        String firstLine = readLine(0);
        if (firstLine == null) {
            return null;
        }
        int position = lineEnd(0) + 1;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(position); line != null; line = readLine(position)) {
            position = lineEnd(position) + 1;
            if (line.isEmpty()) {
                bytes.skip(position);
                return new HttpMessage(startLine(firstLine), headers, new byte[0]);
            }
            int colon = line.indexOf(':');
            if (colon < 1 || Character.isWhitespace(line.charAt(colon - 1))) {
                throw new ProtocolException("a header line has no name");
            }
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            String value = line.substring(colon + 1).strip();
            boolean repeated = headers.containsKey(name);
            if (repeated && name.equals("content-length")) {
                throw new ProtocolException("content-length is given twice");
            }
            headers.merge(name, value, (first, second) -> first + ", " + second);
        }
        return null;
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

    private int lineEnd(int from) {
        return bytes.indexOf('\n', from);
    }

    /** Returns the line at this offset without its line end, or null if it has not been received completely. */
    private String readLine(int from) {
        int end = lineEnd(from);
        if ((end < 0 ? bytes.size() : end) > maxHeadBytes) {
            throw new ProtocolException("the head is longer than " + maxHeadBytes + " bytes");
        }
        if (end < 0) {
            return null;
        }
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
            String line = readLine(0);
            if (line == null) {
                return null;
            }
            String size = line.split(";", 2)[0].strip();
            if (!size.matches("[0-9a-fA-F]{1," + MAX_CHUNK_SIZE_DIGITS + "}")) {
                throw new ProtocolException("a chunk's size is not a number");
            }
            int count = Integer.parseInt(size, 16);
            checkBodySize(chunks.size() + count);
            int chunkStart = lineEnd(0) + 1;
            if (count == 0) {
                return readTrailer(chunkStart);
            }
            if (bytes.size() < chunkStart + count + 2) {
                return null;
            }
            bytes.skip(chunkStart);
            chunks.feed(bytes.take(count), 0, count);
            if (!"".equals(readLine(0))) {
                throw new ProtocolException("a chunk does not end where it says");
            }
            bytes.skip(lineEnd(0) + 1);
        }
    }

    /** Skips the trailer and returns the complete body, or null if the trailer has not been received completely. */
    private byte[] readTrailer(int trailerStart) {
        int position = trailerStart;
        for (String line = readLine(position); line != null; line = readLine(position)) {
            position = lineEnd(position) + 1;
            if (line.isEmpty()) {
                bytes.skip(position);
                return chunks.take(chunks.size());
            }
        }
        return null;
    }
}
