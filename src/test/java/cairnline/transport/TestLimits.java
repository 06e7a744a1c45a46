package cairnline.transport;

import cairnline.routing.Limits;
import java.util.Arrays;

/** Limits for tests to which most of them do not matter. */
final class TestLimits {
    private TestLimits() { }

    /** All have one value, but for one that is named. */
    static Limits allOf(int value, String name, int other) throws ReflectiveOperationException {
        Object[] values = Arrays.stream(Limits.class.getRecordComponents()).map(component -> {
            int own = component.getName().equals(name) ? other : value;
            return component.getType() == int.class ? (Object) own : (Object) (long) own;
        }).toArray();
        return (Limits) Limits.class.getDeclaredConstructors()[0].newInstance(values);
    }
}
