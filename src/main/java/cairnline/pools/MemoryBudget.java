package cairnline.pools;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes of memory that connections hold for one purpose, against a limit for all of them together: the limits of
 * a single connection do not prevent hundreds of connections from exhausting the memory. The budget only counts; its users
 * decide what to do once it is exceeded. A part of it may be kept for the accounts that hold little, so that those who hold much
 * do not use up what the others need. Thread-safe.
 */
public final class MemoryBudget {
    private final long limitBytes;
    /** Limit of all accounts together, above which only accounts of up to {@link #smallAccountBytes} may grow. */
    private final long sharedLimitBytes;
    private final long smallAccountBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    /** Creates a budget with nothing held. */
    public MemoryBudget(long limitBytes) {
        this(limitBytes, 0, 1);
    }

    /** Creates a budget of which {@code reservedBytes} are kept for {@code accounts} accounts that hold an equal part of them. */
    public MemoryBudget(long limitBytes, long reservedBytes, int accounts) {
        this.limitBytes = limitBytes;
        this.sharedLimitBytes = limitBytes - reservedBytes;
        this.smallAccountBytes = reservedBytes / accounts;
    }

    /** Returns the number of bytes held by all accounts. */
    public long heldBytes() {
        return heldBytes.get();
    }

    /** Whether more bytes are held than the limit allows. */
    public boolean isExceeded() {
        return heldBytes.get() > limitBytes;
    }

    /** Whether more than half of the limit is held. */
    public boolean isHalfUsed() {
        return heldBytes.get() > limitBytes / 2;
    }

    /** Opens an account with nothing held. */
    public Account openAccount() {
        return new Account();
    }

    /** The bytes held by one connection. Thread-safe. */
    public final class Account {
        private long bytes;
        private boolean closed;

        private Account() { }

        /** Returns the number of bytes held. */
        public synchronized long heldBytes() {
            return bytes;
        }

        /**
         * Counts further bytes, or releases bytes if {@code change} is negative. Returns false if bytes were added and the
         * budget is exceeded, for an account of this size; they are counted all the same. A closed account counts nothing.
         */
        public synchronized boolean add(long change) {
            if (closed) {
                return true;
            }
            bytes += change;
            long total = heldBytes.addAndGet(change);
            return change <= 0 || total <= (bytes <= smallAccountBytes ? limitBytes : sharedLimitBytes);
        }

        /** Sets the number of bytes held; returns false if it grew and the budget is exceeded. */
        public synchronized boolean set(long newBytes) {
            return add(newBytes - bytes);
        }

        /** Releases all bytes, those that are added later included. */
        public synchronized void close() {
            add(-bytes);
            closed = true;
        }
    }
}
