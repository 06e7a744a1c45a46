package cairnline.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP/1.1 message.
 *
 * @param startLine the three parts of the request line or status line
 * @param headers values by lower-case name; values of a repeated header are joined by commas
 * @param body the decoded body, empty if there is none
 */
public record HttpMessage(String[] startLine, Map<String, String> headers, byte[] body) {
    private static final byte[] EMPTY_BODY = {};
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    /** Memory of a header beside its characters: an entry of the map and two strings. */
    private static final int HEADER_OVERHEAD_BYTES = 160;

    /**
     * Rejects parts that could inject further lines or headers, since batches and recordings can contain any text; throws
     * {@link ProtocolException}.
     */
    public HttpMessage {
        boolean valid = startLine[0].chars().noneMatch(HttpMessage::isSpaceOrControl)
                && startLine[1].chars().noneMatch(HttpMessage::isSpaceOrControl)
                && startLine[2].chars().noneMatch(Character::isISOControl)
                && headers.entrySet().stream().noneMatch(h -> h.getKey().isEmpty()
                        || h.getKey().chars().anyMatch(c -> isSpaceOrControl(c) || c == ':')
                        || h.getValue().chars().anyMatch(c -> c != '\t' && Character.isISOControl(c)));
        if (!valid) {
            throw new ProtocolException("a first line or a header holds a character that it must not hold");
        }
    }

    private static boolean isSpaceOrControl(int c) {
        return c == ' ' || Character.isISOControl(c);
    }

    /** Creates a request. */
    public static HttpMessage request(String method, String target, Map<String, String> headers, byte[] body) {
        return new HttpMessage(new String[] {method, target, "HTTP/1.1"}, headers, body);
    }

    /** Creates a response. */
    public static HttpMessage response(int status, Map<String, String> headers, byte[] body) {
        return new HttpMessage(new String[] {"HTTP/1.1", Integer.toString(status), reasonPhrase(status)}, headers, body);
    }

    /** Creates a response with this content type. */
    public static HttpMessage response(int status, String type, byte[] body) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", type);
        return response(status, headers, body);
    }

    /** Returns the method of a request. */
    public String method() {
        return startLine[0];
    }

    /** Returns the target of a request. */
    public String target() {
        return startLine[1];
    }

    /** Returns the status of a response. */
    public int status() {
        return Integer.parseInt(startLine[1]);
    }

    /** Returns whether this is a response that precedes the final one to the same request. */
    public boolean isInterim() {
        return isResponse() && status() / 100 == 1;
    }

    /** Returns whether this is a response whose body, if no header tells its length, ends with the connection. */
    boolean mayEndWithConnection() {
        return isResponse() && !isInterim() && status() != STATUS_NO_CONTENT && status() != STATUS_NOT_MODIFIED;
    }

    private boolean isResponse() {
        return !startLine[2].startsWith("HTTP/");
    }

    /** Returns the value of a header, or an empty string if it is absent. */
    public String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns those of the headers with these lower-case names that the message has. */
    public Map<String, String> headers(List<String> names) {
        Map<String, String> selected = new LinkedHashMap<>();
        for (String name : names) {
            if (headers.containsKey(name)) {
                selected.put(name, headers.get(name));
            }
        }
        return selected;
    }

    /** Returns whether the sender closes the connection after this message. */
    public boolean closesConnection() {
        String connection = header("connection").toLowerCase(Locale.ROOT);
        boolean isHttp10 = startLine[0].equals("HTTP/1.0") || startLine[2].equals("HTTP/1.0");
        return connection.contains("close") || isHttp10 && !connection.contains("keep-alive");
    }

    /** Returns an estimate of the bytes of memory that the message holds. */
    public long heldBytes() {
        long bytes = body.length + startLine[1].length();
        for (Map.Entry<String, String> header : headers.entrySet()) {
            bytes += HEADER_OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    /** Returns a copy with this header added or replaced. */
    public HttpMessage withHeader(String name, String value) {
        Map<String, String> extended = new LinkedHashMap<>(headers);
        extended.put(name.toLowerCase(Locale.ROOT), value);
        return new HttpMessage(startLine, extended, body);
    }

    /** Returns a copy with this body. */
    public HttpMessage withBody(byte[] other) {
        return new HttpMessage(startLine, headers, other);
    }

    /** Encodes the message with a content length instead of chunks. */
    public byte[] encode() {
        StringBuilder head = new StringBuilder();
        head.append(startLine[0]).append(' ').append(startLine[1]).append(' ').append(startLine[2]).append("\r\n");
        headers.forEach((name, value) -> {
            if (!name.equals("content-length") && !name.equals("transfer-encoding")) {
                head.append(name).append(": ").append(value).append("\r\n");
            }
        });
        boolean hasNoBody = isResponse() ? status() == STATUS_NO_CONTENT
                : body.length == 0 && !startLine[0].equals("POST");
        if (!hasNoBody) {
            head.append("content-length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
        out.writeBytes(hasNoBody ? EMPTY_BODY : body);
        return out.toByteArray();
    }

    /** Parses a complete message; throws {@link ProtocolException} if it is incomplete or malformed. */
    public static HttpMessage parse(byte[] bytes) {
        HttpDecoder decoder = new HttpDecoder(bytes.length, bytes.length);
        decoder.feed(bytes, bytes.length);
        HttpMessage message = decoder.next();
        if (message == null) {
            throw new ProtocolException("the HTTP message ends early");
        }
        return message;
    }

    /** Returns the reason phrase of a status code. */
    public static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 201 -> "Created";
            case 204 -> "No Content";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 406 -> "Not Acceptable";
            case 413 -> "Content Too Large";
            case 415 -> "Unsupported Media Type";
            case 424 -> "Failed Dependency";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Status";
        };
    }
}
