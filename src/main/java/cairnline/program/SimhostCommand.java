package cairnline.program;

import cairnline.simhost.SimHost;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs the decision module behind the simulator's protocol instead of sockets. */
@Command(name = "simhost", mixinStandardHelpOptions = true,
        description = "Makes the same decisions for the simulator, over its protocol on standard input and output.")
final class SimhostCommand implements Callable<Integer> {
    private static final int BUFFER_CHARS = 1 << 16;

    @Override
    public Integer call() throws Exception {
        SimHost.serve(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_CHARS), System.out);
        return 0;
    }
}
