package cairnline.program;

import org.junit.jupiter.api.Test;

/** The rules, told as scenarios; each wire's test runs them all unchanged. */
abstract class ProtocolContract {
    /** A wire whose front takes so many clients at once. */
    abstract ProtocolFixture wire(int mostClients);

    private void play(String steps) throws Exception {
        Scenario.play(wire(Integer.MAX_VALUE), steps);
    }

    @Test
    void aRequestIsServedOnceWithItsRows() throws Exception {
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
    void aRefusedConnectionProvesThatNothingRan() throws Exception {
        play("""
                list e1 down
                list e2 ready
                client a send load r1 k
                engine expect r1 key-of-r1
                engine send r1 ok one
                client a expect r1 served one""");
    }

    @Test
    void anEngineThatIsFullNeverRanIt() throws Exception {
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
    void aResetMayHaveRunSoTheRepeatBearsTheSameKey() throws Exception {
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
    void loadsOfOneKeyGoOneAtATimeInTheOrderTaken() throws Exception {
        // What must not go is shown by what goes next: the lookup that came after it.
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
    void loadsOfOtherKeysDoNotWait() throws Exception {
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
    void nothingNewGoesToAnEngineThatDrains() throws Exception {
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
    void aReusedAddressIsANewEngineAndWhatIsOutAtTheOldOneMayStillEnd() throws Exception {
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
    void withOnlyDrainingEnginesARequestIsAnsweredAndNotSent() throws Exception {
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
    void silenceIsAnsweredBeforeTheClientGivesUpAndItsLateEndIsNobodys() throws Exception {
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
    void aHangUpGivesTheRequestUpAndHarmsNobody() throws Exception {
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
    void aClientThatSaysNothingIsLeftAndHarmsNobody() throws Exception {
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
    void whereAllWaitForAnswersTheNewcomerIsTurnedAway() throws Exception {
        Scenario.play(wire(1), """
                list e1 ready
                client a send lookup r1
                engine expect r1
                client b connect
                client b hear too many connections
                engine send r1 ok one
                client a expect r1 served one""");
    }

    @Test
    void whatWasTakenIsAnsweredAfterTheProgramIsToldToStop() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1 1000
                engine expect r1
                wait stopped
                client a expect r1 failed""");
    }

    @Test
    void whatComesOnceNoMoreIsTakenDoesNotKeepTheProgramFromItsEnd() throws Exception {
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
