package cairnline.settings;

/**
 * An error in a settings file.
 *
 * @param position position in the file
 * @param key path of the setting; empty if the error belongs to none
 * @param found what is wrong
 * @param allowed what would be valid; empty if unspecified
 */
public record Problem(SourcePosition position, String key, String found, String allowed) {
    @Override
    public String toString() {
        return position + ": " + (key.isEmpty() ? "" : key + ": ") + found
                + (allowed.isEmpty() ? "" : "; allowed: " + allowed);
    }
}
