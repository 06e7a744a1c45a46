package cairnline.store;

import cairnline.logs.EventSink;
import java.util.ArrayList;
import java.util.List;

/** Records each event as its name, followed by the value of the key {@code cause} if there is one. */
final class RecordingEventSink implements EventSink {
    private final List<String> events = new ArrayList<>();

    @Override
    public synchronized void log(Severity severity, String name, String message, Object... pairs) {
        String cause = "";
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            cause = pairs[i].equals("cause") ? " " + pairs[i + 1] : cause;
        }
        events.add(name + cause);
        notifyAll();
    }

    synchronized List<String> events() {
        return List.copyOf(events);
    }

    /** Waits until an event whose text starts with this name has been logged. */
    synchronized void await(String name) throws InterruptedException {
        while (events.stream().noneMatch(event -> event.startsWith(name))) {
            wait(10_000);
        }
    }
}
