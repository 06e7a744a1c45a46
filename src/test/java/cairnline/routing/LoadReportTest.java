package cairnline.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.Load;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LoadReportTest {
    /** Reports under these names once told the module nothing of how busy an engine is and what it holds. */
    @Test
    void figuresAreReadByTheNamesOfTheSettings() {
        Load load = LoadReport.of(Map.of("utilization", 0.5, "outstanding", 7.0, "x0", 0.25, "x1", 0.1));
        assertEquals(new Load(0.5, Double.NaN, 7, 0.25, 0.1), load);
    }

    @Test
    void figuresAreReadByTheShortNamesToo() {
        Load load = LoadReport.of(Map.of("util", 0.5, "inflight", 7.0));
        assertEquals(0.5, load.utilization());
        assertEquals(7, load.inflight());
        assertTrue(Double.isNaN(load.memory()));
    }

    @Test
    void noReportTellsNothing() {
        assertEquals(Load.NONE, LoadReport.of(null));
    }
}
