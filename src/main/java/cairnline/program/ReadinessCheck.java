package cairnline.program;

import cairnline.protocol.ClientFrames;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** Polls a workload manager for readiness with the platform's readiness request. */
final class ReadinessCheck {
    private static final int POLL_INTERVAL_MILLIS = 10;
    private static final int FRAME_HEADER_BYTES = 9;

    private ReadinessCheck() { }

    /** Returns once the manager is ready; throws IOException after the timeout. */
    static void await(int port, long timeoutSeconds) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        while (!isReady(port)) {
            if (System.nanoTime() > deadline) {
                throw new IOException("the workload manager at port " + port + " is not ready after " + timeoutSeconds + " s");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static boolean isReady(int port) {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.getOutputStream().write(ClientFrames.frame(ClientFrames.READINESS_REQUEST, 1, new byte[] {0}));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.skipNBytes(FRAME_HEADER_BYTES);
            return in.read() == ClientFrames.CODE_SERVED;
        } catch (IOException e) {
            return false;
        }
    }
}
