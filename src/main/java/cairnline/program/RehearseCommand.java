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

/** The kit that plays recordings; its options are read and checked by {@link RehearsalOptions}. */
@Command(name = "rehearse", description = "Plays recordings as load; without options it prints them.")
final class RehearseCommand implements Callable<Integer> {
    @Unmatched
    private List<String> options = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        options.add(0, "rehearse");
        RehearsalOptions read = RehearsalOptions.of(options.toArray(String[]::new));
        if (read.standIn() == null) {
            new Rehearsal(read, System.out).run();
            return 0;
        }
        Limits limits = Configuration.defaultLimits();
        EventLoop loop = new EventLoop("stand-in", limits.routing().stackBytes(), new Clock());
        loop.start();
        Listener listener = new Listener(read.standIn(), limits.clients().connections(), limits, loop, EventSink.NONE);
        new StandInEngine(listener, limits).start();
        System.out.println("stand-in engine listens at " + read.standIn());
        Thread.currentThread().join();
        return 0;
    }
}
