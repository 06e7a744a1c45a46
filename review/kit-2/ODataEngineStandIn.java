import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** An OData engine on a free loopback port. Each request is passed to a handler, on the thread of its connection. */
final class ODataEngineStandIn {
    interface Handler {
        /** Handles one request and writes its answer. */
        void handle(Http.Message request, Socket socket) throws Exception;
    }

    private final ServerSocket server;

    ODataEngineStandIn(Case owner, Handler handler) throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        owner.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                owner.daemon(() -> {
                    try (socket) {
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        while (true) {
                            handler.handle(Http.read(in), socket);
                        }
                    } catch (IOException e) {
                        // The workload manager has closed the connection.
                    }
                });
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    /** An OData file with this listening port, these engines, and the entity sets Books and Shops, of two schemas. */
    static String file(int listen, int... enginePorts) {
        StringBuilder engines = new StringBuilder();
        for (int i = 0; i < enginePorts.length; i++) {
            engines.append(i == 0 ? "" : ",").append("{\"id\":\"odata-").append(i + 1).append("\",\"address\":\"127.0.0.1:")
                    .append(enginePorts[i]).append("\"}");
        }
        return "{\"listen\":\"127.0.0.1:" + listen + "\",\"engines\":[" + engines + "],\"sets\":{\"Books\":{\"read\":\"lookup\","
                + "\"aggregate\":\"report\",\"write\":\"load\",\"key\":\"ID\",\"keyType\":\"Edm.Int64\",\"tables\":17},\"Shops\":{\"read\":\"lookup\","
                + "\"write\":\"load\",\"key\":\"ID\",\"keyType\":\"Edm.Int64\",\"tables\":18}}}";
    }
}
