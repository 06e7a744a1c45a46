package cairnline.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Exchanges batches and replies with the simulator adapter as text. */
class SimHostTest {
    private static final String HELLO = "HELLO frontId=3 randomSeed=5 profiles.count=1 profiles.0.name=lookup "
            + "profiles.0.aimNs=600000000 profiles.0.deadlineNs=3000000000 profiles.0.worth=1.0 "
            + "profiles.0.semantics=pure permissions.tryLimit=3 shapes=std specifics.coresByKind=8 groupSize=1 "
            + "selfIndex=0 unheard.key=7\n";
    private static final String ENGINE_LIST = "INVENTORY sheet=0 rows=1\n"
            + "ENTRY cluster=0 nominal=1 status=1 engine=10.0.0.1:7000 flavor=std locality=a\n"
            + "REGISTRY frontId=3 kind=4 seqNo=1 sheet=0\n";

    private static String exchange(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimHost.serve(new BufferedReader(new StringReader(input)), out);
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String batch(long time, String events) {
        return "TURN atTimeNs=" + time + "\n" + events + "GO\n";
    }

    private static String request(String id) {
        return "NEW_REQUEST msgId=" + id + " frontId=3 type=lookup budgetNs=3000000000 stateBits=0 new=1\n";
    }

    @Test
    void assignsRequestAndAcceptsItsOutcome() throws IOException {
        String reply = exchange(batch(1000, HELLO + ENGINE_LIST) + batch(2000, request("rq_a"))
                + batch(80_002_000, "RETURNED frontId=3 msgId=rq_a attempt=0 engine=10.0.0.1:7000 how=10 rttNs=80000000"
                + " last=1 healthInfo=utilization:0.5,backlog:0,odd:3\n"));
        assertEquals("OK\nASSIGN frontId=3 msgId=rq_a engine=10.0.0.1:7000 capNs=0\nOK\nOK\n", reply);
    }

    @Test
    void answersEmptyBatch() throws IOException {
        assertEquals("OK\n", exchange(batch(5, "")));
    }

    @Test
    void resolvesInventoryNumbersInOrderOfEvents() throws IOException {
        String other = ENGINE_LIST.replace("10.0.0.1:7000", "10.0.0.2:7000").replace("kind=4", "kind=3");
        String reply = exchange(batch(1000, HELLO + ENGINE_LIST + request("rq_a") + other + request("rq_b")));
        assertTrue(reply.contains("msgId=rq_a engine=10.0.0.1:7000"), reply);
        assertTrue(reply.contains("msgId=rq_b engine=10.0.0.2:7000"), reply);
    }

    @Test
    void restartsInstanceWithinOneBatch() throws IOException {
        String reply = exchange(batch(1000, HELLO + ENGINE_LIST + request("rq_a"))
                + batch(2000, "EXIT frontId=3\n" + HELLO + ENGINE_LIST + request("rq_b")));
        assertEquals(2, reply.split("ASSIGN", -1).length - 1);
    }

    @Test
    void rejectsMalformedInput() {
        for (String input : new String[] {"TURN atTimeNs=1\n", "TURN atTimeNs=x\nGO\n", "TURN\nGO\n", "HI\n",
            batch(1, request("rq_a")), batch(1, HELLO + "REGISTRY frontId=3 kind=3 sheet=4\n"),
            batch(1, HELLO + "INVENTORY sheet=0 rows=2\n"), batch(1, HELLO + "NEW_REQUEST frontId=3 type=lookup\n"),
            batch(1, HELLO + "WHATEVER frontId=3\n")}) {
            assertThrows(WireException.class, () -> exchange(input), input);
        }
    }

    @Test
    void reportsFailureOfModuleAsCrash() throws IOException {
        String reply = exchange(batch(1000, HELLO + ENGINE_LIST + request("rq_a") + request("rq_a")));
        assertTrue(reply.contains("CRASH frontId=3 what="), reply);
    }

    @Test
    void rejectsContradictorySettings() {
        assertSettingsRejected("safety.spareAttempts=2 safety.extraPerRequest=0.1", "window");
        assertSettingsRejected("profiles.0.semantics=sometimes", "semantics");
        assertSettingsRejected("profiles.0.keyScope=planet", "keyScope");
    }

    private static void assertSettingsRejected(String settings, String word) {
        String hello = HELLO.replace("profiles.0.semantics=pure ", "").replace("\n", " " + settings + "\n");
        WireException e = assertThrows(WireException.class, () -> exchange(batch(1000, hello)));
        assertTrue(e.getMessage().contains(word), e.getMessage());
    }
}
