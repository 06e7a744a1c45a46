package cairnline.program;

import cairnline.protocol.Json;
import cairnline.protocol.ProtocolException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The validated command line of {@code rehearse}.
 *
 * @param har a recording as an HTTP Archive; null where an access log is given
 * @param accessLog a recording as an access log; null where a HAR file is given
 * @param target the address to which requests are sent; null with {@code --stand-in}
 * @param standIn the listen address of a stand-in engine to run in place of a replay; null for a replay
 * @param speed replay speed as a multiple of the recorded speed
 * @param stripPrefix prefix that is removed from recorded paths; empty for none
 * @param entitySets the entity sets of the daemon's OData file by name; empty without that file
 */
record RehearsalOptions(Path har, Path accessLog, InetSocketAddress target, InetSocketAddress standIn, double speed,
                        long maxRequests, long durationMillis, int connections, long latencyTargetMillis,
                        long timeoutMillis, boolean sendWrites, String stripPrefix,
                        Map<String, Map<String, Object>> entitySets) {
    static final String USAGE = """
            usage: rehearse --har FILE | --access-log FILE  --to HOST:PORT
                     [--speed X]          replay speed as a multiple of the recorded speed (1)
                     [--most N]           maximum number of requests (10000)
                     [--seconds N]        maximum duration in seconds (600)
                     [--connections N]    concurrent connections (32)
                     [--wanted-ms N]      latency target: later answers count as late (2000)
                     [--patience-ms N]    timeout: later or missing answers break a rule (30000)
                     [--writes]           also send requests that write
                     [--strip PATH]       prefix to remove from recorded paths
                     [--sets FILE]        the daemon's OData file, to report by its request classes
                   rehearse --stand-in HOST:PORT    run a stand-in engine with fixed answers""";
    private static final int MILLIS_PER_SECOND = 1_000;

    static RehearsalOptions parse(String[] args) {
        Map<String, String> values = new HashMap<>();
        for (int i = 1; i < args.length; i++) {
            if (args[i].equals("--writes")) {
                values.put("--writes", "");
            } else if (args[i].startsWith("--") && USAGE.contains(args[i] + " ") && i + 1 < args.length) {
                values.put(args[i], args[++i]);
            } else {
                throw new ConfigurationException(args[i], "is an unknown option or lacks its value\n" + USAGE);
            }
        }
        InetSocketAddress standIn = loopbackAddress(values, "--stand-in");
        InetSocketAddress target = loopbackAddress(values, "--to");
        boolean oneRecording = values.containsKey("--har") != values.containsKey("--access-log");
        if (standIn == null && (target == null || !oneRecording)) {
            throw new ConfigurationException("rehearse", "needs exactly one recording and --to\n" + USAGE);
        }
        return new RehearsalOptions(path(values, "--har"), path(values, "--access-log"), target, standIn,
                number(values, "--speed", 1, 0.001, 1_000), (long) number(values, "--most", 10_000, 1, 10_000_000),
                (long) number(values, "--seconds", 600, 1, 86_400) * MILLIS_PER_SECOND,
                (int) number(values, "--connections", 32, 1, 256),
                (long) number(values, "--wanted-ms", 2_000, 1, 3_600_000),
                (long) number(values, "--patience-ms", 30_000, 1, 3_600_000), values.containsKey("--writes"),
                values.getOrDefault("--strip", ""), readEntitySets(path(values, "--sets")));
    }

    private static Path path(Map<String, String> values, String option) {
        return values.containsKey(option) ? Path.of(values.get(option)) : null;
    }

    private static double number(Map<String, String> values, String option, double defaultValue, double min, double max) {
        try {
            double value = values.containsKey(option) ? Double.parseDouble(values.get(option)) : defaultValue;
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        throw new ConfigurationException(option, "is not a number from " + min + " to " + max);
    }

    /** Parses an address option. Recordings contain real addresses, so only loopback is ever accepted as a target. */
    private static InetSocketAddress loopbackAddress(Map<String, String> values, String option) {
        if (!values.containsKey(option)) {
            return null;
        }
        InetSocketAddress address = Configuration.parseAddress(option, values.get(option));
        InetAddress ip = address.getAddress();
        if (ip == null || !ip.isLoopbackAddress()) {
            throw new ConfigurationException(option, "is not a loopback address: " + values.get(option));
        }
        return address;
    }

    private static Map<String, Map<String, Object>> readEntitySets(Path file) {
        Map<String, Map<String, Object>> sets = new HashMap<>();
        if (file != null) {
            try {
                Json.asObject(Json.object(Files.readAllBytes(file)).get("sets"), "sets").forEach((name, set) ->
                        sets.put(name, Json.asObject(set, name)));
            } catch (IOException | ProtocolException e) {
                throw new ConfigurationException("--sets", "cannot read " + file + ": " + e.getMessage());
            }
        }
        return sets;
    }
}
