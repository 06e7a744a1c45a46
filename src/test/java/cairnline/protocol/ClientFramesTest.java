package cairnline.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the binary frame protocol of clients and the validation of its request fields. */
class ClientFramesTest {
    private static final Map<String, String> FIELDS =
            Map.of("op", "lookup", "call", "9b1f03aa5c7e2d41", "ttl", "1500");

    private static ClientRequest read(Map<String, String> fields, String body) {
        byte[] frame = ClientFrames.request(1, fields, body.getBytes(StandardCharsets.UTF_8));
        ClientFrames decoder = new ClientFrames(262_144);
        decoder.feed(frame, frame.length);
        return ClientRequest.read(ClientFrames.parseContent(decoder.next().payload()));
    }

    private static ClientRequest readWith(String name, String value) {
        Map<String, String> fields = new HashMap<>(FIELDS);
        fields.put(name, value);
        return read(fields, "");
    }

    @Test
    void returnsDroppedFrameOnceCompleteAndReadsTheNextOne() {
        byte[] large = ClientFrames.request(5, Map.of(), new byte[1_000]);
        byte[] next = ClientFrames.request(6, Map.of(), new byte[] {1});
        ClientFrames frames = new ClientFrames(2_000);
        frames.feed(large, 8);
        frames.dropPartialPayload();
        assertEquals(ByteQueue.SEGMENT_BYTES, frames.heldBytes(), "the stream number has not been received yet");
        frames.feed(Arrays.copyOfRange(large, 8, 500), 492);
        frames.dropPartialPayload();
        assertEquals(0, frames.heldBytes());
        assertTrue(frames.hasPartialInput());
        assertNull(frames.next());
        byte[] remainder = Arrays.copyOfRange(large, 500, large.length + next.length);
        System.arraycopy(next, 0, remainder, large.length - 500, next.length);
        frames.feed(remainder, remainder.length);
        ClientFrames.Frame dropped = frames.next();
        assertEquals(5, dropped.stream());
        assertTrue(dropped.payloadDropped());
        assertEquals(6, frames.next().stream());
        assertNull(frames.next());
    }

    @Test
    void readsFrameWhoseBytesArriveOneByOne() {
        byte[] encoded = ClientFrames.frame(2, 7, new byte[] {1, 2, 3});
        ClientFrames decoder = new ClientFrames(262_144);
        for (int i = 0; i < encoded.length - 1; i++) {
            decoder.feed(new byte[] {encoded[i]}, 1);
            assertNull(decoder.next());
        }
        decoder.feed(new byte[] {encoded[encoded.length - 1]}, 1);
        ClientFrames.Frame frame = decoder.next();
        assertEquals("2 7", frame.type() + " " + frame.stream());
        assertArrayEquals(new byte[] {1, 2, 3}, frame.payload());
        assertNull(decoder.next());
    }

    @Test
    void rejectsLengthOutOfRangeBeforeThePayloadArrives() {
        for (byte[] length : new byte[][] {{0, 0, 0, 4}, {0, 4, 0, 1}, {-1, -1, -1, -1}}) {
            ClientFrames decoder = new ClientFrames(262_144);
            decoder.feed(length, 4);
            assertThrows(ProtocolException.class, decoder::next);
        }
        ClientFrames largest = new ClientFrames(262_144);
        largest.feed(new byte[] {0, 4, 0, 0}, 4);
        assertNull(largest.next());
    }

    @Test
    void rejectsFieldsThatExceedThePayload() {
        for (byte[] payload : new byte[][] {{1}, {1, 5, 'a'}, {1, 1, 'a', 0}, {1, 1, 'a', 0, 9, 'b'}}) {
            assertThrows(ProtocolException.class, () -> ClientFrames.parseContent(payload));
        }
    }

    @Test
    void readsFieldsAndBodyOfRequest() {
        ClientRequest request = read(FIELDS, "select 1\tfrom sales_17.orders");
        assertEquals("9b1f03aa5c7e2d41 lookup 1500 17", request.id() + " " + request.type() + " " + request.ttlMs()
                + " " + SchemaGroup.of(request.statement()));
        assertEquals("select 1\tfrom sales_17.orders", new String(request.statement(), StandardCharsets.UTF_8));
        assertEquals(820_500, readWith("work", "820.5").workMicros());
    }

    @Test
    void namesTheInvalidFieldInTheError() {
        String[][] bad = {{"ttl", "0"}, {"ttl", "soon"}, {"call", "123"}, {"call", "9b1f03aa5c7e2dzz"},
            {"work", "NaN"}, {"heap", "-1"}, {"dedupe", "a,b"}, {"dedupe", "a=b"}, {"row", "xyz"}};
        for (String[] field : bad) {
            ProtocolException e = assertThrows(ProtocolException.class, () -> readWith(field[0], field[1]));
            assertEquals(field[0], e.getMessage().split(" ")[0]);
        }
    }
}
