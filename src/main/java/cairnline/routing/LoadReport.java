package cairnline.routing;

import cairnline.control.ControlApi.Load;
import java.util.Map;

/**
 * An engine's report of its load in the module's terms. Engines name its figures as the settings do
 * ({@code loadReport.columns}); the protocol's pages give short names in their example, which count as well.
 */
final class LoadReport {
    private LoadReport() { }

    /** What a probe has brought, null if nothing; what is not named is not known. */
    static Load of(Map<String, Double> report) {
        if (report == null) {
            return Load.NONE;
        }
        return new Load(named(report, "utilization", "util"), Double.NaN, named(report, "outstanding", "inflight"),
                named(report, "x0", "x0"), named(report, "x1", "x1"));
    }

    private static double named(Map<String, Double> report, String settingsName, String pagesName) {
        Double value = report.get(settingsName);
        return value != null ? value : report.getOrDefault(pagesName, Double.NaN);
    }
}
