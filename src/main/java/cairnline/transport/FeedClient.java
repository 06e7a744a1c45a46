package cairnline.transport;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.protocol.ByteQueue;
import cairnline.protocol.FeedEvent;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Clock;
import cairnline.routing.EngineList;
import cairnline.routing.Limits;
import cairnline.routing.WallClock;
import cairnline.logs.Events;
import cairnline.membership.ListedEngine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Follows the control feed: resumes after the last event, and comes back after a pause when it is lost. */
public final class FeedClient {
    private static final int READ_SIZE = 8192;

    private final EngineList list;
    private final Limits limits;
    private final Clock clock;
    private final WallClock wallClock;
    private final Events log;
    private InetSocketAddress address;
    private boolean asked;
    /** The connection to that address; closing it wakes the thread that follows. */
    private Socket socket = new Socket();

    /** A client that does not follow yet. */
    public FeedClient(InetSocketAddress address, EngineList list, Limits limits, Clock clock, WallClock wallClock,
                      Events log) {
        this.address = address;
        this.list = list;
        this.limits = limits;
        this.clock = clock;
        this.wallClock = wallClock;
        this.log = log;
    }

    /** Starts to follow. */
    public void start() {
        Threads.startVital("feed", limits.routing().stackBytes(), this::follow);
    }

    /** From now on the feed is at this address; its numbers go on. */
    public synchronized void follow(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            Threads.close(socket);
            notifyAll();
        }
    }

    private void follow() {
        boolean lost = false;
        InetSocketAddress at;
        do {
            Socket opened = new Socket();
            at = use(opened);
            try (opened) {
                opened.connect(at, (int) Clock.toMillis(limits.feed().connect()));
                opened.getOutputStream().write(("SUB " + list.last() + "\n").getBytes(StandardCharsets.US_ASCII));
                read(opened, lost);
            } catch (IOException | RuntimeException e) {
                // Also on what no reader foresees: without this thread the list would stand still for good.
                if (!lost) {
                    log.warn("feed.lost", "control feed lost: " + e.getMessage(), "address", at);
                }
            }
            asked();
            lost = true;
        } while (pause(at));
    }

    /** Tells once that the feed was asked for the first time. */
    private void asked() {
        if (!asked) {
            asked = true;
            list.asked();
        }
    }

    private synchronized InetSocketAddress use(Socket opened) {
        socket = opened;
        return address;
    }

    /** Waits before that address is asked again; not at all once there is another. */
    private synchronized boolean pause(InetSocketAddress asked) {
        long until = clock.micros() + limits.feed().pause();
        try {
            for (long left = limits.feed().pause(); left > 0 && asked.equals(address); left = until - clock.micros()) {
                wait(Clock.toMillis(left));
            }
            return true;
        } catch (InterruptedException e) {
            return false;
        }
    }

    private void read(Socket from, boolean wasLost) throws IOException {
        ByteQueue bytes = new ByteQueue();
        byte[] buffer = new byte[READ_SIZE];
        int searched = 0;
        if (wasLost) {
            log.info("feed.reached", "control feed reached again");
        }
        long silentAt = clock.micros() + limits.feed().silence();
        for (int count = first(from, buffer); count >= 0; count = receive(from, buffer, silentAt)) {
            bytes.feed(buffer, 0, count);
            for (int end = bytes.indexOf('\n', searched); end >= 0; end = bytes.indexOf('\n', 0)) {
                changed(FeedEvent.line(bytes.take(end)));
                bytes.skip(1);
                silentAt = clock.micros() + limits.feed().silence();
            }
            asked();
            searched = bytes.size();
            if (searched > limits.feed().lineBytes()) {
                throw new ProtocolException("a line is longer than " + limits.feed().lineBytes());
            }
        }
        throw new IOException("it closed the connection");
    }

    /** What the feed has to tell at once; nothing if it has nothing new, and tells that only with its next sign of life. */
    private int first(Socket from, byte[] buffer) throws IOException {
        try {
            return receive(from, buffer, clock.micros() + limits.feed().firstTold());
        } catch (SocketTimeoutException e) {
            return 0;
        }
    }

    /** Only whole lines are a sign of life: a feed may stop in the middle of one, or drip. */
    private int receive(Socket from, byte[] buffer, long silentAt) throws IOException {
        long left = silentAt - clock.micros();
        if (left <= 0) {
            throw new SocketTimeoutException("it tells nothing whole");
        }
        from.setSoTimeout((int) Clock.toMillis(left));
        return from.getInputStream().read(buffer);
    }

    private void changed(FeedEvent event) {
        wallClock.sample();
        if (event != null) {
            list.changed(event.number(), event.whole(), entries(event, wallClock));
        }
    }

    /** The entries of an event in the core's terms; null if it does not change the list. */
    public static List<ListedEngine> entries(FeedEvent event, WallClock wallClock) {
        return event.hosts() == null ? null : event.hosts().stream().map(host -> entry(host, wallClock)).toList();
    }

    private static ListedEngine entry(FeedEvent.Host host, WallClock wallClock) {
        EngineStatus listed = switch (host.state()) {
            case IN_SERVICE -> EngineStatus.READY;
            case TERMINATING -> EngineStatus.DRAINING;
            case TERMINATED -> EngineStatus.REMOVED;
        };
        long startedAt = wallClock.startOf(host.id(), Clock.ofUnix(host.bornMs()));
        if (listed == EngineStatus.REMOVED) {
            wallClock.forget(host.id());
        }
        return new ListedEngine(host.id(), host.address(), listed, host.zone(), host.kind(), host.cell(),
                host.weight(), startedAt);
    }
}
