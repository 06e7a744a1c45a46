package cairnline.membership;

/**
 * The limits of membership; times in microseconds.
 *
 * @param halfLife after this an entry's trust has halved
 * @param fresh trust in an entry that was confirmed just now, between 0 and 1
 * @param warmWithin an engine that has been up for so long is warm
 * @param probeWithin a probe not answered by then counts as silence
 * @param probePause between two probes of an entry that needs more evidence, and the first pause of an ill one
 * @param probePauseMost to which the pauses of an ill one grow
 * @param probesAtOnce probes that may be out
 * @param enough engines offered from which on no entry is probed for the first time
 * @param advice when to come back if nothing can be offered and no probe is due
 */
public record TrustSettings(long halfLife, double fresh, long warmWithin, long probeWithin, long probePause,
                            long probePauseMost, int probesAtOnce, int enough, long advice) {
    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;

    /** Rejects what contradicts itself; the settings' schema tells it first, with its place. */
    public TrustSettings {
        if (halfLife <= 0 || fresh <= 0 || fresh >= 1 || warmWithin < 0 || probeWithin <= 0 || probePause <= 0
                || probePauseMost < probePause || probesAtOnce < 1 || enough < 1 || advice <= 0) {
            throw new IllegalArgumentException("trust settings out of range: " + halfLife + " " + fresh + " "
                    + warmWithin + " " + probeWithin + " " + probePause + " " + probePauseMost + " " + probesAtOnce
                    + " " + enough + " " + advice);
        }
    }

    /** What holds where nothing is set, for engines that are warm within this time. */
    public static TrustSettings usual(long warmWithin) {
        return new TrustSettings(6 * HOUR, 0.95, warmWithin, 400 * MILLI, 100 * MILLI, 5 * SECOND, 64, 1_024, SECOND);
    }
}
