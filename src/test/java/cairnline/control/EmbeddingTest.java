package cairnline.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnline.control.ScriptedFront.TestSettings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The minimum of a front: report the engine list, a request and its outcome, and carry out the actions. */
class EmbeddingTest {
    @Test
    void sendsRequestToListedEngine() {
        ScriptedFront front = new ScriptedFront(new TestSettings());
        front.listEngines("engine-1");
        front.request("query-1", "small");
        assertEquals(List.of("send query-1 engine-1"), front.newActions());
        front.advance(80 * ScriptedFront.MILLI_NANOS);
        front.finish("query-1", 0, "engine-1", ControlApi.AttemptStatus.OK, 80 * ScriptedFront.MILLI_NANOS);
        assertEquals(List.of(), front.newActions());
    }
}
