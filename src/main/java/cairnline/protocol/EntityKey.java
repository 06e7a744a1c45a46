package cairnline.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.Locale;
import java.util.Set;

/**
 * The canonical form of an entity's key, so that writes to one entity share one ordering key however the key is spelled. The
 * forms are those of the literals of OData 4.01 (ABNF, primitive literals).
 */
final class EntityKey {
    private static final Set<String> NUMERIC_TYPES = Set.of("Edm.Byte", "Edm.SByte", "Edm.Int16", "Edm.Int32", "Edm.Int64",
            "Edm.Decimal", "Edm.Double", "Edm.Single");
    private static final Set<String> CASE_INSENSITIVE_TYPES = Set.of("Edm.Guid", "Edm.Boolean", "Edm.Date",
            "Edm.DateTimeOffset", "Edm.Duration", "Edm.TimeOfDay");
    /** Digits of the largest exponent, and of a number, that are normalized; others stay as they are written. */
    private static final String PLAIN_NUMBER = "[+-]?[0-9]{1,40}(\\.[0-9]{1,40})?([eE][+-]?[0-9]{1,2})?";

    private EntityKey() { }

    /** Returns the canonical form of a key as it is written in a path, percent-decoded. */
    static String canonical(String literal, String edmType) {
        if (NUMERIC_TYPES.contains(edmType) && literal.matches(PLAIN_NUMBER)) {
            BigDecimal number = new BigDecimal(literal);
            return number.signum() == 0 ? "0" : number.stripTrailingZeros().toPlainString();
        }
        return CASE_INSENSITIVE_TYPES.contains(edmType) ? literal.toLowerCase(Locale.ROOT) : literal;
    }

    /** Returns the canonical form of the key at a parser's current token; null for null, an object or a list. */
    static String ofJson(JsonParser value, String edmType) throws IOException {
        JsonToken token = value.currentToken();
        return token == JsonToken.VALUE_NULL || token.isStructStart() ? null
                : ofJson(value.getText(), token == JsonToken.VALUE_STRING, edmType);
    }

    /** Returns the canonical form of a key that is given as a JSON string, or as another scalar with this text. */
    static String ofJson(String text, boolean isString, String edmType) {
        return isString && isQuoted(text, edmType) ? "'" + text.replace("'", "''") + "'" : canonical(text, edmType);
    }

    /** Whether a path would hold this text in quotes, also if the configured type is not that of the values. */
    private static boolean isQuoted(String text, String edmType) {
        return edmType.equals("Edm.String") || NUMERIC_TYPES.contains(edmType) && !text.matches(PLAIN_NUMBER);
    }
}
