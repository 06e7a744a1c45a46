package cairnline.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client's request, its fields checked. */
public record ClientRequest(String id, String type, byte[] statement, String idempotencyKey, Long order, long ttlMs,
                            long workMicros, double memory, int tables) {
    private static final int ID_LENGTH = 16;
    private static final int REPEAT_KEY_MOST = 128;
    private static final long TTL_MOST = 3_600_000;
    private static final double ESTIMATE_MOST = 1e9;
    private static final double MICROS_PER_MILLI = 1_000;

    /** Reads the fields of a request. */
    public static ClientRequest read(ClientFrames.Content content) {
        Map<String, String> fields = content.fields();
        String id = needed(fields, "call");
        if (id.length() != ID_LENGTH || !isHex(id)) {
            throw new ProtocolException("call is not 16 hex digits");
        }
        return new ClientRequest(id, needed(fields, "op"), content.body(), idempotencyKey(fields.get("dedupe")),
                order(fields.get("row")), ttl(needed(fields, "ttl")),
                (long) (estimate(fields, "work") * MICROS_PER_MILLI), estimate(fields, "heap"),
                SchemaGroup.of(new String(content.body(), StandardCharsets.UTF_8)));
    }

    private static String needed(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null) {
            throw new ProtocolException(name + " is missing");
        }
        return value;
    }

    private static boolean isHex(String text) {
        return text.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128);
    }

    /** It stands in an engine's field list as it is, so it must not hold what divides that list. */
    public static String idempotencyKey(String value) {
        if (value == null) {
            return null;
        }
        if (value.isEmpty() || value.length() > REPEAT_KEY_MOST
                || !value.chars().allMatch(c -> c > ' ' && c < 127 && c != ',' && c != '=')) {
            throw new ProtocolException("dedupe is not a plain word of up to " + REPEAT_KEY_MOST + " characters");
        }
        return value;
    }

    private static Long order(String value) {
        if (value == null) {
            return null;
        }
        if (value.isEmpty() || value.length() > ID_LENGTH || !isHex(value)) {
            throw new ProtocolException("row is not up to 16 hex digits");
        }
        return Long.parseUnsignedLong(value, 16);
    }

    private static long ttl(String value) {
        try {
            long ttl = Long.parseLong(value);
            if (ttl > 0 && ttl <= TTL_MOST) {
                return ttl;
            }
        } catch (NumberFormatException e) {
            // Told below, with all other values that can't be used.
        }
        throw new ProtocolException("ttl is not a whole number of milliseconds from 1 to " + TTL_MOST);
    }

    private static double estimate(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null) {
            return 0;
        }
        try {
            double estimate = Double.parseDouble(value);
            if (estimate >= 0 && estimate <= ESTIMATE_MOST) {
                return estimate;
            }
        } catch (NumberFormatException e) {
            // Told below, with all other values that can't be used.
        }
        throw new ProtocolException(name + " is not a number from 0 to 1e9");
    }
}
