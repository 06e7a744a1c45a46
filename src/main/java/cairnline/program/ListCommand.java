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

/** Validates and prints snapshots, the files of the stored engine list. */
@Command(name = "list", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "(check | show)",
        description = "Checks or shows a snapshot of the stored engine list.")
final class ListCommand {
    private static final long MICROS_PER_SECOND = 1_000_000;

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Checks whether a snapshot of the engine list is usable; exits with 2 if it is not.")
    int check(@Parameters(paramLabel = "FILE") Path file) throws IOException {
        System.out.println(file + ": " + read(file).engines().size() + " engines");
        return 0;
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Prints a snapshot of the engine list.")
    int show(@Parameters(paramLabel = "FILE") Path file) throws IOException {
        Snapshot snapshot = read(file);
        System.out.println("saved " + formatTime(snapshot.savedAt()) + ", " + snapshot.engines().size() + " engines");
        System.out.printf(Locale.ROOT, "%-24s %-22s %-10s %-10s %-11s %-25s %s%n", "id", "address", "zone", "kind",
                "believed", "told", "alive");
        for (StoredEngine stored : snapshot.engines()) {
            ListedEngine engine = stored.engine();
            System.out.printf(Locale.ROOT, "%-24s %-22s %-10s %-10s %-11s %-25s %s%n", engine.id(), engine.address(),
                    engine.zone(), engine.kind(), stored.lastState().printedName(),
                    formatTime(stored.reportedAt()), formatTime(stored.aliveAt()));
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

    private static String formatTime(long epochMicros) {
        return epochMicros == 0 ? "-" : Instant.ofEpochSecond(Math.floorDiv(epochMicros, MICROS_PER_SECOND),
                Math.floorMod(epochMicros, MICROS_PER_SECOND) * 1_000).toString();
    }
}
