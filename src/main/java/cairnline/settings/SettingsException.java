package cairnline.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for invalid settings. The message lists all problems, one per line. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    SettingsException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns all problems. */
    public List<Problem> problems() {
        return problems;
    }
}
