package cairnline.protocol;

import java.io.Closeable;
import java.io.IOException;

/** A source of recorded requests, read as a stream. */
public interface Recording extends Closeable {
    /** The next request; null at the end. A request that can't be used throws {@link ProtocolException}. */
    RecordedRequest next() throws IOException;

    /** Names the place of what was read last. */
    String place();
}
