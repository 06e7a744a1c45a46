package cairnline.settings;

/** A position in a settings file; lines and columns are counted from 1. */
public record SourcePosition(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
