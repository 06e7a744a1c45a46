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

/** The command line of {@code rehearse}, checked; times in milliseconds. */
record RehearsalOptions(Path har, Path accessLog, InetSocketAddress to, InetSocketAddress standIn, double speed,
                        long most, long duration, int connections, long wanted, long patience, boolean writes,
                        String root, Map<String, Map<String, Object>> sets) {
    static final String USAGE = """
            usage: rehearse --har FILE | --access-log FILE  --to HOST:PORT
                     [--speed X]          times as fast as recorded (1)
                     [--most N]           at most so many requests (10000)
                     [--seconds N]        for at most so long (600)
                     [--connections N]    at once (32)
                     [--wanted-ms N]      an answer later than this is late (2000)
                     [--patience-ms N]    no answer by then breaks a rule (30000)
                     [--writes]           send what changes something too
                     [--strip PATH]       take this off the start of recorded paths
                     [--sets FILE]        the OData file of the daemon, to report by its classes
                   rehearse --stand-in HOST:PORT    an engine with fixed answers""";
    private static final int MILLIS = 1_000;

    static RehearsalOptions of(String[] args) {
        Map<String, String> told = new HashMap<>();
        for (int i = 1; i < args.length; i++) {
            if (args[i].equals("--writes")) {
                told.put("--writes", "");
            } else if (args[i].startsWith("--") && USAGE.contains(args[i] + " ") && i + 1 < args.length) {
                told.put(args[i], args[++i]);
            } else {
                throw new ConfigurationException(args[i], "is no option, or its value is missing\n" + USAGE);
            }
        }
        InetSocketAddress standIn = loopback(told, "--stand-in");
        InetSocketAddress to = loopback(told, "--to");
        boolean oneSource = told.containsKey("--har") != told.containsKey("--access-log");
        if (standIn == null && (to == null || !oneSource)) {
            throw new ConfigurationException("rehearse", "needs one recording and --to\n" + USAGE);
        }
        return new RehearsalOptions(path(told, "--har"), path(told, "--access-log"), to, standIn,
                number(told, "--speed", 1, 0.001, 1_000), (long) number(told, "--most", 10_000, 1, 10_000_000),
                (long) number(told, "--seconds", 600, 1, 86_400) * MILLIS,
                (int) number(told, "--connections", 32, 1, 256), (long) number(told, "--wanted-ms", 2_000, 1, 3_600_000),
                (long) number(told, "--patience-ms", 30_000, 1, 3_600_000), told.containsKey("--writes"),
                told.getOrDefault("--strip", ""), sets(path(told, "--sets")));
    }

    private static Path path(Map<String, String> told, String option) {
        return told.containsKey(option) ? Path.of(told.get(option)) : null;
    }

    private static double number(Map<String, String> told, String option, double absent, double least, double most) {
        try {
            double value = told.containsKey(option) ? Double.parseDouble(told.get(option)) : absent;
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, with all other values that can't be used.
        }
        throw new ConfigurationException(option, "is no number from " + least + " to " + most);
    }

    /** A recording holds real addresses; only this machine may ever be asked what it holds. */
    private static InetSocketAddress loopback(Map<String, String> told, String option) {
        if (!told.containsKey(option)) {
            return null;
        }
        InetSocketAddress address = Configuration.parseAddress(option, told.get(option));
        InetAddress ip = address.getAddress();
        if (ip == null || !ip.isLoopbackAddress()) {
            throw new ConfigurationException(option, "is no loopback address: " + told.get(option));
        }
        return address;
    }

    private static Map<String, Map<String, Object>> sets(Path file) {
        Map<String, Map<String, Object>> sets = new HashMap<>();
        if (file != null) {
            try {
                Json.asObject(Json.object(Files.readAllBytes(file)).get("sets"), "sets").forEach((name, set) ->
                        sets.put(name, Json.asObject(set, name)));
            } catch (IOException | ProtocolException e) {
                throw new ConfigurationException("--sets", "can't read " + file + ": " + e.getMessage());
            }
        }
        return sets;
    }
}
