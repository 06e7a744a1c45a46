package cairnline.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings that can't be used; all that is wrong with them, in the order of the file. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> faults;

    SettingsException(List<Problem> faults) {
        super(faults.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** All faults. */
    public List<Problem> faults() {
        return faults;
    }
}
