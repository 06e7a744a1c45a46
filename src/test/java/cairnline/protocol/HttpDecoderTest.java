package cairnline.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the HTTP/1.1 decoder and the joining of OData pages. */
class HttpDecoderTest {
    private static HttpDecoder decoderOf(String text) {
        HttpDecoder decoder = new HttpDecoder(200, 20);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (byte next : bytes) {
            decoder.feed(new byte[] {next}, 1);
        }
        return decoder;
    }

    @Test
    void readsBodiesWithContentLengthAndInChunks() {
        HttpDecoder decoder = decoderOf("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                + "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nde\r\n1\r\nf\r\n0\r\nT: 1\r\n\r\n"
                + "GET /c HTTP/1.1\r\n");
        assertEquals("abc", new String(decoder.next().body(), StandardCharsets.UTF_8));
        HttpMessage second = decoder.next();
        assertEquals("/b def", second.target() + " " + new String(second.body(), StandardCharsets.UTF_8));
        assertNull(decoder.next());
    }

    @Test
    void rejectsMessagesThatAreMalformedTooLongOrAmbiguous() {
        String[] bad = {"hello\r\n\r\n", "GET / HTTP/2\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: 21\r\n\r\n",
            "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "GET / HTTP/1.1\r\nA : b\r\n\r\n",
            "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n", "GET /" + "x".repeat(300)};
        for (String text : bad) {
            HttpDecoder decoder = new HttpDecoder(200, 20);
            decoder.feed(text.getBytes(StandardCharsets.UTF_8), text.length());
            assertThrows(ProtocolException.class, decoder::next, text);
        }
    }

    /** Guards against a body of unknown length being passed on empty. */
    @Test
    void endsBodyOfUnknownLengthWithTheInput() {
        HttpDecoder decoder = decoderOf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc");
        assertEquals(103, decoder.next().status());
        assertEquals(204, decoder.next().status());
        assertNull(decoder.next());
        assertEquals("abc", new String(decoder.endOfInput().body(), StandardCharsets.UTF_8));
        assertNull(decoder.endOfInput());
        assertNull(decoderOf("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab").endOfInput());
        assertNull(decoderOf("GET / HTTP/1.1\r\n").endOfInput());
    }

    @Test
    void joinsPagesInOrderAndLeavesSinglePageUnchanged() {
        ODataPages singlePage = new ODataPages();
        HttpMessage response = HttpMessage.response(200, "application/json", "{ \"value\":[1.50] }".getBytes());
        assertNull(singlePage.addPage(response));
        assertEquals("{ \"value\":[1.50] }", new String(singlePage.join().body(), StandardCharsets.UTF_8));
        ODataPages twoPages = new ODataPages();
        assertEquals("/Books?$skiptoken=2", twoPages.addPage(HttpMessage.response(200, "application/json",
                "{\"value\":[1.50],\"@odata.nextLink\":\"http://e/Books?$skiptoken=2\"}".getBytes())));
        assertNull(twoPages.addPage(HttpMessage.response(200, "application/json", "{\"value\":[2,3]}".getBytes())));
        assertEquals("{\"value\":[1.50,2,3]}", new String(twoPages.join().body(), StandardCharsets.UTF_8));
    }
}
