package cairnline.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Decides which subscriptions to the control feed to open and to close, and when. A subscription that tells nothing for a while
 * is not closed for that, since its answer may be on its way: another one is opened beside it, and it ends once a later one
 * has told as much. The number of open subscriptions is bounded, and repeated ones are opened ever less often, so that a
 * crowded feed is not crowded further.
 *
 * <p>The caller reports what happens to each subscription, then carries out what {@link #decide} returns. Does no I/O and has
 * no clock; all times are in microseconds of the caller's clock. Not thread-safe.
 */
public final class FeedSubscriptions {
    /** Maximum number of open subscriptions. */
    public static final int MAX_OPEN = 4;

    private static final long SECOND_MICROS = 1_000_000;
    /**
     * Maximum delay before the next attempt after a subscription was refused or closed by the feed: events count as told while
     * nobody is connected, and a drain has to be kept 1 s later.
     */
    private static final long MAX_RECONNECT_DELAY_MICROS = 400_000;
    /** Maximum time between two subscriptions of which the first one is open and silent. */
    private static final long MAX_INTERVAL_MICROS = 4 * SECOND_MICROS;
    /** The same if the connection of the first one is not established yet, which costs the feed little. */
    private static final long MAX_CONNECT_INTERVAL_MICROS = 1_600_000;
    /** The time between two subscriptions, as a multiple of the longest silence after which the feed went on by itself. */
    private static final double SILENCE_MULTIPLE = 1.5;
    private static final double INTERVAL_GROWTH = 1.5;
    /** Delays do not grow further after this many attempts. */
    private static final int MAX_BACKOFF_ATTEMPTS = 8;
    /** Retries back off from the start again once no further subscription was needed for this long. */
    private static final long STABLE_MICROS = 10 * SECOND_MICROS;
    /** Rate from which on an unfinished line counts as progress; a slower one may never end. */
    private static final long MIN_BYTES_PER_SECOND = 16_384;
    /** However fast its bytes come, a line that is not complete after this time does not hold up another subscription. */
    private static final long MAX_LINE_MICROS = 7 * SECOND_MICROS;
    /** Maximum time between two subscriptions to a feed that went on by itself after long silences. */
    private static final long MAX_SLOW_INTERVAL_MICROS = 7 * SECOND_MICROS;
    /** A subscription that has completed no line for this long is closed. */
    private static final long ABANDON_MICROS = 60 * SECOND_MICROS;

    private final Timing timing;
    private final RandomGenerator random;
    /** The open subscriptions by id, and so in the order in which they were opened. */
    private final TreeMap<Long, Subscription> open = new TreeMap<>();
    /** Ids of subscriptions that are no longer needed and have not been reported as to be closed yet. */
    private final List<Long> unneeded = new ArrayList<>();
    private InetSocketAddress address;
    private long lastId;
    private long lastOpenedAt;
    /** Number of subscriptions opened since retries last began to back off. */
    private int attempts;
    /** The longest silence after which a subscription went on by itself since retries last began to back off. */
    private long longestSilence;
    /** Share of the full delay or interval before the next attempt, drawn anew for each one. */
    private double jitter = 1;
    /** Whether a subscription is to be opened at once, whatever others are open. */
    private boolean openNow = true;
    /** When to open the next one if none to the present address is open. */
    private long reconnectAt;

    /**
     * Time limits that the operator's limits set.
     *
     * @param connectTimeout another subscription is opened beside one whose connection is not established after this time
     * @param reconnectDelay delay before the first attempt after a subscription has ended
     * @param silenceTimeout another subscription is opened beside one that completes no line for this time
     */
    public record Timing(long connectTimeout, long reconnectDelay, long silenceTimeout) { }

    /** A step for the caller to carry out. */
    public sealed interface Decision { }

    /** Open a subscription; the caller reports what becomes of it under this id. */
    public record Open(long id, InetSocketAddress address) implements Decision { }

    /** Close a subscription, of which nothing is to be reported any more. */
    public record Close(long id) implements Decision { }

    private static final class Subscription {
        final long id;
        final InetSocketAddress address;
        boolean connected;
        /** Whether it has completed a line. */
        boolean told;
        /** Whether it had told all events that were applied when it last told a line. */
        boolean upToDate;
        /** Since when it has had time for the line that it has not completed yet. */
        long lineSince;
        /** Until when it is expected to tell something; after that, another subscription is opened beside it. */
        long trustedUntil;

        Subscription(long id, InetSocketAddress address) {
            this.id = id;
            this.address = address;
        }
    }

    /** Creates the decisions on subscriptions to a feed at this address, of which none is open. */
    public FeedSubscriptions(InetSocketAddress address, Timing timing, RandomGenerator random) {
        this.address = address;
        this.timing = timing;
        this.random = random;
    }

    /** Sets a new address of the feed. Subscriptions to earlier ones go on until one to this address has told as much. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        attempts = 0;
        longestSilence = 0;
        openNow = open.values().stream().noneMatch(this::isCurrent);
    }

    /** Reports that the connection of a subscription is established. */
    public void connected(long id, long now) {
        Subscription subscription = open.get(id);
        if (subscription != null) {
            subscription.connected = true;
            subscription.lineSince = now;
            subscription.trustedUntil = now + timing.silenceTimeout();
        }
    }

    /** Reports bytes of a line that may not be complete yet. */
    public void received(long id, int bytes, long now) {
        Subscription subscription = open.get(id);
        if (subscription != null) {
            long extended = subscription.trustedUntil + bytes * SECOND_MICROS / MIN_BYTES_PER_SECOND;
            long bound = Math.min(now + timing.silenceTimeout(), subscription.lineSince + MAX_LINE_MICROS);
            subscription.trustedUntil = Math.max(subscription.trustedUntil, Math.min(extended, bound));
        }
    }

    /**
     * Reports a complete line.
     *
     * @param upToDate whether the subscription has told all events that were applied, so that those before it are not needed
     */
    public void told(long id, boolean upToDate, long now) {
        Subscription subscription = open.get(id);
        if (subscription == null) {
            return;
        }
        longestSilence = Math.max(longestSilence, now - subscription.lineSince);
        subscription.told = true;
        subscription.upToDate = upToDate;
        subscription.lineSince = now;
        subscription.trustedUntil = now + timing.silenceTimeout();
        if (upToDate) {
            endUnneeded(subscription);
        }
        if (isCurrent(subscription) && now - lastOpenedAt >= STABLE_MICROS) {
            attempts = 0;
            longestSilence = 0;
        }
    }

    /** Ends the subscriptions that this one, being up to date, replaces: all, or the earlier ones to earlier addresses. */
    private void endUnneeded(Subscription upToDate) {
        for (Iterator<Subscription> others = open.values().iterator(); others.hasNext();) {
            Subscription other = others.next();
            boolean replaced = isCurrent(upToDate) || !isCurrent(other) && other.id < upToDate.id;
            if (other != upToDate && replaced) {
                others.remove();
                unneeded.add(other.id);
            }
        }
    }

    /** Reports that a subscription was refused or has ended. */
    public void ended(long id, long now) {
        Subscription subscription = open.remove(id);
        if (subscription != null && isCurrent(subscription)) {
            reconnectAt = now + reconnectDelay();
        }
    }

    /** Reports that a subscription has ended since it has to start from another event; the next one is opened at once. */
    public void endedForRestart(long id) {
        if (open.remove(id) != null) {
            openNow = true;
        }
    }

    /** Whether this subscription is one to the present address. */
    public boolean isCurrent(long id) {
        Subscription subscription = open.get(id);
        return subscription != null && isCurrent(subscription);
    }

    private boolean isCurrent(Subscription subscription) {
        return subscription.address.equals(address);
    }

    /** Whether a subscription tells lines, none of them later than expected. */
    public boolean isTelling(long now) {
        return open.values().stream().anyMatch(subscription -> isTelling(subscription, now));
    }

    /** Whether a subscription other than this one is up to date and tells lines, none of them later than expected. */
    public boolean isOtherUpToDate(long id, long now) {
        return open.values().stream().anyMatch(other -> other.id != id && other.upToDate && isTelling(other, now));
    }

    private static boolean isTelling(Subscription subscription, long now) {
        return subscription.told && now < subscription.trustedUntil;
    }

    /** Returns what to do now, in this order. */
    public List<Decision> decide(long now) {
        List<Decision> decisions = new ArrayList<>();
        open.values().stream().filter(subscription -> now >= abandonAt(subscription)).map(subscription -> subscription.id)
                .toList().forEach(this::endUnneeded);
        if (now >= nextOpenAt()) {
            if (open.size() >= MAX_OPEN) {
                endUnneeded(leastPromising(now));
            }
            decisions.add(openNext(now));
        }
        unneeded.forEach(id -> decisions.add(0, new Close(id)));
        unneeded.clear();
        return decisions;
    }

    private void endUnneeded(long id) {
        open.remove(id);
        unneeded.add(id);
    }

    /**
     * Returns the subscription to close for a new one. The oldest of those that tell nothing is kept, since its answer is due
     * first, so the next one is chosen; without two such, the oldest of all.
     */
    private long leastPromising(long now) {
        List<Long> silent = open.values().stream().filter(subscription -> !isTelling(subscription, now))
                .map(subscription -> subscription.id).toList();
        return silent.size() < 2 ? open.firstKey() : silent.get(1);
    }

    private Open openNext(long now) {
        Subscription subscription = new Subscription(++lastId, address);
        subscription.lineSince = now;
        subscription.trustedUntil = now + timing.connectTimeout() + timing.reconnectDelay();
        open.put(subscription.id, subscription);
        openNow = false;
        lastOpenedAt = now;
        attempts = Math.min(MAX_BACKOFF_ATTEMPTS, attempts + 1);
        jitter = random.nextDouble();
        return new Open(subscription.id, address);
    }

    /** Returns when {@link #decide} is next to be called if nothing happens before. */
    public long nextEventAt() {
        return open.values().stream().mapToLong(FeedSubscriptions::abandonAt).reduce(nextOpenAt(), Math::min);
    }

    private static long abandonAt(Subscription subscription) {
        return subscription.lineSince + ABANDON_MICROS;
    }

    private long nextOpenAt() {
        if (openNow) {
            return Long.MIN_VALUE;
        }
        List<Subscription> current = open.values().stream().filter(this::isCurrent).toList();
        if (current.isEmpty()) {
            return reconnectAt;
        }
        long trustedUntil = current.stream().mapToLong(subscription -> subscription.trustedUntil).max().getAsLong();
        return Math.max(trustedUntil, lastOpenedAt + interval(current.get(current.size() - 1)));
    }

    /** Returns the least time after the last subscription was opened before one is opened beside it. */
    private long interval(Subscription youngest) {
        long base = youngest.connected ? timing.silenceTimeout() : timing.connectTimeout() + timing.reconnectDelay();
        long bound = youngest.connected ? MAX_INTERVAL_MICROS : MAX_CONNECT_INTERVAL_MICROS;
        double full = Math.min(bound, base * Math.pow(INTERVAL_GROWTH, Math.max(0, attempts - 1)));
        double ofSlowFeed = Math.min(MAX_SLOW_INTERVAL_MICROS, longestSilence * SILENCE_MULTIPLE);
        return (long) Math.max(full * (3 + jitter) / 4, ofSlowFeed);
    }

    private long reconnectDelay() {
        long full = Math.min(MAX_RECONNECT_DELAY_MICROS, timing.reconnectDelay() << Math.max(0, attempts - 1));
        return (long) (full * (1 + jitter) / 2);
    }
}
