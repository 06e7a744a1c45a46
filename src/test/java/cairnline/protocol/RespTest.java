package cairnline.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the RESP codec, messages from engines and the schema group of a statement. */
class RespTest {
    private static List<String> read(Resp resp) {
        List<byte[]> parts = resp.next();
        return parts == null ? null : parts.stream().map(p -> new String(p, StandardCharsets.UTF_8)).toList();
    }

    @Test
    void readsArrayWhoseBytesArriveOneByOne() {
        byte[] bytes = Resp.stringArray("id", "ACK", "parts=2", "a\r\nb");
        Resp resp = new Resp(8, 100);
        for (int i = 0; i < bytes.length - 1; i++) {
            resp.feed(new byte[] {bytes[i]}, 1);
            assertNull(resp.next());
        }
        resp.feed(new byte[] {bytes[bytes.length - 1]}, 1);
        assertEquals(List.of("id", "ACK", "parts=2", "a\r\nb"), read(resp));
        assertNull(resp.next());
    }

    @Test
    void rejectsMalformedAndOversizedArrays() {
        for (String text : new String[] {"+OK\r\n", "*9\r\n", "*1\r\n$101\r\n", "*1\r\n$x\r\n", "*1\r\n$1\r\nabc",
            "*12345678901234567890"}) {
            Resp resp = new Resp(8, 100);
            resp.feed(text.getBytes(StandardCharsets.UTF_8), text.length());
            assertThrows(ProtocolException.class, resp::next, text);
        }
    }

    @Test
    void readsFieldsAndLoadReport() {
        EngineMessage message = EngineMessage.parse(List.of("t".getBytes(StandardCharsets.UTF_8),
                "READY".getBytes(StandardCharsets.UTF_8),
                "report=inflight:7;util:0.61".getBytes(StandardCharsets.UTF_8)));
        assertEquals(Map.of("inflight", 7.0, "util", 0.61), message.loadReport());
        assertThrows(ProtocolException.class, () -> Resp.fields("novalue"));
        assertEquals("-", Resp.fields(Map.of()));
    }

    @Test
    void rejectsWellFormedArrayThatIsNotAValidMessage() {
        String[][] bad = {{"1", "ACK", "parts=1"}, {"1", "NOISE", "-", ""}, {"1"}, {"1", "ACK", "parts=1,work", ""}};
        for (String[] parts : bad) {
            assertThrows(ProtocolException.class, () -> message(parts), String.join(" ", parts));
        }
        for (String number : new String[] {"many", "NaN", "-1", "1e300", "Infinity", ""}) {
            assertThrows(ProtocolException.class, () -> message("1", "ACK", "parts=" + number, "").pageCount(), number);
        }
    }

    @Test
    void acceptsOnlyCompleteRowsOfThreeColumns() {
        for (String rows : new String[] {"", "a\tb\tc\n", "\t\t\n\t\t\n"}) {
            assertTrue(EngineMessage.isRows(rows.getBytes(StandardCharsets.UTF_8)), rows);
        }
        for (String rows : new String[] {"a", "a\tb\tc", "a\tb\n", "a\tb\tc\td\n", "a\tb\tc\n\n", "a\tb\0\tc\n"}) {
            assertFalse(EngineMessage.isRows(rows.getBytes(StandardCharsets.UTF_8)), rows);
        }
    }

    private static EngineMessage message(String... parts) {
        Resp resp = new Resp(4, 100);
        byte[] bytes = Resp.stringArray(parts);
        resp.feed(bytes, bytes.length);
        return EngineMessage.parse(resp.next());
    }

    @Test
    void findsSchemaGroupBesideStringsCommentsAndQuotedNames() {
        Map<String, Integer> groups = Map.of(
                "select * from sales_17.orders", 17,
                "insert into staging.orders_5 select * from sales_3.orders", 3,
                "select 'stock_9.x' from sales_4.t", 4,
                "select 'it''s stock_9.x' from sales_4.t", 4,
                "-- stock_9.x\nselect 1 from sales_5.t", 5,
                "/* stock_9.x /* nested */ stock_8.x */ select 1 from sales_6.t", 6,
                "select 1 from \"sales_7\".\"t\"", 7,
                "select orders_5 from staging.t", -1,
                "select 1", -1);
        groups.forEach((statement, group) -> assertEquals(group, SchemaGroup.of(statement.getBytes(StandardCharsets.UTF_8)), statement));
    }
}
