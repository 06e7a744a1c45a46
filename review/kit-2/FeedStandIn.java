import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A control feed: numbered events for each subscriber, and a line with the last number every second. */
final class FeedStandIn {
    private final Case owner;
    private final ServerSocket server;
    private final List<String> events = new ArrayList<>();
    /** How long after a subscription the feed begins to answer it. */
    volatile long firstLineDelayMillis;

    FeedStandIn(Case owner) throws IOException {
        this.owner = owner;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        owner.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                owner.daemon(() -> serve(socket));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    /** A host entry of an event. */
    static String host(String id, int port, String health) {
        return "{\"host\":\"" + id + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"dc1\",\"class\":\"std16\",\"block\":0,"
                + "\"health\":\"" + health + "\",\"share\":4,\"born_ms\":0}";
    }

    /** The events told so far, in the form of the configuration. */
    synchronized String known() {
        return "{\"n\":" + events.size() + ",\"events\":[" + String.join(",", events) + "]}";
    }

    synchronized void tell(boolean whole, String... hosts) {
        int number = events.size() + 1;
        events.add("{\"n\":" + number + ",\"members\":{\"seq\":" + number + ",\"whole\":" + whole + ",\"hosts\":["
                + String.join(",", hosts) + "]}}");
        owner.note("feed event " + events.get(number - 1));
        notifyAll();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            String subscription = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
            if (subscription == null || !subscription.startsWith("SUB ")) {
                return;
            }
            owner.note("feed subscription: " + subscription);
            int sent = Integer.parseInt(subscription.substring(4));
            OutputStream out = socket.getOutputStream();
            Thread.sleep(firstLineDelayMillis);
            long heartbeatAt = System.nanoTime();
            while (true) {
                String lines = "";
                synchronized (this) {
                    while (sent < events.size()) {
                        lines += events.get(sent) + "\n";
                        sent++;
                    }
                    if (lines.isEmpty() && System.nanoTime() >= heartbeatAt) {
                        lines = events.size() + "\n";
                        heartbeatAt += 1_000_000_000L;
                    }
                    if (lines.isEmpty()) {
                        wait(Math.max(1, (heartbeatAt - System.nanoTime()) / 1_000_000));
                    }
                }
                out.write(lines.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // The subscriber has left.
        }
    }
}
