package cairnline.program;

import cairnline.routing.Clock;
import cairnline.routing.Limits;
import cairnline.simhost.SimHost;
import cairnline.simhost.WireException;
import cairnline.transport.Listener;
import cairnline.transport.StandInEngine;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Entry point: {@code serve} is the workload manager, {@code simhost} the same decisions on the simulator's wire,
 * {@code rehearse} the kit that plays recordings against it.
 */
public final class Main {
    private static final int BUFFER = 1 << 16;
    private static final int WRONG_USE = 2;

    private Main() { }

    /** Exits with 2 on wrong usage or configuration and 1 on a failure. */
    public static void main(String[] args) throws InterruptedException {
        try {
            switch (args.length == 0 ? "" : args[0]) {
                case "serve" -> new Server(Configuration.read(System.getenv()),
                        args.length > 1 ? Path.of(args[1]) : null).run();
                case "rehearse" -> rehearse(RehearsalOptions.of(args));
                case "simhost" -> SimHost.serve(new BufferedReader(
                        new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER), System.out);
                default -> leave(WRONG_USE, "usage: java -jar cairnline.jar serve [ODATA-FILE] | simhost | rehearse ...");
            }
        } catch (ConfigurationException e) {
            leave(WRONG_USE, e.getMessage());
        } catch (WireException | IOException e) {
            // An address that can't be had, say.
            leave(1, e.getMessage());
        }
    }

    private static void rehearse(RehearsalOptions options) throws IOException, InterruptedException {
        if (options.standIn() == null) {
            new Rehearsal(options, System.out).run();
            return;
        }
        Limits limits = Configuration.defaultLimits();
        Clock clock = new Clock();
        new StandInEngine(new Listener(options.standIn(), limits.clients(), limits, clock), limits, clock).start();
        System.out.println("stand-in engine listens at " + options.standIn());
        Thread.currentThread().join();
    }

    private static void leave(int code, String message) {
        System.err.println("cairnline: " + message);
        System.exit(code);
    }
}
