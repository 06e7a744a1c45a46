package cairnline.settings;

/** One thing that is wrong: where, at which key, what was found and what is allowed (empty where that says nothing). */
public record Problem(SourcePosition place, String key, String found, String allowed) {
    @Override
    public String toString() {
        return place + ": " + (key.isEmpty() ? "" : key + ": ") + found
                + (allowed.isEmpty() ? "" : "; allowed: " + allowed);
    }
}
