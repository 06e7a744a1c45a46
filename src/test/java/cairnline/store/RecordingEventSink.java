package cairnline.store;

import cairnline.logs.EventSink;
import java.util.ArrayList;
import java.util.List;

/** Events as a test counts them: the name, and the cause if one is told. */
final class RecordingEventSink implements EventSink {
    private final List<String> all = new ArrayList<>();

    @Override
    public synchronized void event(Severity severity, String name, String words, Object... pairs) {
        String cause = "";
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            cause = pairs[i].equals("cause") ? " " + pairs[i + 1] : cause;
        }
        all.add(name + cause);
        notifyAll();
    }

    synchronized List<String> all() {
        return List.copyOf(all);
    }

    /** Waits for this event. */
    synchronized void await(String name) throws InterruptedException {
        while (all.stream().noneMatch(each -> each.startsWith(name))) {
            wait(10_000);
        }
    }
}
