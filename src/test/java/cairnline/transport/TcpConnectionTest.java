package cairnline.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.routing.Clock;
import cairnline.routing.Limits;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A connection on an event loop against a plain socket. */
class TcpConnectionTest {
    private static final long LIMIT_S = 10;
    private static final int MAILBOX = 64;
    private static final int LARGE = 8 << 20;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final Recorder handler = new Recorder();
    private ServerSocket server;
    private EventLoop loop;
    private TcpConnection peer;
    private Socket other;

    private final class Recorder implements TcpConnection.Handler {
        @Override
        public void read(byte[] bytes, int count, long now) {
            events.add("read " + count);
        }

        @Override
        public long due(long lastRead) {
            return Long.MAX_VALUE;
        }

        @Override
        public boolean quiet(long now) {
            return true;
        }

        @Override
        public void unreachable(IOException why) {
            events.add("unreachable " + UnreachableCause.of(why));
        }

        @Override
        public boolean inputEnded(long since) {
            events.add("input ended");
            return true;
        }

        @Override
        public void ended(boolean wasUp) {
            events.add("ended " + wasUp);
        }
    }

    @BeforeEach
    void connect() throws Exception {
        Limits limits = TestLimits.allOf(1 << 26, MAILBOX);
        server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        loop = new EventLoop("test", 1 << 18, new Clock());
        loop.start();
        peer = TcpConnection.connecting(loop, limits, handler);
        peer.connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()));
        other = server.accept();
        other.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_S));
    }

    @AfterEach
    void close() throws IOException {
        other.close();
        server.close();
        loop.close();
    }

    private String event() throws InterruptedException {
        return String.valueOf(events.poll(LIMIT_S, TimeUnit.SECONDS));
    }

    private byte[] read(int count) throws IOException {
        return other.getInputStream().readNBytes(count);
    }

    /** Waits until the loop has done all that was left before. */
    private void settle() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(done::countDown);
        assertTrue(done.await(LIMIT_S, TimeUnit.SECONDS));
    }

    @Test
    void lettersAreWrittenInOrderThoughOneLeavesAnother() throws Exception {
        peer.offer(now -> {
            peer.send(new byte[] {3});
            return new byte[] {1};
        });
        peer.send(new byte[] {2});
        assertArrayEquals(new byte[] {1, 2, 3}, read(3));
    }

    @Test
    void aBadLetterEndsNothing() throws Exception {
        CountDownLatch ready = new CountDownLatch(1);
        loop.execute(() -> {
            Thread.currentThread().setUncaughtExceptionHandler((thread, e) -> events.add("reported"));
            ready.countDown();
        });
        ready.await();
        peer.offer(now -> {
            throw new IllegalStateException();
        });
        peer.send(new byte[] {1});
        assertArrayEquals(new byte[] {1}, read(1));
        assertEquals("reported", event());
    }

    @Test
    void afterTheEndNoLetterIsTakenOrMade() throws Exception {
        peer.offer(now -> {
            peer.closeNow("test");
            return null;
        });
        peer.offer(now -> {
            events.add("made");
            return null;
        });
        assertEquals("ended true", event());
        settle();
        assertFalse(peer.offer(now -> null));
        assertTrue(events.isEmpty(), events::toString);
    }

    @Test
    void aPeerThatTakesNothingHoldsAFullMailboxAndIsNotRead() throws Exception {
        peer.send(new byte[LARGE]);
        int taken = 0;
        while (taken < 2 * MAILBOX && peer.ask(now -> new byte[1])) {
            taken++;
        }
        assertEquals(MAILBOX - 1, taken);
        for (int i = 0; i < MAILBOX; i++) {
            peer.send(new byte[1]);
        }
        settle();
        other.getOutputStream().write(7);
        settle();
        settle();
        assertTrue(events.isEmpty(), events::toString);
        assertEquals(LARGE + taken + MAILBOX, read(LARGE + taken + MAILBOX).length);
        assertEquals("read 1", event());
    }

    @Test
    void aLetterThatIsGivenUpHalfWrittenNeverArrivesWhole() throws Exception {
        AtomicBoolean wanted = new AtomicBoolean(true);
        peer.offer(new TcpConnection.OutboundMessage() {
            @Override
            public byte[] bytes(long now) {
                return new byte[LARGE];
            }

            @Override
            public boolean isWanted() {
                return wanted.get();
            }
        });
        read(1);
        wanted.set(false);
        int count = other.getInputStream().readAllBytes().length;
        assertTrue(count < LARGE - 1, () -> count + " bytes arrived");
        assertEquals("ended true", event());
    }

    @Test
    void whatIsLeftBeforeTheFinishIsWrittenAfterTheOtherSideSendsNoMore() throws Exception {
        other.shutdownOutput();
        assertEquals("input ended", event());
        peer.send(new byte[LARGE]);
        peer.finish();
        assertEquals(LARGE, read(LARGE).length);
        assertEquals(-1, other.getInputStream().read());
        assertEquals("ended true", event());
    }

    @Test
    void aPeerThatFloodsAfterTheLastWordIsLeft() throws Exception {
        Limits limits = TestLimits.withLinger(TestLimits.allOf(1 << 26, MAILBOX), 1_000, 1);
        TcpConnection finishing = TcpConnection.connecting(loop, limits, handler);
        finishing.connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()));
        try (Socket flood = server.accept()) {
            finishing.finish();
            assertEquals(-1, flood.getInputStream().read());
            byte[] block = new byte[1 << 16];
            assertThrows(IOException.class, () -> {
                while (true) {
                    flood.getOutputStream().write(block);
                }
            });
        }
        assertEquals("ended true", event());
    }

    @Test
    void aRefusedConnectionIsToldFromOneThatThisSystemCouldNotMake() throws Exception {
        int port = server.getLocalPort();
        server.close();
        TcpConnection refused = TcpConnection.connecting(loop, TestLimits.allOf(1 << 26, MAILBOX), handler);
        refused.connect(new InetSocketAddress("127.0.0.1", port));
        assertEquals("unreachable REFUSED", event());
        assertEquals("ended false", event());
        TcpConnection unresolved = TcpConnection.connecting(loop, TestLimits.allOf(1 << 26, MAILBOX), handler);
        unresolved.connect(InetSocketAddress.createUnresolved("unreadable", 0));
        assertEquals("unreachable LOCAL", event());
    }
}
