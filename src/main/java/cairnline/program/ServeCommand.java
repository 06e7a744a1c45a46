package cairnline.program;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Runs the workload manager; the environment variable ROUTER_CONFIG names the platform's configuration. */
@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Serves until SIGTERM; ROUTER_CONFIG names the platform's configuration.")
final class ServeCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", paramLabel = "FILE",
            description = "settings of the optional features: stored engine list, logs, OData front")
    private Path settingsFile;

    @Parameters(index = "0", arity = "0..1", paramLabel = "ODATA-FILE",
            description = "a settings file that must enable the OData front")
    private Path odataFile;

    @Override
    public Integer call() throws Exception {
        ReloadSignal reloadSignal = ReloadSignal.install();
        if (settingsFile != null && odataFile != null) {
            throw new ParameterException(spec.commandLine(), "--settings and ODATA-FILE are mutually exclusive");
        }
        Configuration configuration = Configuration.read(System.getenv());
        Path file = settingsFile != null ? settingsFile : odataFile;
        new Server(configuration, ServeSettings.read(file, odataFile != null, configuration)).run(reloadSignal);
        return 0;
    }
}
