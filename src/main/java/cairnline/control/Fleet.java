package cairnline.control;

/**
 * What recent reports of all engines of one kind say together, and what this front has out there; plain state of
 * {@link Control}.
 */
final class Fleet {
    /** Weight of a report in what all say together: some ten reports, few enough to be recent. */
    private static final double FLEET_GAIN = 0.1;
    /** Silence after which what all say together counts half. */
    private static final long FLEET_LIFE = 2_000_000_000L;

    double perCore, meanThreads, meanAttempts;
    int threads, attempts;
    long heardAt;

    void hear(double othersPerCore, long now) {
        perCore += FLEET_GAIN * (othersPerCore - perCore);
        meanThreads += FLEET_GAIN * (threads - meanThreads);
        meanAttempts += FLEET_GAIN * (attempts - meanAttempts);
        heardAt = now;
    }

    /** Fades when nothing is heard: engines that all seem full get no queries and so send no reports. */
    double others(long now) {
        return perCore / (1 + (double) (now - heardAt) / FLEET_LIFE);
    }
}
