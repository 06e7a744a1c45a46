package cairnline.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings that can't be used; all that is wrong with them, in the order of the file. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Fault> faults;

    SettingsException(List<Fault> faults) {
        super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** All faults. */
    public List<Fault> faults() {
        return faults;
    }
}
