package cairnline.simhost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Entry point: {@code simhost} serves the simulator's wire on standard input and output. */
public final class Main {
    private static final int BUFFER = 1 << 16;

    private Main() { }

    /** Runs the adapter; exits with 2 on wrong usage and 1 on malformed input. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar cairnline.jar simhost");
            System.exit(2);
        }
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER);
        try {
            serve(in, System.out);
        } catch (WireException e) {
            System.err.println("cairnline: " + e.getMessage());
            System.exit(1);
        }
    }

    /** Answers batches until the input ends. */
    static void serve(BufferedReader in, OutputStream out) throws IOException {
        Host host = new Host();
        StringBuilder reply = new StringBuilder(BUFFER);
        while (host.batch(in, reply)) {
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            reply.setLength(0);
        }
    }
}
