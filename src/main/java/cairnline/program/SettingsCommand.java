package cairnline.program;

import cairnline.settings.SettingsFile;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Validates and prints settings files. */
@Command(name = "settings", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "(check | show)",
        description = "Checks or shows a settings file.")
final class SettingsCommand {
    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Reports all problems of a settings file; exits with 2 if there are any.")
    int check(@Parameters(paramLabel = "FILE") Path file) {
        SettingsFile.read(file);
        System.out.println(file + ": no faults");
        return 0;
    }

    @Command(name = "show", mixinStandardHelpOptions = true,
            description = "Prints a settings file with defaults filled in.")
    int show(@Parameters(paramLabel = "FILE") Path file) {
        System.out.print(SettingsFile.read(file).toCue());
        return 0;
    }
}
