package cairnline.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP/1.1 message. {@code start} holds the three parts of its first line; header names are in lower case, and
 * those of a field given more than once are joined as HTTP allows.
 */
public record HttpMessage(String[] start, Map<String, String> headers, byte[] body) {
    private static final byte[] NO_BODY = {};
    private static final int STATUS_NO_CONTENT = 204;

    /** Rejects what would not stay within its line: a batch or a recording can put any text into these. */
    public HttpMessage {
        boolean lines = start[0].chars().noneMatch(HttpMessage::breaks) && start[1].chars().noneMatch(HttpMessage::breaks)
                && start[2].chars().noneMatch(Character::isISOControl)
                && headers.entrySet().stream().noneMatch(h -> h.getKey().isEmpty()
                        || h.getKey().chars().anyMatch(c -> breaks(c) || c == ':')
                        || h.getValue().chars().anyMatch(c -> c != '\t' && Character.isISOControl(c)));
        if (!lines) {
            throw new ProtocolException("a first line or a header holds a character that it must not hold");
        }
    }

    private static boolean breaks(int c) {
        return c == ' ' || Character.isISOControl(c);
    }

    /** A request. */
    public static HttpMessage request(String method, String target, Map<String, String> headers, byte[] body) {
        return new HttpMessage(new String[] {method, target, "HTTP/1.1"}, headers, body);
    }

    /** A response. */
    public static HttpMessage response(int status, Map<String, String> headers, byte[] body) {
        return new HttpMessage(new String[] {"HTTP/1.1", Integer.toString(status), reason(status)}, headers, body);
    }

    /** A response with text in it. */
    public static HttpMessage response(int status, String type, byte[] body) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", type);
        return response(status, headers, body);
    }

    /** The method of a request. */
    public String method() {
        return start[0];
    }

    /** The target of a request. */
    public String target() {
        return start[1];
    }

    /** The status of a response. */
    public int status() {
        return Integer.parseInt(start[1]);
    }

    /** A header; empty if absent. */
    public String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Whether the sender closes the connection after this message. */
    public boolean closes() {
        String connection = header("connection").toLowerCase(Locale.ROOT);
        boolean old = start[0].equals("HTTP/1.0") || start[2].equals("HTTP/1.0");
        return connection.contains("close") || old && !connection.contains("keep-alive");
    }

    /** The same message with one more header. */
    public HttpMessage with(String name, String value) {
        Map<String, String> more = new LinkedHashMap<>(headers);
        more.put(name.toLowerCase(Locale.ROOT), value);
        return new HttpMessage(start, more, body);
    }

    /** The same message with this body instead. */
    public HttpMessage withBody(byte[] other) {
        return new HttpMessage(start, headers, other);
    }

    /** All of it, the length of its body told. */
    public byte[] bytes() {
        StringBuilder head = new StringBuilder();
        head.append(start[0]).append(' ').append(start[1]).append(' ').append(start[2]).append("\r\n");
        headers.forEach((name, value) -> {
            if (!name.equals("content-length") && !name.equals("transfer-encoding")) {
                head.append(name).append(": ").append(value).append("\r\n");
            }
        });
        boolean request = start[2].startsWith("HTTP/");
        boolean bodiless = request ? body.length == 0 && !start[0].equals("POST") : status() == STATUS_NO_CONTENT;
        if (!bodiless) {
            head.append("content-length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
        out.writeBytes(bodiless ? NO_BODY : body);
        return out.toByteArray();
    }

    /** Reads a whole message from bytes that hold nothing else. */
    public static HttpMessage of(byte[] bytes) {
        HttpDecoder decoder = new HttpDecoder(bytes.length, bytes.length);
        decoder.feed(bytes, bytes.length);
        HttpMessage message = decoder.next();
        if (message == null) {
            throw new ProtocolException("the HTTP message ends early");
        }
        return message;
    }

    /** The words that go with a status. */
    public static String reason(int status) {
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
