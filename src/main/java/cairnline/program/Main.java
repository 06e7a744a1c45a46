package cairnline.program;

import cairnline.settings.SettingsException;
import cairnline.simhost.WireException;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point. Exits with 0 on success, 1 on a failure, 2 on invalid usage, settings or configuration. */
@Command(name = "cairnline", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
        description = "Decides which query engine runs which query, and when.", synopsisSubcommandLabel = "COMMAND",
        subcommands = {ServeCommand.class, SimhostCommand.class, RehearseCommand.class, TryCommand.class,
            ListCommand.class, SettingsCommand.class})
public final class Main implements Runnable {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_INVALID_USAGE = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Returns the version from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"cairnline " + (version == null ? "(not from a jar)" : version)};
        }
    }

    /** Runs the command named by the arguments and exits with its code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /**
     * Runs a command and returns its exit code. {@code serve} and {@code simhost} without options bypass picocli: on half
     * a core it adds 0.3 s to a start that takes about as long without it.
     */
    static int run(String... args) {
        Callable<Integer> command = args.length != 1 ? null : args[0].equals("serve") ? new ServeCommand()
                : args[0].equals("simhost") ? new SimhostCommand() : null;
        if (command == null) {
            return parseAndRun(args);
        }
        try {
            return command.call();
        } catch (Exception e) {
            return reportAndGetExitCode(e);
        }
    }

    private static int parseAndRun(String[] args) {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler((e, command, parsed) -> reportAndGetExitCode(e)).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing command; see --help");
    }

    private static int reportAndGetExitCode(Exception e) {
        if (e instanceof ConfigurationException) {
            return reportError(EXIT_INVALID_USAGE, e.getMessage());
        } else if (e instanceof SettingsException invalid) {
            invalid.problems().forEach(problem -> reportError(EXIT_INVALID_USAGE, problem.toString()));
            return EXIT_INVALID_USAGE;
        } else if (e instanceof WireException || e instanceof IOException) {
            // For example, the listen address is in use.
            return reportError(EXIT_FAILURE, e.getMessage());
        }
        e.printStackTrace();
        return EXIT_FAILURE;
    }

    private static int reportError(int exitCode, String message) {
        System.err.println("cairnline: " + message);
        return exitCode;
    }
}
