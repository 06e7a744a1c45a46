package cairnline.protocol;

import java.io.BufferedReader;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads requests from an access log in the NCSA common or combined format. The format records no bodies. */
public final class AccessLog implements Recording {
    private static final Pattern ENTRY_PATTERN = Pattern.compile(
            "\\S+ \\S+ .+? \\[([^\\]]+)\\] \"(\\S+) (\\S+)(?: HTTP/[0-9.]+)?\" [0-9]{3} (?:[0-9]+|-)(?: .*)?");
    private static final DateTimeFormatter TIMESTAMP_FORMAT =
            DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss Z", Locale.ENGLISH);
    private static final int MAX_LINE_CHARS = 65_536;

    private final BufferedReader lines;
    private long lineNumber;

    /** Creates a reader of these lines; {@link #close} closes them. */
    public AccessLog(BufferedReader lines) {
        this.lines = lines;
    }

    @Override
    public RecordedRequest next() throws IOException {
        String line = readLine();
        while (line != null && line.isBlank()) {
            line = readLine();
        }
        if (line == null) {
            return null;
        }
        Matcher matcher = ENTRY_PATTERN.matcher(line);
        if (!matcher.matches()) {
            throw new ProtocolException("not in the common or combined format");
        }
        try {
            long timestampMillis = ZonedDateTime.parse(matcher.group(1), TIMESTAMP_FORMAT).toInstant().toEpochMilli();
            return RecordedRequest.of(timestampMillis, matcher.group(2), matcher.group(3), Map.of(), new byte[0]);
        } catch (DateTimeException e) {
            throw new ProtocolException("invalid timestamp: " + matcher.group(1));
        }
    }

    /** Returns the next line, or null at the end of the log. The rest of an overlong line is read but not buffered. */
    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int c = lines.read();
        if (c < 0) {
            return null;
        }
        lineNumber++;
        int length = 0;
        for (; c >= 0 && c != '\n'; c = lines.read()) {
            if (length++ < MAX_LINE_CHARS) {
                line.append((char) c);
            }
        }
        if (length > MAX_LINE_CHARS) {
            throw new ProtocolException("line too long, maximum number of characters: " + MAX_LINE_CHARS);
        }
        return line.toString().stripTrailing();
    }

    @Override
    public String position() {
        return "line " + lineNumber;
    }

    @Override
    public void close() throws IOException {
        lines.close();
    }
}
