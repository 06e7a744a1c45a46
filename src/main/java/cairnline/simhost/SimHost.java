package cairnline.simhost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Serves the decision module to the simulator over its line protocol. */
public final class SimHost {
    private static final int REPLY_BUFFER_CHARS = 1 << 16;

    private SimHost() { }

    /** Answers each batch of events with one reply, until the input ends. */
    public static void serve(BufferedReader in, OutputStream out) throws IOException {
        BatchProcessor processor = new BatchProcessor();
        StringBuilder reply = new StringBuilder(REPLY_BUFFER_CHARS);
        while (processor.processBatch(in, reply)) {
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            reply.setLength(0);
        }
    }
}
