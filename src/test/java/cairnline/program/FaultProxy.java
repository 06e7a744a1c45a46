package cairnline.program;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy on a loopback port between workload managers and an engine that injects connection faults. */
final class FaultProxy implements AutoCloseable {
    /** The injected fault. A change applies to open connections too, from the next bytes on. */
    enum Fault {
        /** Forwards all bytes unchanged. */
        NONE,
        /** Refuses new connections; open ones are forwarded unchanged. */
        REFUSE,
        /** Forwards bytes in small fragments. */
        FRAGMENT,
        /** Reads bytes and discards them. */
        DISCARD,
        /** Resets a connection on the next bytes. */
        RESET,
        /** Forwards the first half of the next bytes from the engine and then resets the connection. */
        TRUNCATE
    }

    private static final int FRAGMENT_BYTES = 7;

    private final int port;
    private final int enginePort;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Fault fault = Fault.NONE;
    private ServerSocket server;

    FaultProxy(int enginePort) throws IOException {
        this.enginePort = enginePort;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        acceptConnections(server);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized void setFault(Fault newFault) throws IOException {
        if (newFault == Fault.REFUSE) {
            server.close();
        } else if (server.isClosed()) {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress("127.0.0.1", port), 50);
            acceptConnections(server);
        }
        fault = newFault;
    }

    /** Resets all connections, as the crash of the engine process would. */
    void resetAll() {
        sockets.forEach(FaultProxy::reset);
        sockets.clear();
    }

    private void acceptConnections(ServerSocket listening) {
        DaemonThreads.start("fault proxy", () -> {
            while (true) {
                Socket managerSocket = listening.accept();
                sockets.add(managerSocket);
                DaemonThreads.start("fault proxy", () -> serve(managerSocket));
            }
        });
    }

    private void serve(Socket managerSocket) throws IOException {
        Socket engineSocket = new Socket(InetAddress.getByName("127.0.0.1"), enginePort);
        sockets.add(engineSocket);
        managerSocket.setTcpNoDelay(true);
        engineSocket.setTcpNoDelay(true);
        DaemonThreads.start("fault proxy", () -> forward(managerSocket, engineSocket, false));
        forward(engineSocket, managerSocket, true);
    }

    private void forward(Socket from, Socket to, boolean fromEngine) throws IOException {
        byte[] bytes = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                writeWithFault(to, bytes, count, fromEngine);
            }
        } finally {
            reset(from);
            reset(to);
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    private void writeWithFault(Socket to, byte[] bytes, int count, boolean fromEngine) throws IOException {
        OutputStream out = to.getOutputStream();
        switch (fault) {
            case DISCARD -> { }
            case RESET -> throw new IOException("connection reset by the injected fault");
            case TRUNCATE -> {
                out.write(bytes, 0, fromEngine ? count / 2 : count);
                if (fromEngine) {
                    throw new IOException("connection reset by the injected fault");
                }
            }
            case FRAGMENT -> {
                for (int offset = 0; offset < count; offset += FRAGMENT_BYTES) {
                    out.write(bytes, offset, Math.min(FRAGMENT_BYTES, count - offset));
                }
            }
            default -> out.write(bytes, 0, count);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is closed already.
        }
    }

    @Override
    public synchronized void close() throws IOException {
        server.close();
        resetAll();
    }
}
