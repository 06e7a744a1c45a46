package cairnline.program;

import cairnline.protocol.ClientFrames;
import java.util.HexFormat;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What only the platform's protocol has: pages, streams, and its own ways to be wrong. */
class PlatformProtocolTest {
    private static void play(String steps) throws Exception {
        Scenario.play(new PlatformProtocolFixture(), steps);
    }

    private static String request(long stream, Map<String, String> fields) {
        return HexFormat.of().formatHex(ClientFrames.request(stream, fields, new byte[0]));
    }

    @Test
    void pagesAreJoinedInOrderHoweverTheyCome() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                engine send r1 pages:3 a
                engine hear r1 page
                engine hear r1 page
                engine send r1 page:2 c
                engine send r1 page:1 b
                client a expect r1 served a|b|c""");
    }

    @Test
    void aSecondCopyOfAnAnswerOrAPageIsNoError() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                engine send r1 pages:3 a
                engine hear r1 page
                engine hear r1 page
                engine send r9 ok foreign
                engine send r1 pages:3 a
                engine send r1 page:1 b
                engine send r1 page:1 b
                engine send r1 page:2 c
                client a expect r1 served a|b|c""".replace("send r9", "send r9@r1"));
    }

    @Test
    void whatIsSpoiltIsNotPassedOnAndItsConnectionNotUsedFurther() throws Exception {
        for (String spoilt : new String[] {"noise x", "pages:900 a", "page:1 b", "ok a\tb\tc", "half a"}) {
            play("""
                    list e1 ready
                    client a send lookup r1
                    engine expect r1
                    engine send r1 %s
                    engine expect r1
                    engine send r1 ok good
                    client a expect r1 served good""".formatted(spoilt));
        }
    }

    @Test
    void aConnectionOnWhichAnEngineTellsNothingIsLeft() throws Exception {
        // Notes are due every second for each request that runs: without any of them its answer will not come either,
        // and what is too late for another attempt is answered long before its time is up.
        play("""
                engine mute
                list e1 ready
                client a send load r1 k 20000
                engine expect r1 key-of-r1
                client a expect r1 refused""");
    }

    @Test
    void aConnectionThatEndedWhileNothingWasOpenTakesNoRequestAlong() throws Exception {
        // Of one that is written there nobody could tell that it did not run.
        play("""
                list e1 ready
                client a send once r1
                engine expect r1
                engine send r1 ok one
                client a expect r1 served one
                engine close r1
                client a send once r2
                engine expect r2
                engine send r2 ok two
                client a expect r2 served two""");
    }

    @Test
    void aLostPageIsAnErrorThatMayHaveRun() throws Exception {
        play("""
                list e1 ready
                list e2 ready
                client a send load r1 k
                engine expect r1 key-of-r1
                engine send r1 pages:2 a
                engine hear r1 page
                engine send r1 error
                engine expect r1 key-of-r1
                engine send r1 ok b
                client a expect r1 served b""");
    }

    @Test
    void pagesThatNobodyWantsAreForgotten() throws Exception {
        // The second request passes the core after the hang-up, so that is known when the first answer comes.
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                client a close
                wait connections 0
                client b send lookup r2
                engine expect r2
                engine send r1 pages:3 a
                engine hear r1 forget
                engine send r2 ok two
                client b expect r2 served two""");
    }

    @Test
    void theAnswerToAnEarlierAttemptIsNotTakenForALaterOnes() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                engine keep r1 as old
                engine send r1 error
                engine expect r1
                engine send r1@old ok stale
                client b send lookup r2
                engine expect r2
                engine send r2 ok two
                client b expect r2 served two
                engine send r1 ok fresh
                client a expect r1 served fresh""");
    }

    @Test
    void anEngineIsToldOfTheAttemptThatIsGivenUp() throws Exception {
        // Without it the attempt counts as out, and the next load of its key as sent too early.
        play("""
                list e1 ready
                client a send load r1 k 1500
                engine expect r1
                client a expect r1 failed
                engine hear r1 undo
                client a send load r2 k
                engine expect r2
                engine send r2 ok two
                client a expect r2 served two""");
    }

    @Test
    void aRequestWithAKeyHasAllOfItsTime() throws Exception {
        // It once was answered up to a second earlier, for a client that may have held it back.
        play("""
                list e1 ready
                client a send load r1 k 2500
                engine expect r1
                client a send lookup r2 1800
                engine expect r2
                client a expect r2 failed
                client a expect r1 failed""");
    }

    @Test
    void aWithdrawnRequestGetsNoAnswer() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                client a raw 000000050200000001
                client a send lookup r2
                engine expect r2
                engine send r1 ok one
                engine send r2 ok two
                client a expect r2 served two
                wait stopped""");
    }

    @Test
    void framesThatCannotBeReadEndTheirConnectionAndNoOther() throws Exception {
        for (String frame : new String[] {"00000004", "00040001", "ffffffff", "000000050300000001"}) {
            play("""
                    list e1 ready
                    client b send lookup r1
                    engine expect r1
                    client a raw %s
                    client a expect - failed
                    client a expect - closed
                    engine send r1 ok one
                    client b expect r1 served one""".formatted(frame));
        }
    }

    @Test
    void openRequestsAreAnsweredThoughWhatFollowsThemCannotBeRead() throws Exception {
        // Length too small, too large, a type that is not a client's, a stream that was used.
        String used = request(1, Map.of("op", "lookup", "ttl", "1000", "call", "9b1f03aa5c7e2d41"));
        for (String frame : new String[] {"00000004", "00040001", "ffffffff", "000000050300000001", used}) {
            play("""
                    list e1 ready
                    client a send lookup r1
                    client a send report r2
                    engine expect r1+r2
                    client a raw %s
                    client a hear o
                    engine send r2 ok two
                    engine send r1 ok one
                    client a expect - failed
                    client a expect r2 served two
                    client a expect r1 served one
                    client a expect - closed""".formatted(frame));
        }
    }

    @Test
    void openRequestsAreAnsweredThoughTheFrameBehindThemIsNeverWhole() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                client a raw 000000ff00
                client a hear no whole frame in time
                engine send r1 ok one
                client a expect - failed
                client a expect r1 served one
                client a expect - closed""");
    }

    @Test
    void openRequestsAreAnsweredAfterTheirClientHasHalfClosed() throws Exception {
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                client a finish
                client b connect
                wait connections 2
                client b send lookup r2
                engine expect r2
                engine send r2 ok two
                client b expect r2 served two
                engine send r1 ok one
                client a expect r1 served one
                client a expect - closed""");
    }

    @Test
    void aNewStreamMayHaveASmallerNumberThanAnEarlierOne() throws Exception {
        String seven = request(7, Map.of("op", "nosuch", "ttl", "1000", "call", "9b1f03aa5c7e2d47"));
        play("""
                list e1 ready
                client a raw %s
                client a hear names no class
                client a send lookup r1
                engine expect r1
                engine send r1 ok one
                client a expect - failed
                client a expect r1 served one""".formatted(seven));
    }

    @Test
    void aFrameCutShortIsToldBeforeTheConnectionEnds() throws Exception {
        play("""
                client a raw 000000ff00
                client a finish
                client a hear the connection ended inside a frame
                client a expect - failed
                client a expect - closed""");
    }

    @Test
    void halfAFrameIsAnsweredThoughItsClientStays() throws Exception {
        play("""
                client a raw 000000ff00
                client a hear no whole frame in time
                client a expect - failed
                client a expect - closed""");
    }

    @Test
    void whatCannotBeReadIsNotReadForEver() throws Exception {
        play("""
                client a raw ffffffff
                client a flood""");
    }

    @Test
    void theIdOfAnOpenRequestServesNoOther() throws Exception {
        // Engines know requests by their id: two would share their answers.
        String other = request(1, Map.of("op", "lookup", "ttl", "1000", "call", PlatformProtocolFixture.id("r1")));
        play("""
                list e1 ready
                client a send lookup r1
                engine expect r1
                client b raw %s
                client b expect r1 failed
                engine send r1 ok one
                client a expect r1 served one""".formatted(other));
    }

    @Test
    void fieldsThatCannotBeUsedFailTheirRequestOnly() throws Exception {
        play("""
                list e1 ready
                client a send nosuch r1
                client a expect r1 failed
                client a raw %s
                client a hear call is missing
                client a raw %s
                client a hear dedupe is missing
                client a raw %s
                client a hear not new
                client b send lookup r2
                engine expect r2
                engine send r2 ok two
                client b expect r2 served two""".formatted(request(2, Map.of("op", "lookup", "ttl", "1000")),
                request(3, Map.of("op", "load", "ttl", "1000", "call", "9b1f03aa5c7e2d41")),
                request(3, Map.of("op", "lookup", "ttl", "1000", "call", "9b1f03aa5c7e2d41"))));
    }

    @Test
    void theThirtyThirdOpenRequestIsRefused() throws Exception {
        StringBuilder steps = new StringBuilder("list e1 ready\n");
        for (int i = 1; i <= 32; i++) {
            steps.append("client a send load r").append(i).append(" k\n");
        }
        steps.append("client a send lookup r33\nclient a expect r33 refused\nengine expect r1\nengine send r1 ok one\n")
                .append("client a expect r1 served one");
        play(steps.toString());
    }

    @Test
    void readinessNeedsTheListAndEndsWithTheProgram() throws Exception {
        String question = "00000006060000000700";
        play("""
                client a raw %s
                client a expect - ready0
                list e1 ready
                client b send lookup r1
                engine expect r1
                engine send r1 ok one
                client b expect r1 served one
                client a raw %s
                client a expect - ready1
                wait stopped
                client a hear %s
                client a raw %s
                client a expect - ready0""".formatted(question, question, "\u0005\t\u0000", question));
    }
}
