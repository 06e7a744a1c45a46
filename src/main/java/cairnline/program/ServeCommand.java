package cairnline.program;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The workload manager; the environment names the platform's configuration. */
@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Serves until SIGTERM; ROUTER_CONFIG names the platform's configuration.")
final class ServeCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", paramLabel = "FILE",
            description = "what is on beside the platform's protocol: the kept list, logs, OData")
    private Path settings;

    @Parameters(index = "0", arity = "0..1", paramLabel = "ODATA-FILE",
            description = "the same, for a file that turns the OData front on")
    private Path odata;

    @Override
    public Integer call() throws Exception {
        ReloadSignal reloadSignal = ReloadSignal.install();
        if (settings != null && odata != null) {
            throw new ParameterException(spec.commandLine(), "--settings and ODATA-FILE are one file, given once");
        }
        Configuration configuration = Configuration.read(System.getenv());
        Path file = settings != null ? settings : odata;
        new Server(configuration, ServeSettings.read(file, odata != null, configuration)).run(reloadSignal);
        return 0;
    }
}
