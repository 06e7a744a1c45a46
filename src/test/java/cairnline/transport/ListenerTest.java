package cairnline.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnline.logs.EventSink;
import cairnline.routing.Clock;
import cairnline.routing.Limits;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests which connection is evicted or rejected when the connection limit is reached. */
class ListenerTest {
    private static final long LONG_AGO_MICROS = 1;
    private static final long NEVER_IDLE = Long.MAX_VALUE;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private class StubSession implements Listener.Session {
        private final String name;
        private final long idleSince;
        private final boolean sentRequest;

        StubSession(String name, long idleSince, boolean sentRequest) {
            this.name = name;
            this.idleSince = idleSince;
            this.sentRequest = sentRequest;
        }

        @Override
        public void start(long arrivedSince, Runnable onClosed) {
            events.add(name + " starts");
        }

        @Override
        public void announceShutdown() { }

        @Override
        public void drain() { }

        @Override
        public void reject() {
            events.add(name + " is rejected");
        }

        @Override
        public long idleSince() {
            return idleSince;
        }

        @Override
        public boolean hasSentRequest() {
            return sentRequest;
        }

        @Override
        public boolean confirmIdle() {
            return idleSince < NEVER_IDLE;
        }

        @Override
        public void close() {
            events.add(name + " is closed");
        }
    }

    /** Returns the events of the last session, when the limit has room only for the sessions before it. */
    private List<String> eventsOfLastSession(StubSession... sessions) throws Exception {
        Clock clock = new Clock();
        Limits limits = TestLimits.allOf(1 << 16, 1 << 16);
        EventLoop loop = new EventLoop("test", limits.routing().stackBytes(), clock);
        loop.start();
        Listener listener = new Listener(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                sessions.length - 1, limits, loop, EventSink.NONE);
        List<StubSession> remaining = new ArrayList<>(List.of(sessions));
        listener.start(channel -> remaining.remove(0));
        List<String> observed = new ArrayList<>();
        for (StubSession session : sessions) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
            observed.clear();
            while (observed.stream().noneMatch(event -> event.startsWith(session.name))) {
                observed.add(String.valueOf(events.poll(10, TimeUnit.SECONDS)));
            }
            socket.close();
        }
        listener.close();
        loop.close();
        return observed;
    }

    @Test
    void evictsConnectionWithoutRequestsBeforeIdleOnes() throws Exception {
        assertEquals(List.of("unused is closed", "new starts"), eventsOfLastSession(
                new StubSession("idle", LONG_AGO_MICROS, true), new StubSession("unused", LONG_AGO_MICROS + 1, false),
                new StubSession("busy", NEVER_IDLE, true), new StubSession("new", NEVER_IDLE, false)));
    }

    @Test
    void evictsLongestIdleConnection() throws Exception {
        assertEquals(List.of("idle is closed", "new starts"), eventsOfLastSession(
                new StubSession("later", LONG_AGO_MICROS + 1, true), new StubSession("idle", LONG_AGO_MICROS, true),
                new StubSession("new", NEVER_IDLE, false)));
    }

    @Test
    void rejectsConnectionThatFailsToStart() throws Exception {
        // Guards against a connection left open and unread after this error, so that its requests are never answered.
        StubSession failing = new StubSession("failing", NEVER_IDLE, false) {
            @Override
            public void start(long arrivedSince, Runnable onClosed) {
                throw new OutOfMemoryError("unable to create native thread");
            }
        };
        assertEquals(List.of("failing is rejected"),
                eventsOfLastSession(new StubSession("busy", NEVER_IDLE, true), failing, failing));
    }

    @Test
    void keepsConnectionsThatAreBusyOrNew() throws Exception {
        // A new client may have a request on its way, so its connection must not be evicted.
        assertEquals(List.of("new is rejected"), eventsOfLastSession(new StubSession("busy", NEVER_IDLE, true),
                new StubSession("recent", NEVER_IDLE - 1, false), new StubSession("new", NEVER_IDLE, false)));
    }
}
