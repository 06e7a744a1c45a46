package cairnline.program;

import cairnline.protocol.ClientFrames;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** Asks a workload manager whether it is ready, as the platform's front does. */
final class ReadinessCheck {
    private static final int PAUSE_MS = 10;
    private static final int HEAD = 9;

    private ReadinessCheck() { }

    /** Returns once it is; fails if it is not by then. */
    static void await(int port, long seconds) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!is(port)) {
            if (System.nanoTime() > end) {
                throw new IOException("the workload manager at port " + port + " is not ready after " + seconds + " s");
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
    }

    private static boolean is(int port) {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.getOutputStream().write(ClientFrames.frame(ClientFrames.READY_QUESTION, 1, new byte[] {0}));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.skipNBytes(HEAD);
            return in.read() == ClientFrames.CODE_SERVED;
        } catch (IOException e) {
            return false;
        }
    }
}
