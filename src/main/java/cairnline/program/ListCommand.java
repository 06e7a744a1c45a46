package cairnline.program;

import cairnline.membership.ListedEngine;
import cairnline.membership.StoredEngine;
import cairnline.store.Snapshot;
import cairnline.store.SnapshotCodec;
import cairnline.store.SnapshotException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Looks into kept lists. */
@Command(name = "list", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "(check | show)",
        description = "Checks or shows a kept list of engines.")
final class ListCommand {
    private static final long MICROS = 1_000_000;

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Tells whether a kept list can be used; exit code 2 if it can't.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws IOException {
        System.out.println(file + ": " + read(file).engines().size() + " engines");
        return 0;
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Prints a kept list.")
    int show(@Parameters(paramLabel = "FILE") Path file) throws IOException {
        Snapshot kept = read(file);
        System.out.println("saved " + time(kept.savedAt()) + ", " + kept.engines().size() + " engines");
        System.out.printf(Locale.ROOT, "%-24s %-22s %-10s %-10s %-11s %-25s %s%n", "id", "address", "zone", "kind",
                "believed", "told", "alive");
        for (StoredEngine each : kept.engines()) {
            ListedEngine e = each.engine();
            System.out.printf(Locale.ROOT, "%-24s %-22s %-10s %-10s %-11s %-25s %s%n", e.id(), e.address(), e.zone(),
                    e.kind(), each.lastState().printedName(), time(each.reportedAt()), time(each.aliveAt()));
        }
        return 0;
    }

    private static Snapshot read(Path file) throws IOException {
        try {
            return SnapshotCodec.decode(Files.readAllBytes(file));
        } catch (SnapshotException e) {
            throw new ConfigurationException(file.toString(),
                    e.reason().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + e.getMessage());
        }
    }

    private static String time(long micros) {
        return micros == 0 ? "-" : Instant.ofEpochSecond(Math.floorDiv(micros, MICROS),
                Math.floorMod(micros, MICROS) * 1_000).toString();
    }
}
