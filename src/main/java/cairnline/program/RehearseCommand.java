package cairnline.program;

import cairnline.logs.EventSink;
import cairnline.routing.Clock;
import cairnline.routing.Limits;
import cairnline.transport.EventLoop;
import cairnline.transport.Listener;
import cairnline.transport.StandInEngine;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Unmatched;

/** Replays recorded traffic, or runs a stand-in engine; {@link RehearsalOptions} parses and validates its options. */
@Command(name = "rehearse", description = "Replays recorded requests as load; without options it prints its usage.")
final class RehearseCommand implements Callable<Integer> {
    @Unmatched
    private List<String> options = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        options.add(0, "rehearse");
        RehearsalOptions parsed = RehearsalOptions.parse(options.toArray(String[]::new));
        if (parsed.standIn() == null) {
            new Rehearsal(parsed, System.out).run();
            return 0;
        }
        Limits limits = Configuration.defaultLimits();
        EventLoop loop = new EventLoop("stand-in", limits.routing().stackBytes(), new Clock());
        loop.start();
        Listener listener = new Listener(parsed.standIn(), limits.clients().connections(), limits, loop, EventSink.NONE);
        new StandInEngine(listener, limits).start();
        System.out.println("stand-in engine listens at " + parsed.standIn());
        Thread.currentThread().join();
        return 0;
    }
}
