package cairnline.settings;

/** Where something stands: lines and columns count from 1. */
public record SourcePosition(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
