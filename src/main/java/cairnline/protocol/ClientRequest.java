package cairnline.protocol;

import java.util.Map;

/**
 * A validated request of the frame protocol.
 *
 * @param id 16 hex digits that identify the request
 * @param type name of the request class
 * @param statement body of the request, passed to the engine unchanged
 * @param idempotencyKey key by which engines drop repeats of the request; null if none is given
 * @param orderingKey requests with the same key run one at a time; null if none is given
 * @param ttlMs how long the client waits for the answer, in milliseconds
 * @param workMicros estimated work in microseconds on one core; 0 if unknown
 * @param memory estimated memory in megabytes; 0 if unknown
 */
public record ClientRequest(String id, String type, byte[] statement, String idempotencyKey, Long orderingKey, long ttlMs,
                            long workMicros, double memory) {
    private static final int ID_HEX_DIGITS = 16;
    private static final int MAX_IDEMPOTENCY_KEY_CHARS = 128;
    private static final long MAX_TTL_MILLIS = 3_600_000;
    private static final double MAX_ESTIMATE = 1e9;
    private static final double MICROS_PER_MILLI = 1_000;

    /** Validates the content of a request frame; throws {@link ProtocolException} naming the first invalid field. */
    public static ClientRequest read(ClientFrames.Content content) {
        Map<String, String> fields = content.fields();
        String id = required(fields, "call");
        if (id.length() != ID_HEX_DIGITS || !isHex(id)) {
            throw new ProtocolException("call is not 16 hex digits");
        }
        return new ClientRequest(id, required(fields, "op"), content.body(), idempotencyKey(fields.get("dedupe")),
                orderingKey(fields.get("row")), ttl(required(fields, "ttl")),
                (long) (estimate(fields, "work") * MICROS_PER_MILLI), estimate(fields, "heap"));
    }

    private static String required(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null) {
            throw new ProtocolException(name + " is missing");
        }
        return value;
    }

    private static boolean isHex(String text) {
        return text.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128);
    }

    /**
     * Returns the idempotency key if it is valid, or null if there is none. The key is copied into the field list for engines,
     * so it must not contain the separators of that list.
     */
    public static String idempotencyKey(String value) {
        if (value == null) {
            return null;
        }
        if (value.isEmpty() || value.length() > MAX_IDEMPOTENCY_KEY_CHARS
                || !value.chars().allMatch(c -> c > ' ' && c < 127 && c != ',' && c != '=')) {
            throw new ProtocolException("dedupe is not a plain word of up to " + MAX_IDEMPOTENCY_KEY_CHARS + " characters");
        }
        return value;
    }

    private static Long orderingKey(String value) {
        if (value == null) {
            return null;
        }
        if (value.isEmpty() || value.length() > ID_HEX_DIGITS || !isHex(value)) {
            throw new ProtocolException("row is not up to 16 hex digits");
        }
        return Long.parseUnsignedLong(value, 16);
    }

    private static long ttl(String value) {
        try {
            long ttl = Long.parseLong(value);
            if (ttl > 0 && ttl <= MAX_TTL_MILLIS) {
                return ttl;
            }
        } catch (NumberFormatException e) {
            // Reported below, as are values out of range.
        }
        throw new ProtocolException("ttl is not a whole number of milliseconds from 1 to " + MAX_TTL_MILLIS);
    }

    private static double estimate(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null) {
            return 0;
        }
        try {
            double estimate = Double.parseDouble(value);
            if (estimate >= 0 && estimate <= MAX_ESTIMATE) {
                return estimate;
            }
        } catch (NumberFormatException e) {
            // Reported below, as are values out of range.
        }
        throw new ProtocolException(name + " is not a number from 0 to 1e9");
    }
}
