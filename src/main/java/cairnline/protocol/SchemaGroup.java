package cairnline.protocol;

/** Finds the group of tables of a statement: the number after the underscore in its schema's name. */
public final class SchemaGroup {
    private static final int MOST_DIGITS = 9;

    private SchemaGroup() { }

    /** The group; -1 if the statement names none. */
    public static int of(String statement) {
        int at = 0;
        while (at < statement.length()) {
            int next = skipped(statement, at);
            if (next > at) {
                at = next;
            } else if (isName(statement.charAt(at)) || statement.charAt(at) == '"') {
                int end = nameEnd(statement, at);
                int group = !follows(statement, at) && qualifies(statement, end) ? group(bare(statement.substring(at, end))) : -1;
                if (group >= 0) {
                    return group;
                }
                at = end;
            } else {
                at++;
            }
        }
        return -1;
    }

    /** Past a string or comment that starts here; here if none does. */
    private static int skipped(String s, int at) {
        char c = s.charAt(at);
        if (c == '\'') {
            return quoted(s, at, '\'');
        }
        if (s.startsWith("--", at)) {
            int end = s.indexOf('\n', at);
            return end < 0 ? s.length() : end;
        }
        if (s.startsWith("/*", at)) {
            return comment(s, at);
        }
        return at;
    }

    /** Past a quoted run; the quote doubled stands for itself. */
    private static int quoted(String s, int at, char quote) {
        int i = at + 1;
        while (i < s.length()) {
            if (s.charAt(i) == quote) {
                if (i + 1 == s.length() || s.charAt(i + 1) != quote) {
                    return i + 1;
                }
                i++;
            }
            i++;
        }
        return s.length();
    }

    /** Past a block comment; they nest in SQL. */
    private static int comment(String s, int at) {
        int depth = 0;
        for (int i = at; i < s.length(); i++) {
            if (s.startsWith("/*", i)) {
                depth++;
                i++;
            } else if (s.startsWith("*/", i)) {
                depth--;
                i++;
                if (depth == 0) {
                    return i + 1;
                }
            }
        }
        return s.length();
    }

    private static int nameEnd(String s, int at) {
        if (s.charAt(at) == '"') {
            return quoted(s, at, '"');
        }
        int end = at;
        while (end < s.length() && isName(s.charAt(end))) {
            end++;
        }
        return end;
    }

    /** Whether a dot follows, so that the name before it is a schema's. */
    private static boolean qualifies(String s, int end) {
        int at = end;
        while (at < s.length() && Character.isWhitespace(s.charAt(at))) {
            at++;
        }
        return at < s.length() && s.charAt(at) == '.';
    }

    /** Whether a dot comes before, so that the name is a table's or a column's. */
    private static boolean follows(String s, int start) {
        return start > 0 && s.charAt(start - 1) == '.';
    }

    private static String bare(String name) {
        return name.startsWith("\"") ? name.substring(1, Math.max(1, name.length() - 1)) : name;
    }

    private static int group(String schema) {
        int underscore = schema.lastIndexOf('_');
        String digits = schema.substring(underscore + 1);
        boolean numbered = underscore > 0 && !digits.isEmpty() && digits.length() <= MOST_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return numbered ? Integer.parseInt(digits) : -1;
    }

    private static boolean isName(char c) {
        return Character.isLetterOrDigit(c) || c == '_' || c == '$';
    }
}
