package cairnline.program;

import cairnline.logs.EventLog;
import cairnline.membership.TrustSettings;
import cairnline.settings.SettingsFile;
import cairnline.settings.SettingsFile.Resolved;
import cairnline.store.StoreSettings;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Objects;

/**
 * What a settings file turns on beside the platform's configuration, checked and complete.
 *
 * @param file the file; null where none is given
 * @param odataAsked whether the file was given as the OData front's own, which must then name entity sets
 * @param odata the OData front; null if it is off
 * @param logRequests whether each step of each request is logged
 * @param snapshots the folder of the kept list; null if none is kept
 */
record ServeSettings(Path file, boolean odataAsked, ODataConfiguration odata, Path snapshots, StoreSettings store,
                     TrustSettings trust, EventLog.Format logFormat, int logQueue, boolean logRequests) {
    private static final long NANOS_PER_MICRO = 1_000;

    /** Reads the file, if there is one; throws with all its faults. */
    static ServeSettings read(Path file, boolean odataAsked, Configuration configuration) {
        Resolved in = file == null ? null : SettingsFile.read(file);
        long warmWithin = configuration.settings().safetyRules().warmUpTime() / NANOS_PER_MICRO;
        if (in == null) {
            return new ServeSettings(null, false, null, null, StoreSettings.usual(), TrustSettings.usual(warmWithin),
                    EventLog.Format.TEXT, LOG_QUEUE, false);
        }
        ODataConfiguration odata = odataAsked || in.has("sets")
                ? ODataConfiguration.of(in.asJson(), configuration.settings()) : null;
        return new ServeSettings(file, odataAsked, odata,
                in.has("discovery.snapshot.dir") ? Path.of(in.text("discovery.snapshot.dir")) : null, store(in),
                trust(in, warmWithin), EventLog.Format.valueOf(in.text("log.format").toUpperCase(Locale.ROOT)),
                in.whole("log.queue"), in.text("log.level").equals("requests"));
    }

    private static final int LOG_QUEUE = 1_024;

    private static StoreSettings store(Resolved in) {
        String at = "discovery.snapshot.";
        ordered(in, at + "pauseLeast", at + "pauseMost");
        return new StoreSettings(in.whole(at + "generations"), in.amount(at + "every"),
                in.whole(at + "writesPerMinute"), (int) in.amount(at + "maxBytes"), in.amount(at + "clocksDiffer"),
                in.amount(at + "pauseLeast"), in.amount(at + "pauseMost"));
    }

    private static TrustSettings trust(Resolved in, long warmWithin) {
        String at = "discovery.trust.";
        ordered(in, at + "probePause", at + "probePauseMost");
        return new TrustSettings(in.amount(at + "halfLife"), in.number(at + "fresh"), warmWithin,
                in.amount(at + "probeWithin"), in.amount(at + "probePause"), in.amount(at + "probePauseMost"),
                in.whole(at + "probesAtOnce"), in.whole(at + "enough"), in.amount(at + "advice"));
    }

    /** No schema says that one key may not be more than another. */
    private static void ordered(Resolved in, String least, String most) {
        if (in.amount(least) > in.amount(most)) {
            throw new ConfigurationException(least, "is more than " + most);
        }
    }

    /** The same file as it is now. */
    ServeSettings again(Configuration configuration) {
        return read(file, odataAsked, configuration);
    }

    /** Whether another reading differs in what can't change while the program runs. */
    boolean needsRestart(ServeSettings other) {
        return !Objects.equals(snapshots, other.snapshots) || !store.equals(other.store) || !trust.equals(other.trust)
                || logFormat != other.logFormat || logQueue != other.logQueue || logRequests != other.logRequests
                || (odata == null) != (other.odata == null);
    }
}
