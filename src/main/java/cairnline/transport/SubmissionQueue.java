package cairnline.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The requests that were read from the connections of one front and not passed on yet. Passing one on takes time in proportion
 * to its size, so a bounded amount is passed on in each turn of the event loop, from one connection after another, and only while
 * few of the requests passed on before wait for the dispatcher: there they would wait in the order of arrival. Requests
 * with one ordering key are passed on in the order in which they were read, whichever connections they came on. Confined to the
 * event loop.
 */
final class SubmissionQueue {
    private static final int MAX_BYTES_PER_TURN = 128 * 1_024;
    private static final int MAX_REQUESTS_PER_TURN = 64;
    /** Requests that may wait for the dispatcher. */
    private static final int MAX_UNTAKEN_REQUESTS = 64;

    private final Consumer<Runnable> executor;
    /** The connections with waiting requests; the first one is next. */
    private final Map<EventLoop.Handler, Deque<Entry>> waitingByConnection = new LinkedHashMap<>();
    private final Map<Long, Deque<Entry>> waitingByKey = new HashMap<>();
    private boolean turnScheduled;
    private int untakenCount;

    /** Creates an empty queue; {@code executor} runs a task on the event loop, after all that is due there now. */
    SubmissionQueue(Consumer<Runnable> executor) {
        this.executor = executor;
    }

    /** A waiting request; {@code orderingKey} may be null. */
    record Entry(EventLoop.Handler connection, Long orderingKey, int bytes, Runnable submission) { }

    /** Appends a request; its submission runs in a later turn, and a failure of it is reported to its connection. */
    void add(Entry entry) {
        waitingByConnection.computeIfAbsent(entry.connection, key -> new ArrayDeque<>()).add(entry);
        if (entry.orderingKey != null) {
            waitingByKey.computeIfAbsent(entry.orderingKey, key -> new ArrayDeque<>()).add(entry);
        }
        scheduleTurn();
    }

    /** Counts a request that is about to be passed on; the result must run, on any thread, once the dispatcher has taken it. */
    Runnable countUntaken() {
        untakenCount++;
        return () -> executor.accept(this::onTaken);
    }

    private void onTaken() {
        untakenCount--;
        scheduleTurn();
    }

    /** Removes a request that is not to be passed on. */
    void remove(Entry entry) {
        removeFrom(waitingByConnection, entry.connection, entry);
        if (entry.orderingKey != null) {
            removeFrom(waitingByKey, entry.orderingKey, entry);
        }
    }

    private static <K> void removeFrom(Map<K, Deque<Entry>> waiting, K key, Entry removed) {
        Deque<Entry> entries = waiting.get(key);
        if (entries != null && entries.removeIf(entry -> entry == removed) && entries.isEmpty()) {
            waiting.remove(key);
        }
    }

    /** Passes on all requests of a connection at once. */
    void submitAll(EventLoop.Handler connection) {
        while (waitingByConnection.containsKey(connection)) {
            submit(waitingByConnection.get(connection).peekFirst());
        }
    }

    private void scheduleTurn() {
        if (!turnScheduled && !waitingByConnection.isEmpty() && untakenCount < MAX_UNTAKEN_REQUESTS) {
            turnScheduled = true;
            executor.accept(this::runTurn);
        }
    }

    private void runTurn() {
        turnScheduled = false;
        int bytes = 0;
        for (int i = 0; i < MAX_REQUESTS_PER_TURN && bytes < MAX_BYTES_PER_TURN && untakenCount < MAX_UNTAKEN_REQUESTS
                && !waitingByConnection.isEmpty(); i++) {
            EventLoop.Handler next = waitingByConnection.keySet().iterator().next();
            Deque<Entry> entries = waitingByConnection.remove(next);
            waitingByConnection.put(next, entries);
            bytes += submit(entries.peekFirst());
        }
        scheduleTurn();
    }

    /** Passes on a request and those of its ordering key that were read before; returns their size. */
    private int submit(Entry entry) {
        int bytes = 0;
        while (entry.orderingKey != null && waitingByKey.get(entry.orderingKey).peekFirst() != entry) {
            bytes += submitNow(waitingByKey.get(entry.orderingKey).peekFirst());
        }
        return bytes + submitNow(entry);
    }

    private int submitNow(Entry entry) {
        remove(entry);
        EventLoop.runGuarded(entry.connection, entry.submission);
        return entry.bytes;
    }
}
