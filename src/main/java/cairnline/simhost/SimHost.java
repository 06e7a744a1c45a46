package cairnline.simhost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Serves the simulator's wire: one reply for each batch until the input ends. */
public final class SimHost {
    private static final int BUFFER = 1 << 16;

    private SimHost() { }

    /** Answers batches until the input ends. */
    public static void serve(BufferedReader in, OutputStream out) throws IOException {
        BatchProcessor host = new BatchProcessor();
        StringBuilder reply = new StringBuilder(BUFFER);
        while (host.batch(in, reply)) {
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            reply.setLength(0);
        }
    }
}
