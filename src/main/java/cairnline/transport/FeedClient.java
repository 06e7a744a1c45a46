package cairnline.transport;

import cairnline.control.ControlApi.Listed;
import cairnline.protocol.ByteQueue;
import cairnline.protocol.FeedEvent;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Clock;
import cairnline.routing.EngineList;
import cairnline.routing.Limits;
import cairnline.routing.ListedEngine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/** Follows the control feed: resumes after the last event, and comes back after a pause when it is lost. */
public final class FeedClient {
    private static final int READ_SIZE = 8192;

    private final InetSocketAddress address;
    private final EngineList list;
    private final Limits limits;
    private final Consumer<String> log;

    /** A client that does not follow yet. */
    public FeedClient(InetSocketAddress address, EngineList list, Limits limits, Consumer<String> log) {
        this.address = address;
        this.list = list;
        this.limits = limits;
        this.log = log;
    }

    /** Starts to follow. */
    public void start() {
        Threads.start("feed", limits.coreStack(), this::follow);
    }

    private void follow() {
        boolean lost = false;
        do {
            try (Socket socket = new Socket()) {
                socket.connect(address, (int) Clock.toMillis(limits.feedSilence()));
                socket.setSoTimeout((int) Clock.toMillis(limits.feedSilence()));
                socket.getOutputStream().write(("SUB " + list.last() + "\n").getBytes(StandardCharsets.US_ASCII));
                read(socket, lost);
            } catch (IOException | ProtocolException e) {
                if (!lost) {
                    log.accept("control feed lost: " + e.getMessage());
                }
            }
            lost = true;
        } while (Threads.pause(limits.feedPause()));
    }

    private void read(Socket socket, boolean wasLost) throws IOException {
        ByteQueue bytes = new ByteQueue();
        byte[] buffer = new byte[READ_SIZE];
        int searched = 0;
        if (wasLost) {
            log.accept("control feed reached again");
        }
        for (int count = socket.getInputStream().read(buffer); count >= 0;
                count = socket.getInputStream().read(buffer)) {
            bytes.feed(buffer, 0, count);
            for (int end = bytes.indexOf('\n', searched); end >= 0; end = bytes.indexOf('\n', 0)) {
                changed(FeedEvent.line(bytes.take(end)));
                bytes.skip(1);
            }
            searched = bytes.size();
            if (searched > limits.feedLine()) {
                throw new ProtocolException("a line is longer than " + limits.feedLine());
            }
        }
        throw new IOException("it closed the connection");
    }

    private void changed(FeedEvent event) {
        if (event != null) {
            list.changed(event.number(), event.whole(), entries(event));
        }
    }

    /** The entries of an event in the core's terms; null if it does not change the list. */
    public static List<ListedEngine> entries(FeedEvent event) {
        return event.hosts() == null ? null : event.hosts().stream().map(FeedClient::entry).toList();
    }

    private static ListedEngine entry(FeedEvent.Host host) {
        Listed listed = switch (host.state()) {
            case IN_SERVICE -> Listed.READY;
            case TERMINATING -> Listed.DRAINING;
            case TERMINATED -> Listed.GONE;
        };
        return new ListedEngine(host.id(), host.address(), listed, host.zone(), host.kind(), host.cell(),
                host.weight(), Clock.ofUnix(host.bornMs()));
    }
}
