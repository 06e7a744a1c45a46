package cairnline.transport;

import cairnline.routing.Limits;
import java.lang.reflect.RecordComponent;

/** Limits for tests to which most of them do not matter. */
final class TestLimits {
    private TestLimits() { }

    /** All have one value, but for the mailbox of a connection. */
    static Limits allOf(int value, int mailbox) throws ReflectiveOperationException {
        Limits all = (Limits) filled(Limits.class, value);
        Limits.Connections connections = new Limits.Connections(mailbox, value, value, value, value);
        return new Limits(all.routing(), connections, all.clients(), all.engines(), all.feed(), all.shutdown(), all.http());
    }

    /** The same with another time, in microseconds, and other bytes for a connection whose output has been ended. */
    static Limits withLinger(Limits all, long linger, int ignoredBytes) {
        Limits.Connections usual = all.connections();
        Limits.Connections connections = new Limits.Connections(usual.mailbox(), linger, ignoredBytes, usual.writeStallTimeout(),
                usual.connectTimeout());
        return new Limits(all.routing(), connections, all.clients(), all.engines(), all.feed(), all.shutdown(), all.http());
    }

    private static Object filled(Class<?> type, int value) throws ReflectiveOperationException {
        if (type == int.class) {
            return value;
        } else if (type == long.class) {
            return (long) value;
        }
        RecordComponent[] components = type.getRecordComponents();
        Object[] values = new Object[components.length];
        for (int i = 0; i < values.length; i++) {
            values[i] = filled(components[i].getType(), value);
        }
        return type.getDeclaredConstructors()[0].newInstance(values);
    }
}
