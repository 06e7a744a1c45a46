package cairnline.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One numbered event of the control feed; {@code hosts} is null where the list has not changed. */
public record FeedEvent(long number, boolean whole, List<Host> hosts) {
    /** The state of an engine, by its word. */
    public enum State { IN_SERVICE, TERMINATING, TERMINATED }

    /** A list entry as the feed words it. */
    public record Host(String id, String address, String zone, String kind, int cell, State state, double weight,
                       long bornMs) { }

    /** Reads a line of the feed: an event; null for a line with only the last number, which changes nothing. */
    public static FeedEvent line(byte[] line) {
        Object value = Json.read(line);
        return value instanceof Number ? null : of(value);
    }

    /** Reads an event. */
    public static FeedEvent of(Object value) {
        Map<String, Object> event = Json.asObject(value, "event");
        long number = (long) Json.number(event, "n", -1);
        Object members = event.get("members");
        if (members == null) {
            return new FeedEvent(number, false, null);
        }
        Map<String, Object> change = Json.asObject(members, "members");
        List<Host> hosts = new ArrayList<>();
        for (Object host : Json.asList(change.get("hosts"), "hosts")) {
            hosts.add(host(Json.asObject(host, "host")));
        }
        return new FeedEvent(number, Boolean.TRUE.equals(change.get("whole")), hosts);
    }

    /** What the list is after these events, as one that tells all of it; engines that have ended are not in it. */
    public static FeedEvent standing(long number, List<FeedEvent> events) {
        Map<String, Host> standing = new LinkedHashMap<>();
        for (FeedEvent event : events) {
            if (event.hosts != null && event.whole) {
                standing.clear();
            }
            for (Host host : event.hosts == null ? List.<Host>of() : event.hosts) {
                if (host.state == State.TERMINATED) {
                    standing.remove(host.id);
                } else {
                    standing.put(host.id, host);
                }
            }
        }
        return new FeedEvent(number, true, List.copyOf(standing.values()));
    }

    private static Host host(Map<String, Object> host) {
        return new Host(Json.text(host, "host"), Json.text(host, "dial"), (String) host.getOrDefault("site", ""),
                (String) host.getOrDefault("class", ""), (int) Json.number(host, "block", 0),
                state(Json.text(host, "health")), Json.number(host, "share", 1),
                (long) Json.number(host, "born_ms", 0));
    }

    private static State state(String word) {
        return switch (word) {
            case "in_service" -> State.IN_SERVICE;
            case "terminating" -> State.TERMINATING;
            case "terminated" -> State.TERMINATED;
            default -> throw new ProtocolException("health is unknown: " + word);
        };
    }
}
