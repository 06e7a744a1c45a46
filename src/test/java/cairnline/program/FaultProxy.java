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

/** A proxy on a loopback port between a workload manager and an engine, which spoils connections as it is told. */
final class FaultProxy implements AutoCloseable {
    /** What is done to connections; a change counts for the bytes that come after it. */
    enum Fault {
        /** All is passed on. */
        NONE,
        /** New connections are refused. */
        REFUSED,
        /** Bytes are passed on in small pieces. */
        PIECES,
        /** Bytes are taken and not passed on. */
        SILENT,
        /** The next bytes reset their connection. */
        RESET,
        /** Half of the engine's next bytes are passed on, and then the connection is reset. */
        HALF
    }

    private static final int PIECE = 7;

    private final int port;
    private final int target;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Fault fault = Fault.NONE;
    private ServerSocket server;

    FaultProxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        accept(server);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized void set(Fault next) throws IOException {
        if (next == Fault.REFUSED) {
            server.close();
        } else if (server.isClosed()) {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress("127.0.0.1", port), 50);
            accept(server);
        }
        fault = next;
    }

    /** Ends all connections as a process that dies does. */
    void resetAll() {
        sockets.forEach(FaultProxy::reset);
        sockets.clear();
    }

    private void accept(ServerSocket from) {
        DaemonThreads.start("fault proxy", () -> {
            while (true) {
                Socket near = from.accept();
                sockets.add(near);
                DaemonThreads.start("fault proxy", () -> serve(near));
            }
        });
    }

    private void serve(Socket near) throws IOException {
        Socket far = new Socket(InetAddress.getByName("127.0.0.1"), target);
        sockets.add(far);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        DaemonThreads.start("fault proxy", () -> pass(near, far, false));
        pass(far, near, true);
    }

    private void pass(Socket from, Socket to, boolean fromEngine) throws IOException {
        byte[] bytes = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                write(to, bytes, count, fromEngine);
            }
        } finally {
            reset(from);
            reset(to);
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    private void write(Socket to, byte[] bytes, int count, boolean fromEngine) throws IOException {
        OutputStream out = to.getOutputStream();
        switch (fault) {
            case SILENT -> { }
            case RESET -> throw new IOException("to be reset");
            case HALF -> {
                out.write(bytes, 0, fromEngine ? count / 2 : count);
                if (fromEngine) {
                    throw new IOException("to be reset");
                }
            }
            case PIECES -> {
                for (int at = 0; at < count; at += PIECE) {
                    out.write(bytes, at, Math.min(PIECE, count - at));
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
            // It has ended already.
        }
    }

    @Override
    public synchronized void close() throws IOException {
        server.close();
        resetAll();
    }
}
