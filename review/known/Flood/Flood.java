import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** A few bad clients send requests at full speed, hundreds at once, and read whatever they are sent. */
public final class Flood {
    private static final int BAD_CLIENTS = 16;
    private static final int REQUESTS_AT_ONCE = 300;
    /** Where a frame holds its stream, and the digits of a request's id. */
    private static final int STREAM_START = 5;
    private static final int ID_DIGITS = 16;
    private static final int BAD_MILLIS = 12_000;
    private static final int USUAL_CLIENTS = 4;
    private static final int USUAL_MILLIS = 11_000;
    private static final long USUAL_PAUSE_MILLIS = 200;
    private static final long TTL = 2_500;

    public static void main(String[] args) {
        Lab.main(Flood::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Feed feed = lab.closing(new Lab.Feed());
        List<Lab.Engine> engines = new ArrayList<>();
        String[] hosts = new String[4];
        for (int i = 0; i < hosts.length; i++) {
            engines.add(lab.new Engine("e" + i, (query, body) -> 20));
            hosts[i] = engines.get(i).host("in_service");
        }
        feed.tell(true, hosts);
        Lab.Manager manager = lab.new Manager("n1", lab.configuration(feed), "");
        manager.start();

        AtomicLong written = new AtomicLong();
        long badUntil = lab.millis() + 1_000 + BAD_MILLIS;
        for (int i = 0; lab.trouble && i < BAD_CLIENTS; i++) {
            int number = i + 1;
            Lab.start(() -> {
                Thread.sleep(1_000);
                badClient(lab, manager.port, badUntil, number, written);
            });
        }
        long until = lab.millis() + USUAL_MILLIS;
        List<Lab.Sent> usual = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            Lab.Client client = lab.new Client("usual " + i, manager.port);
            threads.add(Lab.start(() -> {
                for (int stream = 1; lab.millis() < until && client.endedAt == 0; stream++) {
                    usual.add(client.send(stream, TTL, "lookup", "select a, b, c from sales_" + stream % 20 + ".books"));
                    Thread.sleep(USUAL_PAUSE_MILLIS);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int lost = 0;
        int served = 0;
        for (Lab.Sent request : usual) {
            boolean answered = request.await() && request.answers == 1 && request.answeredAt <= request.writtenAt + TTL + Lab.GRACE_MILLIS;
            lost += answered ? 0 : 1;
            served += request.code == 1 ? 1 : 0;
            lab.note("request " + request.call + " on stream " + request.stream + " at " + request.writtenAt + " ms: "
                    + request.outcome() + (request.answers > 0 ? " after " + (request.answeredAt - request.writtenAt) + " ms" : ""));
        }
        lab.note("requests of the bad clients written: " + written.get());
        lab.note("usual requests: " + usual.size() + ", served " + served + ", with no answer half a second after their time "
                + lost + "; the workload manager " + (manager.isAlive() ? "runs" : "has ended"));
        return lost > 0 || !manager.isAlive() ? Lab.BROKEN : Lab.HELD;
    }

    /** Sends blocks of requests, each on a new stream and with a new id, without waiting for answers. */
    private static void badClient(Lab lab, int port, long until, int number, AtomicLong written) throws Exception {
        Lab.Client encoder = lab.new Client("encoder", port);
        byte[] request = encoder.encode(encoder.prepare(1, TTL), "lookup", "select a, b, c from sales_1.books");
        if (request.length % 2 == 0) {
            request = encoder.encode(encoder.prepare(1, TTL), "lookup", "select a, b, c from sales_1.books ");
        }
        encoder.close();
        int idStart = new String(request, StandardCharsets.ISO_8859_1).indexOf("call") + "call".length() + 2;
        ByteBuffer block = ByteBuffer.allocate(request.length * REQUESTS_AT_ONCE);
        long id = (long) number << 40;
        while (lab.millis() < until) {
            try (Socket socket = new Socket(Lab.LOOPBACK, port)) {
                socket.setTcpNoDelay(true);
                Lab.start(() -> socket.getInputStream().transferTo(OutputStream.nullOutputStream()));
                int stream = 0;
                while (lab.millis() < until) {
                    block.clear();
                    for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                        int start = block.position();
                        block.put(request).putInt(start + STREAM_START, ++stream);
                        id++;
                        for (int digit = 0; digit < ID_DIGITS; digit++) {
                            block.put(start + idStart + digit, (byte) Character.forDigit(
                                    (int) (id >> 4 * (ID_DIGITS - 1 - digit)) & 15, 16));
                        }
                    }
                    socket.getOutputStream().write(block.array());
                    written.addAndGet(REQUESTS_AT_ONCE);
                }
            } catch (IOException e) {
                lab.note("bad client: " + e.getMessage());
                Thread.sleep(100);
            }
        }
    }
}
