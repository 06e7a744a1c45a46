package cairnline.membership;

/**
 * Settings of membership and its probes. All times are in microseconds.
 *
 * @param halfLife time after which trust in an unconfirmed entry has halved
 * @param initialTrust trust in an entry that was confirmed just now, as a probability between 0 and 1
 * @param warmUpTime time for which an engine must have been alive to count as warm
 * @param probeTimeout time after which an unanswered probe counts as {@link Evidence#NO_ANSWER}
 * @param probeInterval time between two probes of an entry that needs more evidence, and the first back-off of an unhealthy
 *     one
 * @param maxProbeInterval upper bound of the exponential back-off between probes of an unhealthy entry
 * @param maxConcurrentProbes maximum number of probes in flight
 * @param enoughOffered number of offered engines from which on no entry is probed for the first time
 * @param retryAfter time after which a refused client should retry if no engine can be offered and no probe is scheduled
 */
public record TrustSettings(long halfLife, double initialTrust, long warmUpTime, long probeTimeout, long probeInterval,
                            long maxProbeInterval, int maxConcurrentProbes, int enoughOffered, long retryAfter) {
    private static final long MILLI_MICROS = 1_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final long HOUR_MICROS = 3_600 * SECOND_MICROS;

    /** Rejects values that are out of range; the schema of the settings file reports them earlier, with their position. */
    public TrustSettings {
        if (halfLife <= 0 || initialTrust <= 0 || initialTrust >= 1 || warmUpTime < 0 || probeTimeout <= 0 || probeInterval <= 0
                || maxProbeInterval < probeInterval || maxConcurrentProbes < 1 || enoughOffered < 1 || retryAfter <= 0) {
            throw new IllegalArgumentException("trust settings out of range: " + halfLife + " " + initialTrust + " "
                    + warmUpTime + " " + probeTimeout + " " + probeInterval + " " + maxProbeInterval + " " + maxConcurrentProbes
                    + " " + enoughOffered + " " + retryAfter);
        }
    }

    /** Returns the defaults, for engines with this warm-up period in microseconds. */
    public static TrustSettings defaults(long warmUpTime) {
        return new TrustSettings(6 * HOUR_MICROS, 0.95, warmUpTime, 400 * MILLI_MICROS, 100 * MILLI_MICROS, 5 * SECOND_MICROS, 64,
                1_024, SECOND_MICROS);
    }
}
