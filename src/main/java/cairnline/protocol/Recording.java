package cairnline.protocol;

import java.io.Closeable;
import java.io.IOException;

/** A stream of recorded requests. */
public interface Recording extends Closeable {
    /** Returns the next request, or null at the end; throws {@link ProtocolException} for an entry that can't be used. */
    RecordedRequest next() throws IOException;

    /** Describes the position of the entry that was read last, such as {@code line 7}. */
    String position();
}
