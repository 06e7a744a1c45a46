package cairnline.control;

import static cairnline.control.ScriptedFront.MILLI_NANOS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ScriptedFront.TestSettings;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;

class KeyQueueTest {
    private static final int LOAD_COUNT = 100_000;
    /** The stack of a thread in deploy/balancer.toml. */
    private static final int STACK_BYTES = 256 * 1_024;

    /** Guards against a stack overflow by the number of requests of one ordering key, of which all but one are refused at once. */
    @Test
    void refusesAllHopelessRequestsOfOneKeyWithTheStackOfTheDeployedProcess() throws Exception {
        FutureTask<Long> refusals = new FutureTask<>(KeyQueueTest::countRefusalsAfterASlowLoad);
        new Thread(null, refusals, "small stack", STACK_BYTES).start();
        assertEquals(LOAD_COUNT - 1, refusals.get());
    }

    private static long countRefusalsAfterASlowLoad() {
        TestSettings settings = new TestSettings();
        settings.serialByKey = true;
        ScriptedFront front = new ScriptedFront(settings);
        front.listEngines("e1");
        for (int i = 0; i < LOAD_COUNT; i++) {
            front.requestWithKey("load-" + i, 7);
        }
        // The first one leaves the others less time than any of them takes.
        front.now += 2_990 * MILLI_NANOS;
        front.finish("load-0", 0, "e1", AttemptStatus.OK, 2_900 * MILLI_NANOS);
        return front.countActions("refuse load-");
    }
}
