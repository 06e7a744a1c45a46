package cairnline.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A stand-in control feed on a loopback port. It can be hidden and shown again at the same port; ends with close. */
public final class StandInFeed implements AutoCloseable {
    private static final long HEARTBEAT_MS = 1_000;
    private static final int STACK = 256 * 1024;

    private final List<String> events = new ArrayList<>();
    private final List<Socket> followers = new ArrayList<>();
    private final List<String> asked = new ArrayList<>();
    private final int port;
    private ServerSocket server;

    /** One engine of an event. */
    public record EngineEntry(String id, String address, String health, long bornMs) {
        /** The host as an event words it. */
        public String json() {
            return "{\"host\":\"" + id + "\",\"dial\":\"" + address + "\",\"site\":\"dc1\",\"class\":\"std16\","
                    + "\"block\":0,\"health\":\"" + health + "\",\"share\":4,\"born_ms\":" + bornMs + "}";
        }
    }

    /** A feed without events that can be reached. */
    public StandInFeed() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        serve(server);
    }

    /** Where it listens, or would. */
    public String address() {
        return "127.0.0.1:" + port;
    }

    /** Numbers of the last event that followers said they had, in the order in which they came. */
    public synchronized List<String> subscriptions() {
        return List.copyOf(asked);
    }

    /** Tells of engines; the first event must be whole. Told at once to those that follow. */
    public synchronized void publish(boolean whole, List<EngineEntry> hosts) {
        int number = events.size() + 1;
        events.add("{\"n\":" + number + ",\"members\":{\"seq\":" + number + ",\"whole\":" + whole + ",\"hosts\":["
                + String.join(",", hosts.stream().map(EngineEntry::json).toList()) + "]}}");
        notifyAll();
    }

    /** From now on it can't be reached; what it is told meanwhile is told later. */
    public synchronized void goOffline() throws IOException {
        server.close();
        for (Socket follower : followers) {
            follower.close();
        }
        followers.clear();
    }

    /** It can be reached again. */
    public synchronized void goOnline() throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        serve(server);
    }

    private void serve(ServerSocket from) {
        daemon(() -> {
            while (true) {
                Socket follower = from.accept();
                synchronized (this) {
                    followers.add(follower);
                }
                daemon(() -> follow(follower));
            }
        });
    }

    private void follow(Socket follower) throws IOException {
        String line = new BufferedReader(new InputStreamReader(follower.getInputStream(), StandardCharsets.US_ASCII))
                .readLine();
        if (line == null || !line.startsWith("SUB ")) {
            follower.close();
            return;
        }
        int told = Integer.parseInt(line.substring("SUB ".length()).strip());
        synchronized (this) {
            asked.add(line);
            while (!follower.isClosed()) {
                StringBuilder news = new StringBuilder();
                for (; told < events.size(); told++) {
                    news.append(events.get(told)).append('\n');
                }
                news.append(events.size()).append('\n');
                follower.getOutputStream().write(news.toString().getBytes(StandardCharsets.UTF_8));
                try {
                    wait(HEARTBEAT_MS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other side, hide() or close() has ended it.
            }
        }, "stand-in feed", STACK);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public synchronized void close() throws IOException {
        goOffline();
    }
}
