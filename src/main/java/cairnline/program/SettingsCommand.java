package cairnline.program;

import cairnline.settings.SettingsFile;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Looks into settings files. */
@Command(name = "settings", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "(check | show)",
        description = "Checks or shows a settings file.")
final class SettingsCommand {
    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Tells all faults of a settings file; exit code 2 if there is one.")
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
