package cairnline.program;

import cairnline.simhost.SimHost;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** The same decisions on the simulator's wire. */
@Command(name = "simhost", mixinStandardHelpOptions = true,
        description = "The same decisions on the simulator's wire, on standard input and output.")
final class SimhostCommand implements Callable<Integer> {
    private static final int BUFFER = 1 << 16;

    @Override
    public Integer call() throws Exception {
        SimHost.serve(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER), System.out);
        return 0;
    }
}
