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

/**
 * A stand-in control feed on a loopback port. It can be taken offline and put online again at the same port. Thread-safe.
 */
public final class StandInFeed implements AutoCloseable {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;
    private static final int THREAD_STACK_BYTES = 256 * 1024;

    private final List<String> events = new ArrayList<>();
    private final List<Socket> subscribers = new ArrayList<>();
    private final List<String> subscriptions = new ArrayList<>();
    private final int port;
    private volatile ServerSocket server;
    private volatile Thread acceptor;
    private volatile long answerDelayMillis;

    /** An engine in an event; {@code startedAtMillis} is its start in milliseconds since the epoch, 0 if unknown. */
    public record EngineEntry(String id, String address, String health, long startedAtMillis) {
        /** Returns the entry in the feed's JSON form. */
        public String json() {
            return "{\"host\":\"" + id + "\",\"dial\":\"" + address + "\",\"site\":\"dc1\",\"class\":\"std16\","
                    + "\"block\":0,\"health\":\"" + health + "\",\"share\":4,\"born_ms\":" + startedAtMillis + "}";
        }
    }

    /** Creates a feed that is online and has no events. */
    public StandInFeed() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        acceptSubscribers(server);
    }

    /** Returns its address as {@code host:port}, which is the same while it is offline. */
    public String address() {
        return "127.0.0.1:" + port;
    }

    /** Returns the subscription lines received, in order; each names the last event that the subscriber has. */
    public synchronized List<String> subscriptions() {
        return List.copyOf(subscriptions);
    }

    /** Lets later subscriptions wait for this long, in milliseconds, until the feed begins to answer them. */
    public void delayAnswers(long millis) {
        answerDelayMillis = millis;
    }

    /** Publishes an event, at once to connected subscribers; the first event must be complete, i.e. list all engines. */
    public synchronized void publish(boolean complete, List<EngineEntry> engines) {
        int number = events.size() + 1;
        events.add("{\"n\":" + number + ",\"members\":{\"seq\":" + number + ",\"whole\":" + complete + ",\"hosts\":["
                + String.join(",", engines.stream().map(EngineEntry::json).toList()) + "]}}");
        notifyAll();
    }

    /** Disconnects all subscribers and refuses connections; events published meanwhile are delivered once online again. */
    public void goOffline() throws IOException {
        server.close();
        awaitEnd(acceptor);
        synchronized (this) {
            for (Socket subscriber : subscribers) {
                subscriber.close();
            }
            subscribers.clear();
        }
    }

    /** Waits for the end of a thread that is blocked on a socket: only then does the system release the socket's port. */
    private static void awaitEnd(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Forgets all events, while offline, as another feed at the same address whose numbers begin again. */
    public synchronized void forgetEvents() {
        events.clear();
    }

    /** Accepts connections again, at the same port. */
    public synchronized void goOnline() throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        acceptSubscribers(server);
    }

    private void acceptSubscribers(ServerSocket listening) {
        acceptor = startDaemon(() -> {
            while (true) {
                Socket subscriber = listening.accept();
                synchronized (this) {
                    subscribers.add(subscriber);
                }
                startDaemon(() -> serve(subscriber));
            }
        });
    }

    private void serve(Socket subscriber) throws IOException {
        String line = new BufferedReader(new InputStreamReader(subscriber.getInputStream(), StandardCharsets.US_ASCII))
                .readLine();
        if (line == null || !line.startsWith("SUB ")) {
            subscriber.close();
            return;
        }
        int lastSent = Integer.parseInt(line.substring("SUB ".length()).strip());
        synchronized (this) {
            subscriptions.add(line);
        }
        sleep(answerDelayMillis);
        synchronized (this) {
            while (!subscriber.isClosed()) {
                StringBuilder lines = new StringBuilder();
                for (; lastSent < events.size(); lastSent++) {
                    lines.append(events.get(lastSent)).append('\n');
                }
                lines.append(events.size()).append('\n');
                subscriber.getOutputStream().write(lines.toString().getBytes(StandardCharsets.UTF_8));
                try {
                    wait(HEARTBEAT_INTERVAL_MILLIS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    private static Thread startDaemon(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // Closed by the other side, or by goOffline() or close().
            }
        }, "stand-in feed", THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() throws IOException {
        goOffline();
    }
}
