package cairnline.protocol;

/**
 * Finds the group of tables that a SQL statement uses: the number after the last underscore of a schema name that qualifies
 * a table. String literals and comments are skipped.
 */
public final class SchemaGroup {
    private static final int MAX_DIGITS = 9;

    private SchemaGroup() { }

    /** Returns the group of the first schema with a number, or -1 if the statement names none. */
    public static int of(String statement) {
        int position = 0;
        while (position < statement.length()) {
            int afterSkipped = skipStringOrComment(statement, position);
            if (afterSkipped > position) {
                position = afterSkipped;
            } else if (isNameCharacter(statement.charAt(position)) || statement.charAt(position) == '"') {
                int end = nameEnd(statement, position);
                int group = !isPrecededByDot(statement, position) && isFollowedByDot(statement, end)
                        ? group(unquote(statement.substring(position, end))) : -1;
                if (group >= 0) {
                    return group;
                }
                position = end;
            } else {
                position++;
            }
        }
        return -1;
    }

    /** Returns the index after the string or comment that starts at this index, or this index if none does. */
    private static int skipStringOrComment(String statement, int start) {
        char first = statement.charAt(start);
        if (first == '\'') {
            return skipQuoted(statement, start, '\'');
        }
        if (statement.startsWith("--", start)) {
            int end = statement.indexOf('\n', start);
            return end < 0 ? statement.length() : end;
        }
        if (statement.startsWith("/*", start)) {
            return skipBlockComment(statement, start);
        }
        return start;
    }

    /** Returns the index after a quoted string or identifier; a doubled quote is an escaped quote. */
    private static int skipQuoted(String statement, int start, char quote) {
        int position = start + 1;
        while (position < statement.length()) {
            if (statement.charAt(position) == quote) {
                if (position + 1 == statement.length() || statement.charAt(position + 1) != quote) {
                    return position + 1;
                }
                position++;
            }
            position++;
        }
        return statement.length();
    }

    /** Returns the index after a block comment; block comments nest in SQL. */
    private static int skipBlockComment(String statement, int start) {
        int depth = 0;
        for (int position = start; position < statement.length(); position++) {
            if (statement.startsWith("/*", position)) {
                depth++;
                position++;
            } else if (statement.startsWith("*/", position)) {
                depth--;
                position++;
                if (depth == 0) {
                    return position + 1;
                }
            }
        }
        return statement.length();
    }

    private static int nameEnd(String statement, int start) {
        if (statement.charAt(start) == '"') {
            return skipQuoted(statement, start, '"');
        }
        int end = start;
        while (end < statement.length() && isNameCharacter(statement.charAt(end))) {
            end++;
        }
        return end;
    }

    /** Returns whether a dot follows the name, so that it qualifies another name. */
    private static boolean isFollowedByDot(String statement, int end) {
        int position = end;
        while (position < statement.length() && Character.isWhitespace(statement.charAt(position))) {
            position++;
        }
        return position < statement.length() && statement.charAt(position) == '.';
    }

    /** Returns whether a dot precedes the name, so that it is that of a table or column. */
    private static boolean isPrecededByDot(String statement, int start) {
        return start > 0 && statement.charAt(start - 1) == '.';
    }

    private static String unquote(String name) {
        return name.startsWith("\"") ? name.substring(1, Math.max(1, name.length() - 1)) : name;
    }

    private static int group(String schema) {
        int underscore = schema.lastIndexOf('_');
        String digits = schema.substring(underscore + 1);
        boolean hasGroup = underscore > 0 && !digits.isEmpty() && digits.length() <= MAX_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return hasGroup ? Integer.parseInt(digits) : -1;
    }

    private static boolean isNameCharacter(char c) {
        return Character.isLetterOrDigit(c) || c == '_' || c == '$';
    }
}
