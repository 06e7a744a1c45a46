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
 * The validated settings file, which enables features beyond the platform's configuration, with defaults filled in.
 *
 * @param file the file; null if none was given
 * @param odataRequired whether the file was given as ODATA-FILE and therefore must define entity sets
 * @param odata configuration of the OData front; null if it is disabled
 * @param snapshotFolder the folder of the stored engine list; null if the list is not stored
 * @param logQueue capacity of the log's queue in events
 * @param logRequests whether each step of each request is logged
 */
record ServeSettings(Path file, boolean odataRequired, ODataConfiguration odata, Path snapshotFolder, StoreSettings store,
                     TrustSettings trust, EventLog.Format logFormat, int logQueue, boolean logRequests) {
    private static final long NANOS_PER_MICRO = 1_000;

    /** Reads the file, or returns the defaults if it is null; throws SettingsException with all problems of the file. */
    static ServeSettings read(Path file, boolean odataRequired, Configuration configuration) {
        Resolved in = file == null ? null : SettingsFile.read(file);
        long warmUpMicros = configuration.settings().safetyRules().warmUpTime() / NANOS_PER_MICRO;
        if (in == null) {
            return new ServeSettings(null, false, null, null, StoreSettings.defaults(), TrustSettings.defaults(warmUpMicros),
                    EventLog.Format.TEXT, DEFAULT_LOG_QUEUE_EVENTS, false);
        }
        ODataConfiguration odata = odataRequired || in.has("sets")
                ? ODataConfiguration.parse(in.asJson(), configuration.settings()) : null;
        return new ServeSettings(file, odataRequired, odata,
                in.has("discovery.snapshot.dir") ? Path.of(in.text("discovery.snapshot.dir")) : null, readStoreSettings(in),
                readTrustSettings(in, warmUpMicros), EventLog.Format.valueOf(in.text("log.format").toUpperCase(Locale.ROOT)),
                in.integer("log.queue"), in.text("log.level").equals("requests"));
    }

    private static final int DEFAULT_LOG_QUEUE_EVENTS = 1_024;

    private static StoreSettings readStoreSettings(Resolved in) {
        String prefix = "discovery.snapshot.";
        requireOrdered(in, prefix + "pauseLeast", prefix + "pauseMost");
        return new StoreSettings(in.integer(prefix + "generations"), in.microsOrBytes(prefix + "every"),
                in.integer(prefix + "writesPerMinute"), (int) in.microsOrBytes(prefix + "maxBytes"),
                in.microsOrBytes(prefix + "clocksDiffer"),
                in.microsOrBytes(prefix + "pauseLeast"), in.microsOrBytes(prefix + "pauseMost"));
    }

    private static TrustSettings readTrustSettings(Resolved in, long warmUpMicros) {
        String prefix = "discovery.trust.";
        requireOrdered(in, prefix + "probePause", prefix + "probePauseMost");
        return new TrustSettings(in.microsOrBytes(prefix + "halfLife"), in.number(prefix + "fresh"), warmUpMicros,
                in.microsOrBytes(prefix + "probeWithin"),
                in.microsOrBytes(prefix + "probePause"), in.microsOrBytes(prefix + "probePauseMost"),
                in.integer(prefix + "probesAtOnce"), in.integer(prefix + "enough"), in.microsOrBytes(prefix + "advice"));
    }

    /** Checks that one value does not exceed another, a constraint between two keys that the schema cannot express. */
    private static void requireOrdered(Resolved in, String lowerKey, String upperKey) {
        if (in.microsOrBytes(lowerKey) > in.microsOrBytes(upperKey)) {
            throw new ConfigurationException(lowerKey, "is more than " + upperKey);
        }
    }

    /** Reads the same file again. */
    ServeSettings reread(Configuration configuration) {
        return read(file, odataRequired, configuration);
    }

    /** Returns whether the other settings differ in a value that cannot be changed at run time. */
    boolean needsRestart(ServeSettings other) {
        return !Objects.equals(snapshotFolder, other.snapshotFolder) || !store.equals(other.store) || !trust.equals(other.trust)
                || logFormat != other.logFormat || logQueue != other.logQueue || logRequests != other.logRequests
                || (odata == null) != (other.odata == null);
    }
}
