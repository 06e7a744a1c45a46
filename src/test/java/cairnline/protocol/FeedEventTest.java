package cairnline.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class FeedEventTest {
    private static String host(String id, int port, String health) {
        return "{\"host\":\"" + id + "\",\"dial\":\"127.0.0.1:" + port + "\",\"health\":\"" + health + "\"}";
    }

    private static FeedEvent event(int number, boolean whole, String... hosts) {
        return FeedEvent.parseLine(("{\"n\":" + number + ",\"members\":{\"seq\":" + number + ",\"whole\":" + whole + ",\"hosts\":["
                + String.join(",", hosts) + "]}}").getBytes(StandardCharsets.UTF_8));
    }

    private static String standing(FeedEvent... events) {
        FeedEvent standing = FeedEvent.currentList(events.length, List.of(events));
        return standing.engines().stream().map(host -> host.id() + "@" + host.address().substring(10) + " " + host.state())
                .collect(Collectors.joining(", "));
    }

    @Test
    void whatStandsIsTheLastWordOnEachEngine() {
        assertEquals("a@1 TERMINATING, b@2 IN_SERVICE", standing(event(1, true, host("a", 1, "in_service")),
                event(2, false, host("b", 2, "in_service")), event(3, false, host("a", 1, "terminating"))));
        assertEquals("b@2 IN_SERVICE", standing(event(1, true, host("a", 1, "in_service"), host("b", 2, "in_service")),
                event(2, false, host("a", 1, "terminated"))));
        assertEquals("c@3 IN_SERVICE", standing(event(1, true, host("a", 1, "in_service")),
                event(2, true, host("c", 3, "in_service"))));
    }

    @Test
    void listsThatContradictThemselvesAreTakenAtTheirLastWord() {
        assertEquals("a@2 IN_SERVICE", standing(event(1, true, host("a", 1, "terminating"), host("a", 2, "in_service"))));
        assertEquals("a@1 IN_SERVICE, b@1 IN_SERVICE", standing(event(1, true, host("a", 1, "in_service"),
                host("b", 1, "in_service"))), "which of two at one address is there shows when they are asked");
        assertEquals("", standing(event(1, false, host("never", 1, "terminated"))));
        assertEquals("", standing(event(1, true)));
    }

    @Test
    void tenThousandEnginesAreOneList() {
        String[] hosts = IntStream.range(0, 10_000).mapToObj(i -> host("s-" + i, 1 + i, "in_service")).toArray(String[]::new);
        assertEquals(10_000, FeedEvent.currentList(1, List.of(event(1, true, hosts))).engines().size());
    }

    @Test
    void anEventThatEndsInTheMiddleIsAnError() {
        byte[] line = "{\"n\":1,\"members\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"a\"".getBytes(StandardCharsets.UTF_8);
        assertThrows(ProtocolException.class, () -> FeedEvent.parseLine(line));
    }
}
