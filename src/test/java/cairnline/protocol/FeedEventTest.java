package cairnline.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests parsing of control feed events and the engine list that results from a sequence of them. */
class FeedEventTest {
    private static String entry(String id, int port, String health) {
        return "{\"host\":\"" + id + "\",\"dial\":\"127.0.0.1:" + port + "\",\"health\":\"" + health + "\"}";
    }

    private static FeedEvent event(int number, boolean complete, String... entries) {
        return FeedEvent.parseLine(("{\"n\":" + number + ",\"members\":{\"seq\":" + number + ",\"whole\":" + complete
                + ",\"hosts\":[" + String.join(",", entries) + "]}}").getBytes(StandardCharsets.UTF_8));
    }

    private static String currentList(FeedEvent... events) {
        FeedEvent currentList = FeedEvent.currentList(events.length, List.of(events));
        return currentList.engines().stream().map(entry -> entry.id() + "@" + entry.address().substring(10) + " " + entry.state())
                .collect(Collectors.joining(", "));
    }

    @Test
    void currentListHoldsTheLastStateOfEachEngine() {
        assertEquals("a@1 TERMINATING, b@2 IN_SERVICE", currentList(event(1, true, entry("a", 1, "in_service")),
                event(2, false, entry("b", 2, "in_service")), event(3, false, entry("a", 1, "terminating"))));
        assertEquals("b@2 IN_SERVICE", currentList(event(1, true, entry("a", 1, "in_service"), entry("b", 2, "in_service")),
                event(2, false, entry("a", 1, "terminated"))));
        assertEquals("c@3 IN_SERVICE", currentList(event(1, true, entry("a", 1, "in_service")),
                event(2, true, entry("c", 3, "in_service"))));
    }

    @Test
    void laterEntryReplacesContradictingEarlierEntry() {
        assertEquals("a@2 IN_SERVICE", currentList(event(1, true, entry("a", 1, "terminating"), entry("a", 2, "in_service"))));
        assertEquals("a@1 IN_SERVICE, b@1 IN_SERVICE", currentList(event(1, true, entry("a", 1, "in_service"),
                entry("b", 1, "in_service"))), "both engines stay listed; probes show which of the two runs at the address");
        assertEquals("", currentList(event(1, false, entry("never", 1, "terminated"))));
        assertEquals("", currentList(event(1, true)));
    }

    @Test
    void readsListOfTenThousandEngines() {
        String[] entries = IntStream.range(0, 10_000).mapToObj(i -> entry("s-" + i, 1 + i, "in_service")).toArray(String[]::new);
        assertEquals(10_000, FeedEvent.currentList(1, List.of(event(1, true, entries))).engines().size());
    }

    @Test
    void rejectsTruncatedEvent() {
        byte[] line = "{\"n\":1,\"members\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"a\""
                .getBytes(StandardCharsets.UTF_8);
        assertThrows(ProtocolException.class, () -> FeedEvent.parseLine(line));
    }
}
