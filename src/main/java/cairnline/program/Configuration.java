package cairnline.program;

import cairnline.control.ControlApi.RetrySafety;
import cairnline.control.ControlApi.SafetyRules;
import cairnline.control.ControlApi.Settings;
import cairnline.protocol.FeedEvent;
import cairnline.protocol.Json;
import cairnline.protocol.ProtocolException;
import cairnline.routing.Clock;
import cairnline.routing.Limits;
import cairnline.simhost.Fields;
import cairnline.simhost.SettingsReader;
import cairnline.simhost.WireException;
import cairnline.transport.ClientFront.ClassRules;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;

/** All that the program is told from outside: read, checked and given defaults here and nowhere else. */
final class Configuration {
    private static final int SOCKETS_DEFAULT = 1024;
    private static final int SOCKETS_LEAST = 64;
    private static final int CLIENTS_SPARE = 24;
    /** Archives of the program and its runtime, standard streams, listener, feed; seen are 20 to 25. */
    private static final int OWN_SOCKETS = 32;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long REST_SLACK_NANOS = 100_000_000;
    /** After SIGTERM connections keep coming for up to 0.4 s, and requests on them for 0.2 s more. */
    private static final long STOP_TAKING = 600_000;
    /** SIGKILL comes no earlier than the longest deadline, of which so much counts at most, and this much more. */
    private static final long KILL_DEADLINE_MOST = 3_000_000;
    private static final long KILL_AFTER_DEADLINE = 700_000;
    /** How long before the earliest SIGKILL the last answers are made, and how much of it connections have to end. */
    private static final long KILL_MARGIN = 500_000;
    private static final long STOP_DRAIN = 300_000;

    private final InetSocketAddress listen;
    private final InetSocketAddress feed;
    private final long seed;
    private final long knownLast;
    private final List<FeedEvent> known;
    private final Settings settings;
    private final Limits limits;

    private Configuration(Map<String, Object> root, String listenOverride) {
        listen = address("listen", listenOverride != null ? listenOverride : text(root, "listen"));
        feed = address("feed", text(root, "feed"));
        seed = seed(root.get("seed"));
        Map<String, Object> held = object(root, "known");
        knownLast = whole(held, "known.n", "n", 0);
        known = events(held);
        Fields fields = Fields.of(flat(object(root, "settings")));
        settings = settings(fields);
        long longestDeadline = settings.requestClasses().stream().mapToLong(type -> type.deadline()).max().orElse(0);
        limits = limits(root, fields, longestDeadline / NANOS_PER_MICRO);
    }

    /** Reads the file that the environment names. */
    static Configuration read(Map<String, String> environment) {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null) {
            throw new ConfigurationException("ROUTER_CONFIG", "the environment names no configuration file");
        }
        try {
            return of(Files.readAllBytes(Path.of(file)), environment.get("ROUTER_LISTEN"));
        } catch (IOException | RuntimeException e) {
            if (e instanceof ConfigurationException known) {
                throw known;
            }
            throw new ConfigurationException("ROUTER_CONFIG", "can't read " + file + ": " + e.getMessage());
        }
    }

    /** Reads a configuration; an address given beside it stands before its own. */
    static Configuration of(byte[] json, String listenOverride) {
        return new Configuration(Json.object(json), listenOverride);
    }

    InetSocketAddress listen() {
        return listen;
    }

    InetSocketAddress feed() {
        return feed;
    }

    /** Whether another one differs in what can't change while the program runs. */
    boolean needsRestart(Configuration other) {
        return !listen.equals(other.listen) || !settings.equals(other.settings) || !limits.equals(other.limits);
    }

    long seed() {
        return seed;
    }

    long knownLast() {
        return knownLast;
    }

    List<FeedEvent> known() {
        return known;
    }

    Settings settings() {
        return settings;
    }

    Limits limits() {
        return limits;
    }

    /** How long a client of each class waits at most, in microseconds. */
    Map<String, Long> patience() {
        Map<String, Long> patience = new HashMap<>();
        settings.requestClasses().forEach(type -> patience.put(type.name(), type.deadline() / NANOS_PER_MICRO));
        return patience;
    }

    /** What the requests of each class must carry. */
    Map<String, ClassRules> classes() {
        Map<String, ClassRules> classes = new HashMap<>();
        settings.requestClasses().forEach(type ->
                classes.put(type.name(), new ClassRules(type.retrySafety() == RetrySafety.KEYED, type.serialByKey())));
        return classes;
    }

    /** An address as {@code host:port}. */
    static InetSocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 65_535) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Told below, with all other addresses that can't be used.
        }
        throw new ConfigurationException(key, "is no address of the form host:port: " + text);
    }

    static String text(Map<String, Object> root, String key) {
        if (root.get(key) instanceof String text) {
            return text;
        }
        throw new ConfigurationException(key, "is missing or is not text");
    }

    private static Map<String, Object> object(Map<String, Object> root, String key) {
        try {
            return Json.asObject(root.get(key), key);
        } catch (ProtocolException e) {
            throw new ConfigurationException(key, "is missing or is not an object");
        }
    }

    private static long whole(Map<String, Object> object, String key, String member, long absent) {
        Object value = object.get(member);
        if (value == null) {
            return absent;
        }
        if (value instanceof Number number && number.doubleValue() >= 0
                && number.doubleValue() == Math.rint(number.doubleValue())) {
            return number.longValue();
        }
        throw new ConfigurationException(key, "is not a whole number of at least 0");
    }

    private static long seed(Object value) {
        try {
            return Long.parseUnsignedLong(String.valueOf(value), 16);
        } catch (NumberFormatException e) {
            throw new ConfigurationException("seed", "is missing or is not up to 16 hex digits");
        }
    }

    private static List<FeedEvent> events(Map<String, Object> held) {
        List<FeedEvent> events = new ArrayList<>();
        try {
            for (Object event : Json.asList(held.getOrDefault("events", List.of()), "events")) {
                events.add(FeedEvent.of(event));
            }
        } catch (ProtocolException | ClassCastException e) {
            throw new ConfigurationException("known.events", e.getMessage());
        }
        return events;
    }

    private static Settings settings(Fields fields) {
        try {
            return rested(new SettingsReader(fields).read());
        } catch (WireException | IllegalArgumentException e) {
            throw new ConfigurationException("settings", e.getMessage());
        }
    }

    /**
     * A key rests longer here than the settings say: on sockets every time limit is longer by a slack, and an
     * attempt that is given up a little early still counts as out until its client's time is up.
     */
    private static Settings rested(Settings s) {
        SafetyRules r = s.safetyRules();
        if (r.keyCooldown() == 0) {
            return s;
        }
        SafetyRules rules = new SafetyRules(r.drainGrace(), r.coldCapacity(), r.warmUpTime(), r.overloadMultiple(), r.overloadWindow(),
                r.keyCooldown() + REST_SLACK_NANOS, r.retryAllowance(), r.retriesPerRequest(), r.retryWindow());
        return new Settings(s.frontIndex(), s.frontCount(), s.zone(), s.requestClasses(), s.tenants(), s.machineTypes(), s.permissions(), rules,
                s.overShareWorth(), s.memoryGrantCap(), s.subscriptionRequired(), s.statusInterval(), s.clientsMarkRetries(), s.probeCost());
    }

    /** Nested values by their paths, as the simulator's first message words them. */
    private static Map<String, String> flat(Map<String, Object> settings) {
        Map<String, String> flat = new LinkedHashMap<>();
        settings.forEach((name, value) -> flatten(name, value, flat));
        return flat;
    }

    private static void flatten(String path, Object value, Map<String, String> flat) {
        if (value instanceof Map<?, ?> object) {
            object.forEach((name, member) -> flatten(path + "." + name, member, flat));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            flat.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), flat);
            }
        } else if (value instanceof List<?> list) {
            StringJoiner joined = new StringJoiner(",");
            list.forEach(item -> joined.add(word(item)));
            flat.put(path, joined.toString());
        } else if (value != null) {
            flat.put(path, word(value));
        }
    }

    private static String word(Object value) {
        return value instanceof BigDecimal number ? number.toPlainString() : String.valueOf(value);
    }

    /** The limits where nothing is told. */
    static Limits defaultLimits() {
        return limits(Map.of(), Fields.of(Map.of()), KILL_DEADLINE_MOST);
    }

    /** Room for clients: a third of the sockets is theirs to hold, and some may be about to go. */
    private static int clients(int sockets) {
        return sockets / 3 + CLIENTS_SPARE;
    }

    /** The rest of the sockets, but for those of the program itself: its files, the feed, a client turned away. */
    private static int engines(int sockets) {
        return Math.max(SOCKETS_LEAST / 4, sockets - clients(sockets) - OWN_SOCKETS);
    }

    /** Engines tell of each request in every period; where they don't, silence says nothing. */
    private static long silence(Fields fields) {
        long period = fields.integer("specifics.notePeriodNs", 0) / NANOS_PER_MICRO;
        return period == 0 ? Clock.ofMillis(3_600_000) : period * 5 / 2 + Clock.ofMillis(200);
    }

    /** When after SIGTERM the last answers are made; all times are microseconds. */
    private static long stopAnswering(long longestDeadline) {
        long earliestKill = Math.min(longestDeadline, KILL_DEADLINE_MOST) + KILL_AFTER_DEADLINE;
        return Math.max(STOP_TAKING, earliestKill - KILL_MARGIN);
    }

    private static Limits limits(Map<String, Object> root, Fields fields, long longestDeadline) {
        Map<String, Object> told = root.containsKey("limits") ? object(root, "limits") : Map.of();
        int sockets = (int) whole(told, "limits.sockets", "sockets", SOCKETS_DEFAULT);
        if (sockets < SOCKETS_LEAST) {
            throw new ConfigurationException("limits.sockets", "is less than " + SOCKETS_LEAST);
        }
        long connect = fields.integer("permissions.connectTimeoutNs", 250_000_000) / NANOS_PER_MICRO;
        long idleClose = fields.integer("permissions.idleCloseNs", 30_000_000_000L) / NANOS_PER_MICRO;
        long drainGrace = fields.integer("safety.drainGraceNs", 1_000_000_000) / NANOS_PER_MICRO;
        long answerMargin = Clock.ofMillis(50);
        Limits.Routing routing = new Limits.Routing(4_096, 512 * 1_024,
                (int) Math.min(4_096, fields.integer("permissions.maxOpen", 4_096)), answerMargin, drainGrace / 2,
                Clock.ofMillis(1_000));
        Limits.Connections connections = new Limits.Connections(256, Clock.ofMillis(500), 65_536, Clock.ofMillis(20_000),
                connect);
        Limits.Clients clients = new Limits.Clients(clients(sockets), 32, 8 << 20, Clock.ofMillis(4_500),
                Clock.ofMillis(250), Clock.ofMillis(2_000), Clock.ofMillis(2_500), 262_144);
        Limits.Engines engines = new Limits.Engines(idleClose * 2 / 3, 8, engines(sockets),
                (int) fields.integer("permissions.streamsPerConn", 100), 4, silence(fields), Clock.ofMillis(500), 8_192, 6_000,
                64, 48_000);
        Limits.Feed feed = new Limits.Feed(Clock.ofMillis(1_000), Clock.ofMillis(200), Clock.ofMillis(2_300),
                Clock.ofMillis(250), 4 << 20);
        Limits.Shutdown shutdown = new Limits.Shutdown(STOP_TAKING, stopAnswering(longestDeadline), STOP_DRAIN);
        Limits.Http http = new Limits.Http(24, 16_384, 1 << 20, 64, 100);
        return new Limits(routing, connections, clients, engines, feed, shutdown, http);
    }
}
