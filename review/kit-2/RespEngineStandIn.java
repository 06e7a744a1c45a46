import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** An engine of the platform's protocol on a free loopback port, which answers probes and passes requests to a handler. */
final class RespEngineStandIn {
    /** A request, with the time at which its first byte was there. */
    record Query(String id, String fields, String statement, double atSeconds, Connection connection) { }

    interface Handler {
        void handle(Query query) throws Exception;
    }

    final String name;
    private final ServerSocket server;
    private final Case owner;
    private final Handler handler;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    RespEngineStandIn(Case owner, String name, Handler handler) throws IOException {
        this.owner = owner;
        this.name = name;
        this.handler = handler;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        owner.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                owner.daemon(() -> new Connection(socket).serve());
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    /** Runs a task later, as the end of a query's work. */
    void later(long millis, Case.Task task) {
        timer.schedule(() -> {
            try {
                task.run();
            } catch (Exception e) {
                owner.note(name + ": " + e);
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    final class Connection {
        final Socket socket;

        private Connection(Socket socket) {
            this.socket = socket;
        }

        private void serve() throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    String count = line(in);
                    double at = owner.seconds();
                    String[] parts = new String[Integer.parseInt(count.substring(1))];
                    for (int i = 0; i < parts.length; i++) {
                        int size = Integer.parseInt(line(in).substring(1));
                        parts[i] = new String(in.readNBytes(size), StandardCharsets.UTF_8);
                        in.readNBytes(2);
                    }
                    switch (parts[0]) {
                        case "do" -> handler.handle(new Query(parts[1], parts[2], parts[3], at, this));
                        case "ping", "top" -> write(parts[1], "READY", "report=inflight:1;util:0.20;x0:0.1;x1:0.1", "");
                        default -> owner.note(name + " got " + String.join(" ", parts));
                    }
                }
            } catch (IOException e) {
                // The workload manager has closed the connection.
            }
        }

        void write(String... parts) throws IOException {
            byte[] bytes = encode(parts);
            synchronized (this) {
                socket.getOutputStream().write(bytes);
            }
        }
    }

    static byte[] encode(String... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + parts.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (String part : parts) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            out.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(bytes);
            out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        return out.toByteArray();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
