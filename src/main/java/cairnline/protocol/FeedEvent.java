package cairnline.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A numbered event of the control feed.
 *
 * @param number sequence number of the event
 * @param complete whether {@code engines} replaces the engine list instead of updating it
 * @param engines entries of the engine list; null if the event does not change it
 */
public record FeedEvent(long number, boolean complete, List<EngineEntry> engines) {
    /** State of an engine as the feed reports it. */
    public enum State { IN_SERVICE, TERMINATING, TERMINATED }

    /**
     * An entry of the engine list as the feed reports it.
     *
     * @param kind machine type; empty if unknown
     * @param cell number of the cell to which the engine belongs; engines may recognise an idempotency key only within one cell
     * @param weight size of the engine relative to others
     * @param startedAtMillis start time in Unix milliseconds; 0 if unknown
     */
    public record EngineEntry(String id, String address, String zone, String kind, int cell, State state, double weight,
                              long startedAtMillis) { }

    /** Parses a line of the feed; returns null for a line with only the last event number, which changes nothing. */
    public static FeedEvent parseLine(byte[] line) {
        Object value = Json.read(line);
        return value instanceof Number ? null : parse(value);
    }

    /** Parses a line with only the last event number; throws {@link ProtocolException} for any other line. */
    public static long parseLastNumber(byte[] line) {
        if (Json.read(line) instanceof Number number) {
            return number.longValue();
        }
        throw new ProtocolException("the line is not an event number");
    }

    /** Creates an event from parsed JSON; throws {@link ProtocolException} if it is malformed. */
    public static FeedEvent parse(Object value) {
        Map<String, Object> event = Json.asObject(value, "event");
        long number = (long) Json.number(event, "n", -1);
        Object members = event.get("members");
        if (members == null) {
            return new FeedEvent(number, false, null);
        }
        Map<String, Object> change = Json.asObject(members, "members");
        List<EngineEntry> engines = new ArrayList<>();
        for (Object entry : Json.asList(change.get("hosts"), "hosts")) {
            engines.add(entry(Json.asObject(entry, "host")));
        }
        return new FeedEvent(number, Boolean.TRUE.equals(change.get("whole")), engines);
    }

    /** Returns the engine list after these events as one complete event, without terminated engines. */
    public static FeedEvent currentList(long number, List<FeedEvent> events) {
        Map<String, EngineEntry> currentList = new LinkedHashMap<>();
        for (FeedEvent event : events) {
            if (event.engines != null && event.complete) {
                currentList.clear();
            }
            for (EngineEntry entry : event.engines == null ? List.<EngineEntry>of() : event.engines) {
                if (entry.state == State.TERMINATED) {
                    currentList.remove(entry.id);
                } else {
                    currentList.put(entry.id, entry);
                }
            }
        }
        return new FeedEvent(number, true, List.copyOf(currentList.values()));
    }

    private static EngineEntry entry(Map<String, Object> entry) {
        return new EngineEntry(Json.text(entry, "host"), Json.text(entry, "dial"), (String) entry.getOrDefault("site", ""),
                (String) entry.getOrDefault("class", ""), (int) Json.number(entry, "block", 0),
                state(Json.text(entry, "health")), Json.number(entry, "share", 1),
                (long) Json.number(entry, "born_ms", 0));
    }

    private static State state(String word) {
        return switch (word) {
            case "in_service" -> State.IN_SERVICE;
            case "terminating" -> State.TERMINATING;
            case "terminated" -> State.TERMINATED;
            default -> throw new ProtocolException("unknown value of health: " + word);
        };
    }
}
