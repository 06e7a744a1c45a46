package cairnline.program;

/** A configuration that can't be used; the message names the faulty key. */
final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String key, String problem) {
        super(key + ": " + problem);
    }
}
