package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.protocol.HttpDecoder;
import cairnline.protocol.HttpMessage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Replays recordings against a scripted server and checks the requests it receives and the printed report. */
class RehearsalTest {
    private static final String HAR = """
            {"log":{"version":"1.2","creator":{"name":"x"},"entries":[
             {"startedDateTime":"2026-11-30T10:00:00.000Z","time":3,"request":{"method":"GET",
              "url":"https://user:pw@shop.example/v4/Books(1)?$select=Title&access_token=s3cret","headers":[
              {"name":"Cookie","value":"s3cret"},{"name":"Authorization","value":"Bearer s3cret"},
              {"name":"Accept","value":"application/json"}]},"response":{"content":{"text":"s3cret"}}},
             {"startedDateTime":"soon","request":{"method":"GET","url":"/v4/Books","headers":[]}},
             {"startedDateTime":"2026-11-30T10:00:00.200Z","request":{"method":"PATCH","url":"/v4/Books(1)",
              "headers":[{"name":"Content-Type","value":"application/json"}],"postData":{"text":"{}"}}}]}}
            """;

    @TempDir
    Path folder;

    private final List<HttpMessage> receivedRequests = Collections.synchronizedList(new ArrayList<>());

    /** Starts a server that gives each request this answer, or closes the connection if it is empty. */
    private ServerSocket startServer(String answer) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    serveConnection(server.accept(), answer);
                }
            } catch (IOException e) {
                // Closed by the test.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    private void serveConnection(Socket socket, String answer) throws IOException {
        HttpDecoder decoder = new HttpDecoder(10_000, 10_000);
        while (true) {
            byte[] nextByte = socket.getInputStream().readNBytes(1);
            if (nextByte.length == 0) {
                return;
            }
            decoder.feed(nextByte, 1);
            HttpMessage request = decoder.next();
            if (request != null) {
                receivedRequests.add(request);
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                if (answer.isEmpty()) {
                    socket.close();
                    return;
                }
            }
        }
    }

    private String replay(String option, String recording, String answer, String... moreOptions) throws Exception {
        Path file = Files.writeString(folder.resolve("recording"), recording);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (ServerSocket server = startServer(answer)) {
            List<String> args = new ArrayList<>(List.of("rehearse", option, file.toString(), "--to",
                    "127.0.0.1:" + server.getLocalPort(), "--speed", "1000", "--connections", "1"));
            args.addAll(List.of(moreOptions));
            new Rehearsal(RehearsalOptions.parse(args.toArray(String[]::new)), new PrintStream(out)).run();
        }
        return out.toString(StandardCharsets.UTF_8).replaceAll(" +", " ");
    }

    @Test
    void replaysHarFileWithoutCredentialsAndWrites() throws Exception {
        String report = replay("--har", HAR, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "--strip", "/v4");
        assertEquals(1, receivedRequests.size());
        assertEquals("GET /Books(1)?$select=Title", receivedRequests.get(0).method() + " " + receivedRequests.get(0).target());
        assertEquals("application/json", receivedRequests.get(0).header("accept"));
        assertFalse(new String(receivedRequests.get(0).encode(), StandardCharsets.UTF_8).contains("s3cret"));
        assertTrue(report.contains("read 1 1 0 0 0 0"), report);
        assertTrue(report.contains("1 writes left out"), report);
        assertTrue(report.contains("entry 2: startedDateTime is no time: soon"), report);
    }

    @Test
    void sendsWritesOnlyWithOption() throws Exception {
        String report = replay("--har", HAR, "HTTP/1.1 204 No Content\r\n\r\n", "--writes");
        assertEquals(List.of("GET", "PATCH"), receivedRequests.stream().map(HttpMessage::method).toList());
        assertTrue(report.contains("write 1 1 0 0 0 0"), report);
    }

    @Test
    void replaysAccessLogAndReportsUnusableLines() throws Exception {
        String report = replay("--access-log", """
                10.0.0.1 - - [30/Nov/2026:10:00:00 +0000] "GET /Books(1) HTTP/1.1" 200 12
                nonsense
                10.0.0.1 - bob [30/Nov/2026:10:00:01 +0000] "GET /Books?$top=3 HTTP/1.1" 200 12 "-" "agent 1.0"
                10.0.0.1 - - [never] "GET /Books HTTP/1.1" 200 12
                """, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n");
        assertEquals(List.of("/Books(1)", "/Books?$top=3"), receivedRequests.stream().map(HttpMessage::target).toList());
        assertTrue(report.contains("read 2 0 2 0 0 0"), report);
        assertTrue(report.contains("2 of the recording could not be used"), report);
        assertTrue(report.contains("line 2: ") && report.contains("line 4: "), report);
    }

    @Test
    void reportsRuleViolationsSeparatelyFromFailures() throws Exception {
        String log = "10.0.0.1 - - [30/Nov/2026:10:00:00 +0000] \"GET /Books(1) HTTP/1.1\" 200 12\n";
        String[][] answersAndReports = {{"", "read 1 0 0 1 0 1"},
            {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "read 1 0 1 0 0 1"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", "read 1 0 0 1 0 1"},
            {"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", "read 1 0 0 1 0 0"}};
        for (String[] answerAndReport : answersAndReports) {
            String report = replay("--access-log", log, answerAndReport[0]);
            assertTrue(report.contains(answerAndReport[1]), report);
        }
    }

    @Test
    void rejectsNonLoopbackTargetsAndInvalidRecordings() throws Exception {
        assertThrows(ConfigurationException.class, () -> RehearsalOptions.parse(
                new String[] {"rehearse", "--har", "x", "--to", "10.1.2.3:80"}));
        assertThrows(ConfigurationException.class, () -> RehearsalOptions.parse(new String[] {"rehearse", "--har", "x"}));
        for (String invalidHar : new String[] {"[]", "{\"log\":{}}", "no json"}) {
            ConfigurationException e =
                    assertThrows(ConfigurationException.class, () -> replay("--har", invalidHar, "x"));
            assertTrue(e.getMessage().startsWith("--har: "), e.getMessage());
        }
        ConfigurationException truncated = assertThrows(ConfigurationException.class,
                () -> replay("--har", HAR.substring(0, 300), "HTTP/1.1 204 No Content\r\n\r\n"));
        assertTrue(truncated.getMessage().startsWith("--har: "), truncated.getMessage());
    }
}
