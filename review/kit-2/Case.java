import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What every case needs: the record, free ports, a temporary folder, and the workload manager as a separate process. The
 * process is started by the deploy file's run command, and killed at the end of the case whatever happens.
 */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 110_000;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    private final Path home;
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    Case(String name) throws IOException {
        home = root.resolve("review").resolve(name);
        folder = Files.createTempDirectory("review-" + name + "-");
        record = new PrintWriter(Files.newBufferedWriter(home.resolve("record.txt")), true);
    }

    /** Plays the case; violations are reported by {@link #violation}. */
    abstract void play() throws Exception;

    /** Runs the case in this process and exits. */
    final void run() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        daemon(() -> {
            Thread.sleep(LIMIT_MILLIS);
            note("the case did not end in time");
            Runtime.getRuntime().halt(endAt(NOT_RUN));
        });
        int code;
        try {
            note(trouble ? "with the disruption" : "without the disruption");
            play();
            code = violations.isEmpty() ? HELD : BROKEN;
        } catch (Exception e) {
            note("could not run: " + e);
            code = violations.isEmpty() ? NOT_RUN : BROKEN;
        }
        note(code == HELD ? "held" : code == BROKEN ? "BROKEN: " + violations.size() + " violations" : "not run");
        System.out.println(home.getFileName() + ": exit " + code + (violations.isEmpty() ? "" : ": " + violations.get(0)));
        System.exit(code);
    }

    private int endAt(int code) {
        cleanUp();
        return code;
    }

    private void cleanUp() {
        processes.forEach(Process::destroyForcibly);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // It is a temporary folder.
        }
    }

    final synchronized void note(String line) {
        record.printf(Locale.ROOT, "%9.3f %s%n", seconds(), line);
    }

    final synchronized void violation(String line) {
        violations.add(line);
        note("VIOLATION " + line);
    }

    /** Seconds since the case began. */
    final double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    interface Task {
        void run() throws Exception;
    }

    final Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                note("a thread of the case ended: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return unused.getLocalPort();
        }
    }

    /** The example configuration with these addresses and known events, and with replaced texts of its settings. */
    final Path configuration(int listen, int feed, String known, Map<String, String> replacements) throws IOException {
        String text = Files.readString(root.resolve("example/config.json"))
                .replaceFirst("\"listen\": \"[^\"]*\"", "\"listen\": \"127.0.0.1:" + listen + "\"")
                .replaceFirst("\"feed\": \"[^\"]*\"", "\"feed\": \"127.0.0.1:" + feed + "\"")
                .replaceFirst("\"known\": \\{[^}]*\\}", "\"known\": " + known);
        for (Map.Entry<String, String> each : replacements.entrySet()) {
            if (!text.contains(each.getKey())) {
                throw new IOException("the example configuration has no " + each.getKey());
            }
            text = text.replace(each.getKey(), each.getValue());
        }
        return Files.writeString(folder.resolve("config-" + listen + ".json"), text);
    }

    /** Starts a workload manager with the deploy file's run command and these further arguments; waits until it listens. */
    final Process startManager(Path configuration, String arguments, int... ports) throws Exception {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + " " + arguments).directory(root.toFile())
                .redirectErrorStream(true).redirectOutput(folder.resolve("log-" + processes.size()).toFile());
        builder.environment().remove("ROUTER_LISTEN");
        builder.environment().put("ROUTER_NAME", "n1");
        builder.environment().put("ROUTER_CONFIG", configuration.toString());
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        processes.add(process);
        for (int port : ports) {
            awaitListening(process, port);
        }
        note("the workload manager runs: process " + process.pid());
        return process;
    }

    private void awaitListening(Process process, int port) throws Exception {
        for (int i = 0; i < 300; i++) {
            if (!process.isAlive()) {
                break;
            }
            try (Socket probe = new Socket()) {
                probe.connect(new InetSocketAddress("127.0.0.1", port), 200);
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IOException("the workload manager does not listen at " + port + ":\n" + log());
    }

    /** Asks the platform's port whether the workload manager is ready until it says yes. */
    final void awaitReady(int port) throws Exception {
        for (int i = 0; i < 300; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream().write(new byte[] {0, 0, 0, 6, 6, 0, 0, 0, 1, 0});
                byte[] answer = socket.getInputStream().readNBytes(11);
                if (answer.length == 11 && answer[4] == 7 && answer[9] == 1) {
                    note("the workload manager is ready");
                    return;
                }
            } catch (IOException e) {
                // Asked again below.
            }
            Thread.sleep(100);
        }
        throw new IOException("the workload manager does not get ready:\n" + log());
    }

    /** The last lines that the workload managers have printed. */
    final String log() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < processes.size(); i++) {
            List<String> lines = Files.readAllLines(folder.resolve("log-" + i));
            lines.subList(Math.max(0, lines.size() - 40), lines.size()).forEach(line -> text.append("  log: ").append(line).append('\n'));
        }
        return text.toString();
    }

    /** Sends a signal, such as TERM, to a process that this case has started. */
    static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor(5, TimeUnit.SECONDS);
    }
}
