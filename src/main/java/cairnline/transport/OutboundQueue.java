package cairnline.transport;

import cairnline.pools.MemoryBudget;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The messages that wait to be written to one connection, and the memory that they hold. Any thread may add or remove
 * messages; all other methods are confined to the event loop's thread, except where noted.
 */
final class OutboundQueue {
    /** Memory of a queued message beside its bytes: the message, its queue node and the header of its array. */
    private static final int MESSAGE_OVERHEAD_BYTES = 100;
    /** Encoded messages that follow each other are written together up to this size, since each write is a system call. */
    private static final int MAX_COMBINED_BYTES = 16_384;

    private final Queue<OutboundMessage> messages = new ConcurrentLinkedQueue<>();
    /** Messages that are queued or being written. */
    private final AtomicInteger pendingCount = new AtomicInteger();
    private final MemoryBudget.Account memory;
    /** What is being written: the first message, the number of messages, their remaining bytes and their memory. */
    private OutboundMessage currentMessage;
    private int currentCount;
    private ByteBuffer currentBytes;
    private long currentMemory;
    private volatile long blockedSince;

    OutboundQueue(MemoryBudget budget) {
        memory = budget.openAccount();
    }

    /** A message that waits to be written. */
    interface OutboundMessage {
        /** Encodes the message when its turn to be written has come; null if there is nothing to write any more. */
        byte[] encode(long now);

        /** Returns the bytes of memory that only this message holds until it is encoded; the value must not change. */
        default long heldBytes() {
            return 0;
        }

        /** Whether to go on with a message that is written in part; the connection is closed otherwise. */
        default boolean isWanted() {
            return true;
        }

        /** Returns a message of these bytes. */
        static OutboundMessage of(byte[] bytes) {
            return new EncodedMessage(bytes);
        }
    }

    private record EncodedMessage(byte[] bytes) implements OutboundMessage {
        @Override
        public byte[] encode(long now) {
            return bytes;
        }

        @Override
        public long heldBytes() {
            return bytes.length;
        }
    }

    private static long memoryOf(OutboundMessage message) {
        return MESSAGE_OVERHEAD_BYTES + message.heldBytes();
    }

    /** Returns the number of messages that are queued or being written; safe for any thread. */
    int pendingCount() {
        return pendingCount.get();
    }

    /** Appends a message; safe for any thread. */
    void add(OutboundMessage message) {
        pendingCount.incrementAndGet();
        memory.add(memoryOf(message));
        messages.add(message);
    }

    /** Removes a message if its turn has not come yet; safe for any thread. */
    void remove(OutboundMessage message) {
        if (messages.remove(message)) {
            pendingCount.decrementAndGet();
            memory.add(-memoryOf(message));
        }
    }

    /** Whether no message waits for its turn; one may still be being written. */
    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Whether a message is being written. */
    boolean isWriting() {
        return currentBytes != null;
    }

    /**
     * Takes the next message out of the queue and encodes it, or the next messages that are encoded already; there may be nothing
     * to write afterwards.
     */
    void encodeNext(long now) {
        OutboundMessage next = messages.poll();
        if (next == null) {
            return;
        }
        if (next instanceof EncodedMessage encoded) {
            combineWithFollowing(encoded);
            return;
        }
        byte[] bytes = encode(next, now);
        if (bytes == null) {
            pendingCount.decrementAndGet();
            memory.add(-memoryOf(next));
            return;
        }
        currentMessage = next;
        currentCount = 1;
        currentBytes = ByteBuffer.wrap(bytes);
        currentMemory = MESSAGE_OVERHEAD_BYTES + bytes.length;
        memory.add(currentMemory - memoryOf(next));
    }

    private void combineWithFollowing(EncodedMessage first) {
        ArrayList<EncodedMessage> combined = new ArrayList<>();
        int size = 0;
        EncodedMessage next = first;
        while (next != null) {
            combined.add(next);
            size += next.bytes.length;
            next = takeEncoded(MAX_COMBINED_BYTES - size);
        }
        currentMessage = first;
        currentCount = combined.size();
        currentMemory = combined.stream().mapToLong(OutboundQueue::memoryOf).sum();
        currentBytes = combined.size() == 1 ? ByteBuffer.wrap(first.bytes) : ByteBuffer.allocate(size);
        if (combined.size() > 1) {
            combined.forEach(message -> currentBytes.put(message.bytes));
            currentBytes.flip();
        }
    }

    /** Takes the next message if it is encoded already and not larger than this; null otherwise. */
    private EncodedMessage takeEncoded(int maxBytes) {
        return messages.peek() instanceof EncodedMessage next && next.bytes.length <= maxBytes && messages.remove(next)
                ? next : null;
    }

    /** A message that fails to encode must not close the connection, and with it everything in flight there. */
    private static byte[] encode(OutboundMessage message, long now) {
        try {
            return message.encode(now);
        } catch (RuntimeException | OutOfMemoryError e) {
            EventLoop.reportUncaught(e);
            return null;
        }
    }

    /** Offers the rest of the current message to the channel once; returns whether the channel may take more now. */
    boolean write(SocketChannel channel, long now) throws IOException {
        int count = channel.write(currentBytes);
        if (currentBytes.hasRemaining()) {
            blockedSince = blockedSince == 0 ? now : blockedSince;
            // A short or interrupted write does not show that the channel takes no more.
            return count != 0;
        }
        pendingCount.addAndGet(-currentCount);
        releaseCurrent();
        blockedSince = 0;
        return true;
    }

    private void releaseCurrent() {
        memory.add(-currentMemory);
        currentMessage = null;
        currentCount = 0;
        currentBytes = null;
        currentMemory = 0;
    }

    /** Returns since when the current message could not be written completely; 0 while none is blocked. Safe for any thread. */
    long blockedSince() {
        return blockedSince;
    }

    /** Whether the current message is blocked, and nobody wants the rest of it any more. */
    boolean isBlockedMessageUnwanted() {
        return blockedSince > 0 && !currentMessage.isWanted();
    }

    /** Discards all messages, those that are added later included. */
    void close() {
        messages.clear();
        releaseCurrent();
        memory.close();
    }
}
