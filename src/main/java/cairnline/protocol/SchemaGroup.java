package cairnline.protocol;

import java.nio.charset.StandardCharsets;

/**
 * Finds the group of tables that a SQL statement uses: the number after the last underscore of a schema name that qualifies
 * a table. String literals and comments are skipped. Works on bytes, since the event loop searches each statement that it reads.
 */
public final class SchemaGroup {
    private static final int NONE = -1;
    private static final int MAX_DIGITS = 9;
    private static final int ASCII_SIZE = 128;
    /** The kind of each ASCII character. */
    private static final CharacterKind[] KINDS = new CharacterKind[ASCII_SIZE];

    private enum CharacterKind { NAME, SPACE, SINGLE_QUOTE, DOUBLE_QUOTE, DASH, SLASH, OTHER }

    static {
        for (char c = 0; c < ASCII_SIZE; c++) {
            KINDS[c] = Character.isLetterOrDigit(c) || c == '_' || c == '$' ? CharacterKind.NAME
                    : Character.isWhitespace(c) ? CharacterKind.SPACE : CharacterKind.OTHER;
        }
        KINDS['\''] = CharacterKind.SINGLE_QUOTE;
        KINDS['"'] = CharacterKind.DOUBLE_QUOTE;
        KINDS['-'] = CharacterKind.DASH;
        KINDS['/'] = CharacterKind.SLASH;
    }

    private final byte[] text;

    private SchemaGroup(byte[] text) {
        this.text = text;
    }

    /** Returns the group of the first schema with a number, or -1 if the statement, in UTF-8, names none. */
    public static int of(byte[] statement) {
        return new SchemaGroup(isAscii(statement) ? statement : replaceNonAscii(statement)).find();
    }

    private static boolean isAscii(byte[] statement) {
        for (byte b : statement) {
            if (b < 0) {
                return false;
            }
        }
        return true;
    }

    /** Replaces each character outside ASCII by one of the same kind: a letter, a space or a question mark. */
    private static byte[] replaceNonAscii(byte[] statement) {
        String decoded = new String(statement, StandardCharsets.UTF_8);
        byte[] replaced = new byte[decoded.length()];
        for (int i = 0; i < replaced.length; i++) {
            char c = decoded.charAt(i);
            char sameKind = Character.isLetterOrDigit(c) ? 'a' : Character.isWhitespace(c) ? ' ' : '?';
            replaced[i] = (byte) (c < ASCII_SIZE ? c : sameKind);
        }
        return replaced;
    }

    private int find() {
        int position = 0;
        while (position < text.length) {
            switch (KINDS[text[position]]) {
                case NAME, DOUBLE_QUOTE -> {
                    int end = nameEnd(position);
                    int group = qualifiesName(position, end) ? groupOfName(position, end) : NONE;
                    if (group != NONE) {
                        return group;
                    }
                    position = end;
                }
                case SINGLE_QUOTE -> position = skipQuoted(position);
                case DASH -> position = isAt(position + 1, '-') ? skipLine(position) : position + 1;
                case SLASH -> position = isAt(position + 1, '*') ? skipBlockComment(position) : position + 1;
                default -> position++;
            }
        }
        return NONE;
    }

    private boolean isAt(int position, char expected) {
        return position < text.length && text[position] == expected;
    }

    private int skipLine(int start) {
        int position = start;
        while (position < text.length && text[position] != '\n') {
            position++;
        }
        return position;
    }

    /** Returns the index after a quoted string or identifier; a doubled quote is an escaped quote. */
    private int skipQuoted(int start) {
        byte quote = text[start];
        int position = start + 1;
        while (position < text.length) {
            if (text[position] == quote) {
                if (!isAt(position + 1, (char) quote)) {
                    return position + 1;
                }
                position++;
            }
            position++;
        }
        return text.length;
    }

    /** Returns the index after a block comment; block comments nest in SQL. */
    private int skipBlockComment(int start) {
        int depth = 0;
        for (int position = start; position < text.length; position++) {
            if (text[position] == '/' && isAt(position + 1, '*')) {
                depth++;
                position++;
            } else if (text[position] == '*' && isAt(position + 1, '/')) {
                depth--;
                position++;
                if (depth == 0) {
                    return position + 1;
                }
            }
        }
        return text.length;
    }

    private int nameEnd(int start) {
        if (text[start] == '"') {
            return skipQuoted(start);
        }
        int end = start;
        while (end < text.length && KINDS[text[end]] == CharacterKind.NAME) {
            end++;
        }
        return end;
    }

    /** Returns whether a dot follows the name, so that it qualifies another name, and none precedes it. */
    private boolean qualifiesName(int start, int end) {
        int position = end;
        while (position < text.length && KINDS[text[position]] == CharacterKind.SPACE) {
            position++;
        }
        return isAt(position, '.') && !(start > 0 && text[start - 1] == '.');
    }

    /** Returns the number behind the last underscore of a name, which may be quoted; -1 if there is none. */
    private int groupOfName(int start, int end) {
        boolean quoted = text[start] == '"';
        int first = quoted ? start + 1 : start;
        int last = quoted ? Math.max(first, end - 1) : end;
        int digits = last;
        while (digits > first && text[digits - 1] >= '0' && text[digits - 1] <= '9') {
            digits--;
        }
        boolean hasGroup = digits < last && last - digits <= MAX_DIGITS && digits - 1 > first && text[digits - 1] == '_';
        return hasGroup ? Integer.parseInt(new String(text, digits, last - digits, StandardCharsets.US_ASCII)) : NONE;
    }
}
