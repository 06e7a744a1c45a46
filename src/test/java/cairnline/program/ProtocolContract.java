package cairnline.program;

import org.junit.jupiter.api.Test;

/** The rules of the service as scenarios; the contract test of each protocol runs all of them unchanged. */
abstract class ProtocolContract {
    /** Returns the protocol under test with a front that accepts at most {@code maxClients} concurrent connections. */
    abstract ProtocolFixture fixture(int maxClients);

    private void play(String steps) throws Exception {
        Scenario.play(fixture(Integer.MAX_VALUE), steps);
    }

    @Test
    void servesEachRequestOnceWithItsRows() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1 -
                engine send r1 ok one
                client a expect r1 served one
                client a send report r2
                engine expect r2
                engine send r2 ok two
                client a expect r2 served two
                wait stopped""");
    }

    @Test
    void retriesAfterConnectionIsRefused() throws Exception {
        play("""
                list e1 down
                list e2 ready
                client a send load r1 k
                engine expect r1 key-of-r1
                engine send r1 ok one
                client a expect r1 served one""");
    }

    @Test
    void retriesAfterEngineReportsFull() throws Exception {
        play("""
                list e1 ready
                list e2 ready
                client a send load r1 k
                engine expect r1 key-of-r1
                engine send r1 full
                engine expect r1 key-of-r1
                engine send r1 ok one
                client a expect r1 served one""");
    }

    @Test
    void retriesAfterResetWithSameIdempotencyKey() throws Exception {
        play("""
                list e1 ready
                list e2 ready
                client a send load r1 k
                engine expect r1 key-of-r1
                engine close r1
                engine expect r1 key-of-r1
                engine send r1 ok one
                client a expect r1 served one""");
    }

    @Test
    void sendsLoadsOfOneKeyOneAtATimeInOrderOfArrival() throws Exception {
        // That r2 is held back shows in what the engines receive next: lookup r3, which arrived after it.
        play("""
                list e1 ready
                list e2 ready
                client a send load r1 k
                engine expect r1
                client b send load r2 k
                client c send lookup r3
                engine expect r3
                engine send r3 ok three
                client c expect r3 served three
                engine send r1 ok one
                client a expect r1 served one
                engine expect r2
                engine send r2 ok two
                client b expect r2 served two""");
    }

    @Test
    void sendsLoadsOfDifferentKeysConcurrently() throws Exception {
        play("""
                list e1 ready
                client a send load r1 k
                engine expect r1
                client b send load r2 m
                engine expect r2
                engine send r2 ok two
                client b expect r2 served two
                engine send r1 ok one
                client a expect r1 served one""");
    }

    @Test
    void sendsNoNewRequestToDrainingEngine() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1 at e1
                list e1 draining
                list e2 ready
                client b send lookup r2
                engine expect r2 at e2
                client c send lookup r3
                engine expect r3 at e2
                engine send r1 ok one
                client a expect r1 served one
                engine send r2 ok two
                client b expect r2 served two
                engine send r3 ok three
                client c expect r3 served three""");
    }

    @Test
    void treatsReusedAddressAsNewEngineAndAcceptsAnswersOfOldOne() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                list e1 gone
                list e2@e1 ready
                client b send lookup r2
                engine expect r2
                engine send r1 ok one
                client a expect r1 served one
                engine send r2 ok two
                client b expect r2 served two""");
    }

    @Test
    void refusesRequestWhenAllEnginesAreDraining() throws Exception {
        play("""
                list e1 draining
                client a send lookup r1 1000
                client a expect r1 refused
                list e2 ready
                client b send lookup r2
                engine expect r2 at e2
                engine send r2 ok two
                client b expect r2 served two""");
    }

    @Test
    void failsRequestBeforeClientTimeoutAndIgnoresLateAnswer() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1 1000
                engine expect r1
                client a expect r1 failed
                engine send r1 ok late
                client a send lookup r2
                engine expect r2
                engine send r2 ok two
                client a expect r2 served two""");
    }

    @Test
    void abandonsRequestOfDisconnectedClientAndServesOthers() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                client b send lookup r2
                engine expect r2
                client a close
                wait connections 1
                engine send r1 ok one
                engine send r2 ok two
                client b expect r2 served two
                wait stopped""");
    }

    @Test
    void closesConnectionOfSilentClientAndServesOthers() throws Exception {
        play("""
                list e1 ready
                client b send lookup r1
                engine expect r1
                client a connect
                client a expect - failed
                client a expect - closed
                engine send r1 ok one
                client b expect r1 served one""");
    }

    @Test
    void rejectsNewClientWhenAllOthersAwaitAnswers() throws Exception {
        Scenario.play(fixture(1), """
                list e1 ready
                client a send lookup r1
                engine expect r1
                client b connect
                client b hear too many connections
                engine send r1 ok one
                client a expect r1 served one""");
    }

    @Test
    void answersAcceptedRequestsDuringShutdown() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1 1000
                engine expect r1
                wait stopped
                client a expect r1 failed""");
    }

    @Test
    void refusesRequestsAfterShutdown() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                engine send r1 ok one
                client a expect r1 served one
                wait stopped
                client a send lookup r2
                client a expect r2 refused""");
    }
}
