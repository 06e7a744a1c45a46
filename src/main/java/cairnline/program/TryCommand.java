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

/** A demo: starts a demo platform and a workload manager, sends a short synthetic workload and prints the outcomes. */
@Command(name = "try", mixinStandardHelpOptions = true,
        description = "Starts a demo platform and a workload manager on free loopback ports, sends a short synthetic"
                + " workload and prints the outcomes.")
final class TryCommand implements Callable<Integer> {
    private static final double WORK_SCALE = 0.1;
    private static final long ANSWER_TIMEOUT_SECONDS = 30;
    private static final long START_TIMEOUT_SECONDS = 20;
    private static final EngineModel.EngineParameters ENGINE_PARAMETERS =
            new EngineModel.EngineParameters(16, 0.31, 15_000_000, false, 4, 1_500_000);

    @Option(names = "--requests", defaultValue = "60", description = "number of requests (${DEFAULT-VALUE})")
    private int requestCount;

    @Option(names = "--rate", defaultValue = "30", description = "requests per second (${DEFAULT-VALUE})")
    private double requestsPerSecond;

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("cairnline-try");
        try (StandInFeed feed = new StandInFeed();
             StandInRespEngine first = startEngine();
             StandInRespEngine second = startEngine();
             ManagerProcess manager = new ManagerProcess(folder, 0, 1, feed.address(), null)) {
            feed.publish(true, List.of(entry("demo-1", first), entry("demo-2", second)));
            manager.start();
            System.out.println("control feed at " + feed.address() + ", engines at " + first.address() + " and "
                    + second.address() + ", workload manager at 127.0.0.1:" + manager.port());
            ReadinessCheck.await(manager.port(), START_TIMEOUT_SECONDS);
            SyntheticWorkload workload = new SyntheticWorkload(manager.port(), 1, WORK_SCALE);
            workload.send(requestCount, requestsPerSecond);
            workload.await(ANSWER_TIMEOUT_SECONDS);
            System.out.print(workload.report());
            System.out.printf("worth served in time: %.0f%% of what was asked for%n", 100 * workload.worthServedShare());
            workload.close();
            return manager.stop();
        } finally {
            deleteRecursively(folder);
        }
    }

    private static StandInRespEngine startEngine() throws IOException {
        return new StandInRespEngine(0, StandInRespEngine.Behavior.ENGINE, ENGINE_PARAMETERS, false,
                SyntheticWorkload.costs(WORK_SCALE));
    }

    private static StandInFeed.EngineEntry entry(String id, StandInRespEngine engine) {
        return new StandInFeed.EngineEntry(id, engine.address(), "in_service", 0);
    }

    private static void deleteRecursively(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
