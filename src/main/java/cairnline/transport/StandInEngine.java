package cairnline.transport;

import cairnline.pools.MemoryBudget;
import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Limits;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A stand-in for an OData engine, which gives one fixed answer to every read, and another to every write. It models neither
 * load nor latency.
 */
public final class StandInEngine {
    private static final byte[] FIXED_ANSWER = ("{\"@odata.context\":\"$metadata#Books\",\"value\":["
            + "{\"ID\":1,\"Title\":\"Fixed answer\"}]}").getBytes(StandardCharsets.UTF_8);

    private final Listener listener;
    private final Limits limits;
    private final MemoryBudget unsent;

    /** Creates a stand-in at this listener, not yet started. */
    public StandInEngine(Listener listener, Limits limits) {
        this.listener = listener;
        this.limits = limits;
        this.unsent = new MemoryBudget(limits.clients().unsentBytes());
    }

    /** Starts to accept connections. */
    public void start() {
        listener.start(Session::new);
    }

    private final class Session implements Listener.Session, TcpConnection.Handler {
        private final TcpConnection connection;
        private final HttpDecoder decoder = new HttpDecoder(limits.http().headBytes(), limits.http().bodyBytes());
        private Runnable closeListener = () -> { };

        Session(SocketChannel channel) {
            connection = TcpConnection.forAcceptedChannel(listener.loop(), channel, limits, unsent, this);
        }

        @Override
        public void start(long arrivedSince, Runnable onClosed) throws IOException {
            closeListener = onClosed;
            connection.start(arrivedSince);
        }

        @Override
        public void announceShutdown() {
            connection.finishOutput();
        }

        @Override
        public void drain() {
            connection.finishOutput();
        }

        @Override
        public void reject() {
            connection.close();
        }

        @Override
        public void close() {
            connection.close();
        }

        @Override
        public void onRead(byte[] bytes, int count, long receivedAt) {
            try {
                decoder.feed(bytes, count);
                for (HttpMessage request = decoder.next(); request != null; request = decoder.next()) {
                    HttpMessage answer = request.method().equals("GET")
                            ? HttpMessage.response(200, ODataModel.JSON_CONTENT_TYPE, FIXED_ANSWER)
                            : HttpMessage.response(204, Map.of(), new byte[0]);
                    connection.send(answer.encode());
                }
            } catch (ProtocolException e) {
                connection.close();
            }
        }

        @Override
        public long timeoutAt(long lastReadAt) {
            return lastReadAt + limits.engines().idleTimeout();
        }

        @Override
        public boolean onTimeout(long now) {
            return false;
        }

        @Override
        public void onClosed(boolean wasConnected) {
            closeListener.run();
        }
    }
}
