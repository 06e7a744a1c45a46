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

/** An access log in the NCSA common or combined format; it holds no bodies. */
public final class AccessLog implements Recording {
    private static final Pattern LINE = Pattern.compile(
            "\\S+ \\S+ .+? \\[([^\\]]+)\\] \"(\\S+) (\\S+)(?: HTTP/[0-9.]+)?\" [0-9]{3} (?:[0-9]+|-)(?: .*)?");
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("dd/MMM/yyyy:HH:mm:ss Z", Locale.ENGLISH);
    private static final int LONGEST = 65_536;

    private final BufferedReader lines;
    private long number;

    /** Reads these lines. */
    public AccessLog(BufferedReader lines) {
        this.lines = lines;
    }

    @Override
    public RecordedRequest next() throws IOException {
        String line = line();
        while (line != null && line.isBlank()) {
            line = line();
        }
        if (line == null) {
            return null;
        }
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            throw new ProtocolException("not in the common or combined format");
        }
        try {
            long at = ZonedDateTime.parse(matcher.group(1), TIME).toInstant().toEpochMilli();
            return RecordedRequest.of(at, matcher.group(2), matcher.group(3), Map.of(), new byte[0]);
        } catch (DateTimeException e) {
            throw new ProtocolException("no time: " + matcher.group(1));
        }
    }

    /** The next line; one too long to be a request's is passed over to its end without being kept. */
    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        int c = lines.read();
        if (c < 0) {
            return null;
        }
        number++;
        int length = 0;
        for (; c >= 0 && c != '\n'; c = lines.read()) {
            if (length++ < LONGEST) {
                line.append((char) c);
            }
        }
        if (length > LONGEST) {
            throw new ProtocolException("longer than " + LONGEST);
        }
        return line.toString().stripTrailing();
    }

    @Override
    public String place() {
        return "line " + number;
    }

    @Override
    public void close() throws IOException {
        lines.close();
    }
}
