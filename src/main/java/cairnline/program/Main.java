package cairnline.program;

import cairnline.settings.SettingsException;
import cairnline.simhost.WireException;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IExecutionExceptionHandler;

/** Entry point. Exits with 0 if all went well, 1 on a failure, 2 on wrong usage, settings or configuration. */
@Command(name = "cairnline", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
        description = "Decides which query engine runs what, and when.", synopsisSubcommandLabel = "COMMAND",
        subcommands = {ServeCommand.class, SimhostCommand.class, RehearseCommand.class, TryCommand.class,
            ListCommand.class, SettingsCommand.class})
public final class Main implements Runnable {
    private static final int FAILED = 1;
    private static final int WRONG_USE = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** The release, as the jar's manifest has it. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"cairnline " + (version == null ? "(not from a jar)" : version)};
        }
    }

    /** Runs the command that the arguments name. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        return new CommandLine(new Main()).setExecutionExceptionHandler(handler()).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "which command? See --help");
    }

    private static IExecutionExceptionHandler handler() {
        return (e, command, parsed) -> {
            if (e instanceof ConfigurationException) {
                return leave(WRONG_USE, e.getMessage());
            } else if (e instanceof SettingsException wrong) {
                wrong.faults().forEach(fault -> leave(WRONG_USE, fault.toString()));
                return WRONG_USE;
            } else if (e instanceof WireException || e instanceof IOException) {
                // An address that can't be had, say.
                return leave(FAILED, e.getMessage());
            }
            throw e;
        };
    }

    private static int leave(int code, String message) {
        System.err.println("cairnline: " + message);
        return code;
    }
}
