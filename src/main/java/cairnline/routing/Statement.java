package cairnline.routing;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The statement of a request. Its memory is released as soon as the request is answered or abandoned: attempts that are still
 * in flight then, perhaps for seconds, have been sent or never will be. Thread-safe.
 */
public final class Statement {
    private static final byte[] RELEASED = {};

    private final AtomicReference<byte[]> bytes;
    private final Runnable onRelease;

    /** Creates a statement; {@code onRelease} runs once, when its memory is released. */
    public Statement(byte[] bytes, Runnable onRelease) {
        this.bytes = new AtomicReference<>(bytes);
        this.onRelease = onRelease;
    }

    /**
     * Returns the statement, or an empty array once it is released. Whoever sends it has to read it before checking that the
     * attempt may start, since it is released only after that has become false.
     */
    public byte[] bytes() {
        return bytes.get();
    }

    /** Releases the memory; repeated calls have no effect. */
    public void release() {
        if (bytes.getAndSet(RELEASED) != RELEASED) {
            onRelease.run();
        }
    }

    boolean hasSameBytes(Statement other) {
        return Arrays.equals(bytes(), other.bytes());
    }
}
