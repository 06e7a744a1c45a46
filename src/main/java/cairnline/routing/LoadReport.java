package cairnline.routing;

import cairnline.control.ControlApi.Load;
import java.util.Map;

/**
 * Converts an engine's load report to the decision module's {@link Load}. Engines name the figures as in the settings
 * ({@code loadReport.columns}); the short names from the example in the protocol documentation are accepted too.
 */
final class LoadReport {
    private LoadReport() { }

    /** Converts the report of a probe; null if there is none. Figures that are missing become NaN. */
    static Load of(Map<String, Double> report) {
        if (report == null) {
            return Load.NONE;
        }
        return new Load(figure(report, "utilization", "util"), Double.NaN, figure(report, "outstanding", "inflight"),
                figure(report, "x0", "x0"), figure(report, "x1", "x1"));
    }

    private static double figure(Map<String, Double> report, String settingsName, String shortName) {
        Double value = report.get(settingsName);
        return value != null ? value : report.getOrDefault(shortName, Double.NaN);
    }
}
