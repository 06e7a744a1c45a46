package cairnline.transport;

import cairnline.routing.Limits;
import java.lang.reflect.RecordComponent;

/** Creates limits for tests that depend on few of them. */
final class TestLimits {
    private TestLimits() { }

    /** Returns limits that all have the same value, except the mailbox size of a connection. */
    static Limits allOf(int value, int mailbox) throws ReflectiveOperationException {
        Limits original = (Limits) fill(Limits.class, value);
        Limits.Connections connections = new Limits.Connections(mailbox, value, value, value, value);
        return new Limits(original.routing(), connections, original.clients(), original.engines(), original.feed(),
                original.shutdown(), original.http());
    }

    /** Returns a copy with another linger time, in microseconds, and another number of input bytes ignored meanwhile. */
    static Limits withLinger(Limits original, long linger, int ignoredBytes) {
        Limits.Connections originalConnections = original.connections();
        Limits.Connections connections = new Limits.Connections(originalConnections.mailbox(), linger, ignoredBytes,
                originalConnections.writeStallTimeout(), originalConnections.connectTimeout());
        return new Limits(original.routing(), connections, original.clients(), original.engines(), original.feed(),
                original.shutdown(), original.http());
    }

    private static Object fill(Class<?> type, int value) throws ReflectiveOperationException {
        if (type == int.class) {
            return value;
        } else if (type == long.class) {
            return (long) value;
        }
        RecordComponent[] components = type.getRecordComponents();
        Object[] values = new Object[components.length];
        for (int i = 0; i < values.length; i++) {
            values[i] = fill(components[i].getType(), value);
        }
        return type.getDeclaredConstructors()[0].newInstance(values);
    }
}
