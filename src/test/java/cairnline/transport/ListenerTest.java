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

/** Who goes where there is no room for one more. */
class ListenerTest {
    private static final long LONG_AGO = 1;
    private static final long BUSY = Long.MAX_VALUE;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private class Stub implements Listener.Session {
        private final String name;
        private final long idleSince;
        private final boolean asked;

        Stub(String name, long idleSince, boolean asked) {
            this.name = name;
            this.idleSince = idleSince;
            this.asked = asked;
        }

        @Override
        public void start(long since, Runnable ended) {
            events.add(name + " starts");
        }

        @Override
        public void stopping() { }

        @Override
        public void drain() { }

        @Override
        public void tooMany() {
            events.add(name + " is turned away");
        }

        @Override
        public long idleSince() {
            return idleSince;
        }

        @Override
        public boolean hasAsked() {
            return asked;
        }

        @Override
        public boolean retire() {
            return idleSince < BUSY;
        }

        @Override
        public void close() {
            events.add(name + " is closed");
        }
    }

    /** What happens when the last of these comes and there is room for the others alone. */
    private List<String> last(Stub... stubs) throws Exception {
        Clock clock = new Clock();
        Limits limits = TestLimits.allOf(1 << 16, 1 << 16);
        EventLoop loop = new EventLoop("test", limits.routing().stackBytes(), clock);
        loop.start();
        Listener listener = new Listener(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                stubs.length - 1, limits, loop, EventSink.NONE);
        List<Stub> next = new ArrayList<>(List.of(stubs));
        listener.start(channel -> next.remove(0));
        List<String> seen = new ArrayList<>();
        for (Stub stub : stubs) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port());
            seen.clear();
            while (seen.stream().noneMatch(event -> event.startsWith(stub.name))) {
                seen.add(String.valueOf(events.poll(10, TimeUnit.SECONDS)));
            }
            socket.close();
        }
        listener.close();
        loop.close();
        return seen;
    }

    @Test
    void theOneThatHasAskedNothingGivesWay() throws Exception {
        assertEquals(List.of("silent is closed", "new starts"), last(new Stub("idle", LONG_AGO, true),
                new Stub("silent", LONG_AGO + 1, false), new Stub("busy", BUSY, true), new Stub("new", BUSY, false)));
    }

    @Test
    void elseTheOneThatIsIdleLongest() throws Exception {
        assertEquals(List.of("idle is closed", "new starts"), last(new Stub("later", LONG_AGO + 1, true),
                new Stub("idle", LONG_AGO, true), new Stub("new", BUSY, false)));
    }

    @Test
    void oneForWhichThereIsNoThreadIsTurnedAway() throws Exception {
        // It stayed open and unread: its requests were never answered.
        Stub unlucky = new Stub("unlucky", BUSY, false) {
            @Override
            public void start(long since, Runnable ended) {
                throw new OutOfMemoryError("unable to create native thread");
            }
        };
        assertEquals(List.of("unlucky is turned away"), last(new Stub("busy", BUSY, true), unlucky, unlucky));
    }

    @Test
    void noneGoesThatWaitsOrHasJustCome() throws Exception {
        // One that has just come may have a request on its way.
        assertEquals(List.of("new is turned away"), last(new Stub("busy", BUSY, true),
                new Stub("fresh", BUSY - 1, false), new Stub("new", BUSY, false)));
    }
}
