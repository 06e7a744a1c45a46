package cairnline.program;

import cairnline.settings.SettingsException;
import cairnline.simhost.WireException;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

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

    /** A word without options needs no parser: on half a core the library adds 0.3 s to a start that takes as long. */
    static int run(String... args) {
        Callable<Integer> plain = args.length != 1 ? null : args[0].equals("serve") ? new ServeCommand()
                : args[0].equals("simhost") ? new SimhostCommand() : null;
        if (plain == null) {
            return parsed(args);
        }
        try {
            return plain.call();
        } catch (Exception e) {
            return code(e);
        }
    }

    private static int parsed(String[] args) {
        return new CommandLine(new Main()).setExecutionExceptionHandler((e, command, parsed) -> code(e)).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "which command? See --help");
    }

    private static int code(Exception e) {
        if (e instanceof ConfigurationException) {
            return leave(WRONG_USE, e.getMessage());
        } else if (e instanceof SettingsException wrong) {
            wrong.problems().forEach(fault -> leave(WRONG_USE, fault.toString()));
            return WRONG_USE;
        } else if (e instanceof WireException || e instanceof IOException) {
            // An address that can't be had, say.
            return leave(FAILED, e.getMessage());
        }
        e.printStackTrace();
        return FAILED;
    }

    private static int leave(int code, String message) {
        System.err.println("cairnline: " + message);
        return code;
    }
}
