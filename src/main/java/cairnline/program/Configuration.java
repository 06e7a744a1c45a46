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
import cairnline.transport.ClientFront.ClassRequirements;
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

/** The platform's configuration file: the only place where it is parsed, validated and completed with defaults. */
final class Configuration {
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 64;
    /** Client connections beyond a third of the sockets, for connections that are being closed. */
    private static final int SPARE_CLIENT_SOCKETS = 24;
    /** Descriptors of the program itself: jar and runtime archives, standard streams, listener, several to the feed. */
    private static final int PROGRAM_DESCRIPTORS = 40;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long KEY_COOLDOWN_SLACK_NANOS = 100_000_000;
    /** After SIGTERM clients may still connect for up to 0.4 s, and send requests on these connections for 0.2 s more. */
    private static final long SHUTDOWN_ACCEPT_MICROS = 600_000;
    /**
     * SIGKILL follows SIGTERM no earlier than the longest request deadline (capped at the first value) plus the second
     * value.
     */
    private static final long MAX_KILL_DEADLINE_MICROS = 3_000_000;
    private static final long KILL_AFTER_DEADLINE_MICROS = 700_000;
    /** Time between the last answers and the earliest SIGKILL; it includes the time that connections have to close. */
    private static final long KILL_MARGIN_MICROS = 500_000;
    private static final long SHUTDOWN_DRAIN_MICROS = 300_000;

    private final InetSocketAddress listen;
    private final InetSocketAddress feed;
    private final long seed;
    private final long lastInitialEventNumber;
    private final List<FeedEvent> initialEvents;
    private final Settings settings;
    private final Limits limits;

    private Configuration(Map<String, Object> root, String listenOverride) {
        listen = parseAddress("listen", listenOverride != null ? listenOverride : text(root, "listen"));
        feed = parseAddress("feed", text(root, "feed"));
        seed = parseSeed(root.get("seed"));
        Map<String, Object> known = object(root, "known");
        lastInitialEventNumber = wholeNumber(known, "known.n", "n", 0);
        initialEvents = parseEvents(known);
        Fields fields = Fields.of(flatten(object(root, "settings")));
        settings = readSettings(fields);
        long longestDeadline = settings.requestClasses().stream()
                .mapToLong(requestClass -> requestClass.deadline()).max().orElse(0);
        limits = deriveLimits(root, fields, longestDeadline / NANOS_PER_MICRO);
    }

    /** Reads the file named by {@code ROUTER_CONFIG}; {@code ROUTER_LISTEN} overrides its listen address. */
    static Configuration read(Map<String, String> environment) {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null) {
            throw new ConfigurationException("ROUTER_CONFIG",
                    "the environment variable is not set; it must name the configuration file");
        }
        try {
            return of(Files.readAllBytes(Path.of(file)), environment.get("ROUTER_LISTEN"));
        } catch (IOException | RuntimeException e) {
            if (e instanceof ConfigurationException reported) {
                throw reported;
            }
            throw new ConfigurationException("ROUTER_CONFIG", "cannot read " + file + ": " + e.getMessage());
        }
    }

    /** Parses a configuration; {@code listenOverride}, unless null, replaces its listen address. */
    static Configuration of(byte[] json, String listenOverride) {
        return new Configuration(Json.object(json), listenOverride);
    }

    InetSocketAddress listen() {
        return listen;
    }

    InetSocketAddress feed() {
        return feed;
    }

    /** Returns whether the other configuration differs in a value that cannot be changed at run time. */
    boolean needsRestart(Configuration other) {
        return !listen.equals(other.listen) || !settings.equals(other.settings) || !limits.equals(other.limits);
    }

    long seed() {
        return seed;
    }

    /** Returns the number of the last feed event that the configuration contains; 0 if it contains none. */
    long lastInitialEventNumber() {
        return lastInitialEventNumber;
    }

    /** Returns the feed events that the configuration contains, in feed order. */
    List<FeedEvent> initialEvents() {
        return initialEvents;
    }

    Settings settings() {
        return settings;
    }

    Limits limits() {
        return limits;
    }

    /** Returns the client timeout of each class in microseconds. */
    Map<String, Long> clientTimeouts() {
        Map<String, Long> timeouts = new HashMap<>();
        settings.requestClasses().forEach(requestClass ->
                timeouts.put(requestClass.name(), requestClass.deadline() / NANOS_PER_MICRO));
        return timeouts;
    }

    /** Returns which fields the requests of each class must carry. */
    Map<String, ClassRequirements> requestClasses() {
        Map<String, ClassRequirements> classes = new HashMap<>();
        settings.requestClasses().forEach(requestClass -> classes.put(requestClass.name(),
                new ClassRequirements(requestClass.retrySafety() == RetrySafety.KEYED, requestClass.serialByKey())));
        return classes;
    }

    /** Parses an address of the form {@code host:port}; {@code key} names its setting in the error message. */
    static InetSocketAddress parseAddress(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 65_535) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below, like every other malformed address.
        }
        throw new ConfigurationException(key, "is not an address of the form host:port: " + text);
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

    private static long wholeNumber(Map<String, Object> object, String key, String member, long defaultValue) {
        Object value = object.get(member);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && number.doubleValue() >= 0
                && number.doubleValue() == Math.rint(number.doubleValue())) {
            return number.longValue();
        }
        throw new ConfigurationException(key, "is not a whole number of at least 0");
    }

    private static long parseSeed(Object value) {
        try {
            return Long.parseUnsignedLong(String.valueOf(value), 16);
        } catch (NumberFormatException e) {
            throw new ConfigurationException("seed", "is missing or is not up to 16 hex digits");
        }
    }

    private static List<FeedEvent> parseEvents(Map<String, Object> known) {
        List<FeedEvent> events = new ArrayList<>();
        try {
            for (Object event : Json.asList(known.getOrDefault("events", List.of()), "events")) {
                events.add(FeedEvent.parse(event));
            }
        } catch (ProtocolException | ClassCastException e) {
            throw new ConfigurationException("known.events", e.getMessage());
        }
        return events;
    }

    private static Settings readSettings(Fields fields) {
        try {
            return withKeyCooldownSlack(new SettingsReader(fields).read());
        } catch (WireException | IllegalArgumentException e) {
            throw new ConfigurationException("settings", e.getMessage());
        }
    }

    /**
     * Extends the time for which an ordering key stays blocked after an attempt of unknown outcome. On real sockets every
     * time limit is overrun slightly, and an attempt that is given up early still counts as running until its client's
     * deadline.
     */
    private static Settings withKeyCooldownSlack(Settings settings) {
        SafetyRules rules = settings.safetyRules();
        if (rules.keyCooldown() == 0) {
            return settings;
        }
        SafetyRules extended = new SafetyRules(rules.drainGrace(), rules.coldCapacity(), rules.warmUpTime(),
                rules.overloadMultiple(), rules.overloadWindow(), rules.keyCooldown() + KEY_COOLDOWN_SLACK_NANOS,
                rules.retryAllowance(), rules.retriesPerRequest(), rules.retryWindow());
        return new Settings(settings.frontIndex(), settings.frontCount(), settings.zone(), settings.requestClasses(),
                settings.tenants(), settings.machineTypes(), settings.permissions(), extended, settings.overShareWorth(),
                settings.memoryGrantCap(), settings.subscriptionRequired(), settings.statusInterval(),
                settings.clientsMarkRetries(), settings.probeCost());
    }

    /** Maps nested values to dotted paths, the form in which the simulator's first message carries them. */
    private static Map<String, String> flatten(Map<String, Object> settings) {
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
            list.forEach(item -> joined.add(plainText(item)));
            flat.put(path, joined.toString());
        } else if (value != null) {
            flat.put(path, plainText(value));
        }
    }

    private static String plainText(Object value) {
        return value instanceof BigDecimal number ? number.toPlainString() : String.valueOf(value);
    }

    /** Returns the limits that apply without a configuration. */
    static Limits defaultLimits() {
        return deriveLimits(Map.of(), Fields.of(Map.of()), MAX_KILL_DEADLINE_MICROS);
    }

    /** Returns the maximum number of client connections: a third of the sockets, plus some that are being closed. */
    private static int clientConnections(int sockets) {
        return sockets / 3 + SPARE_CLIENT_SOCKETS;
    }

    /** Returns the sockets left for engines after those of clients and of the program: files, feed, a rejected client. */
    private static int engineConnections(int sockets) {
        return Math.max(MIN_SOCKETS / 4, sockets - clientConnections(sockets) - PROGRAM_DESCRIPTORS);
    }

    /**
     * Returns after how long a silent engine connection is closed. Engines send a status update for each running request
     * in every period; where they send none, silence says nothing about them and the limit is an hour.
     */
    private static long engineSilenceTimeout(Fields fields) {
        long period = fields.integer("specifics.notePeriodNs", 0) / NANOS_PER_MICRO;
        return period == 0 ? Clock.ofMillis(3_600_000) : period * 5 / 2 + Clock.ofMillis(200);
    }

    /** Returns how long after SIGTERM open requests are answered as refused or failed; all times are microseconds. */
    private static long shutdownAnswerDelay(long longestDeadline) {
        long earliestKill = Math.min(longestDeadline, MAX_KILL_DEADLINE_MICROS) + KILL_AFTER_DEADLINE_MICROS;
        return Math.max(SHUTDOWN_ACCEPT_MICROS, earliestKill - KILL_MARGIN_MICROS);
    }

    private static Limits deriveLimits(Map<String, Object> root, Fields fields, long longestDeadline) {
        Map<String, Object> configured = root.containsKey("limits") ? object(root, "limits") : Map.of();
        int sockets = (int) wholeNumber(configured, "limits.sockets", "sockets", DEFAULT_SOCKETS);
        if (sockets < MIN_SOCKETS) {
            throw new ConfigurationException("limits.sockets", "is less than " + MIN_SOCKETS);
        }
        long connectTimeout = fields.integer("permissions.connectTimeoutNs", 250_000_000) / NANOS_PER_MICRO;
        long idleClose = fields.integer("permissions.idleCloseNs", 30_000_000_000L) / NANOS_PER_MICRO;
        long drainGrace = fields.integer("safety.drainGraceNs", 1_000_000_000) / NANOS_PER_MICRO;
        long answerMargin = Clock.ofMillis(50);
        Limits.Routing routing = new Limits.Routing(4_096, 512 * 1_024,
                (int) Math.min(4_096, fields.integer("permissions.maxOpen", 4_096)), answerMargin, drainGrace / 2,
                Clock.ofMillis(1_000));
        Limits.Connections connections = new Limits.Connections(256, Clock.ofMillis(500), 65_536, Clock.ofMillis(20_000),
                connectTimeout);
        Limits.Clients clients = new Limits.Clients(clientConnections(sockets), 32, 8 << 20, 8 << 20, Clock.ofMillis(4_500),
                Clock.ofMillis(250), Clock.ofMillis(2_000), Clock.ofMillis(2_500), 262_144);
        Limits.Engines engines = new Limits.Engines(idleClose * 2 / 3, 8, engineConnections(sockets),
                (int) fields.integer("permissions.streamsPerConn", 100), 4, engineSilenceTimeout(fields), Clock.ofMillis(500),
                8_192, 6_000, 64, 48_000, 16 << 20, 8 << 20);
        Limits.Feed feed = new Limits.Feed(Clock.ofMillis(1_000), Clock.ofMillis(200), Clock.ofMillis(2_300),
                Clock.ofMillis(250), 4 << 20);
        Limits.Shutdown shutdown = new Limits.Shutdown(SHUTDOWN_ACCEPT_MICROS, shutdownAnswerDelay(longestDeadline),
                SHUTDOWN_DRAIN_MICROS);
        Limits.Http http = new Limits.Http(24, 16_384, 1 << 20, 64, 100);
        return new Limits(routing, connections, clients, engines, feed, shutdown, http);
    }
}
