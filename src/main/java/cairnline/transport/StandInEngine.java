package cairnline.transport;

import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import cairnline.protocol.ODataModel;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Limits;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A stand-in for an OData engine: the same fixed answer to every read and to every write. It models nothing. */
public final class StandInEngine {
    private static final byte[] ROWS = ("{\"@odata.context\":\"$metadata#Books\",\"value\":["
            + "{\"ID\":1,\"Title\":\"Fixed answer\"}]}").getBytes(StandardCharsets.UTF_8);

    private final Listener listener;
    private final Limits limits;

    /** A stand-in at this listener. */
    public StandInEngine(Listener listener, Limits limits) {
        this.listener = listener;
        this.limits = limits;
    }

    /** Starts to answer. */
    public void start() {
        listener.start(Session::new);
    }

    private final class Session implements Listener.Session, Peer.Handler {
        private final Peer peer;
        private final HttpDecoder requests = new HttpDecoder(limits.http().headBytes(), limits.http().bodyBytes());
        private Runnable whenEnded = () -> { };

        Session(SocketChannel channel) {
            peer = Peer.accepted(listener.loop(), channel, limits, this);
        }

        @Override
        public void start(long since, Runnable ended) throws IOException {
            whenEnded = ended;
            peer.start(since);
        }

        @Override
        public void stopping() {
            peer.finish();
        }

        @Override
        public void drain() {
            peer.finish();
        }

        @Override
        public void tooMany() {
            peer.close();
        }

        @Override
        public void close() {
            peer.close();
        }

        @Override
        public void read(byte[] bytes, int count, long now) {
            try {
                requests.feed(bytes, count);
                for (HttpMessage m = requests.next(); m != null; m = requests.next()) {
                    HttpMessage answer = m.method().equals("GET")
                            ? HttpMessage.response(200, ODataModel.JSON, ROWS)
                            : HttpMessage.response(204, Map.of(), new byte[0]);
                    peer.send(answer.encode());
                }
            } catch (ProtocolException e) {
                peer.close();
            }
        }

        @Override
        public long due(long lastRead) {
            return lastRead + limits.engines().idle();
        }

        @Override
        public boolean quiet(long now) {
            return false;
        }

        @Override
        public void ended(boolean wasUp) {
            whenEnded.run();
        }
    }
}
