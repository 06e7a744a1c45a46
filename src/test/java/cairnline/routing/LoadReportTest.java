package cairnline.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnline.control.ControlApi.Load;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LoadReportTest {
    /**
     * Guards against a failure in which only the short names were read: reports with the names from the settings then left
     * the decision module without any load figures.
     */
    @Test
    void readsFiguresByNamesFromSettings() {
        Load load = LoadReport.of(Map.of("utilization", 0.5, "outstanding", 7.0, "x0", 0.25, "x1", 0.1));
        assertEquals(new Load(0.5, Double.NaN, 7, 0.25, 0.1), load);
    }

    @Test
    void readsFiguresByShortNames() {
        Load load = LoadReport.of(Map.of("util", 0.5, "inflight", 7.0));
        assertEquals(0.5, load.utilization());
        assertEquals(7, load.inflight());
        assertTrue(Double.isNaN(load.memory()));
    }

    @Test
    void returnsUnknownLoadWithoutReport() {
        assertEquals(Load.NONE, LoadReport.of(null));
    }
}
