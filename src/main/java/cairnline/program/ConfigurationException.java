package cairnline.program;

/** Thrown when a configuration is invalid; the message starts with the name of the offending key. */
final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String key, String problem) {
        super(key + ": " + problem);
    }
}
