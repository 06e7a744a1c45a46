package cairnline.program;

import cairnline.standin.EngineModel;
import cairnline.standin.StandInFeed;
import cairnline.standin.StandInRespEngine;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The whole in one go: a toy platform, a workload manager, a short mix of requests, and what became of them. */
@Command(name = "try", mixinStandardHelpOptions = true,
        description = "Starts a toy platform and a workload manager on free loopback ports, sends a short mix of"
                + " requests and prints what became of them.")
final class TryCommand implements Callable<Integer> {
    private static final double SCALE = 0.1;
    private static final long ANSWERS_S = 30;
    private static final long UP_S = 20;
    private static final EngineModel.EngineParameters ENGINE = new EngineModel.EngineParameters(16, 0.31, 15_000_000, false, 4, 1_500_000);

    @Option(names = "--requests", defaultValue = "60", description = "how many requests (${DEFAULT-VALUE})")
    private int requests;

    @Option(names = "--rate", defaultValue = "30", description = "and how many a second (${DEFAULT-VALUE})")
    private double rate;

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("cairnline-try");
        try (StandInFeed feed = new StandInFeed();
             StandInRespEngine one = engine();
             StandInRespEngine two = engine();
             ManagerProcess manager = new ManagerProcess(folder, 0, 1, feed.address(), null)) {
            feed.publish(true, List.of(host("toy-1", one), host("toy-2", two)));
            manager.start();
            System.out.println("control feed at " + feed.address() + ", engines at " + one.address() + " and "
                    + two.address() + ", workload manager at 127.0.0.1:" + manager.port());
            ReadinessCheck.await(manager.port(), UP_S);
            SyntheticWorkload mix = new SyntheticWorkload(manager.port(), 1, SCALE);
            mix.send(requests, rate);
            mix.await(ANSWERS_S);
            System.out.print(mix.report());
            System.out.printf("worth served in time: %.0f%% of what was asked for%n", 100 * mix.worth());
            mix.close();
            return manager.stop();
        } finally {
            remove(folder);
        }
    }

    private static StandInRespEngine engine() throws IOException {
        return new StandInRespEngine(0, StandInRespEngine.Behavior.ENGINE, ENGINE, false, SyntheticWorkload.costs(SCALE));
    }

    private static StandInFeed.EngineEntry host(String id, StandInRespEngine engine) {
        return new StandInFeed.EngineEntry(id, engine.address(), "in_service", 0);
    }

    private static void remove(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }
}
