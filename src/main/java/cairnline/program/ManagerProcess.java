package cairnline.program;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/** Runs a workload manager as a separate process on a free loopback port, for demos, measurements and end-to-end tests. */
final class ManagerProcess implements AutoCloseable {
    private static final long STOP_TIMEOUT_SECONDS = 40;
    private static final int DEFAULT_SOCKETS = 1_024;
    /** The flags of deploy/balancer.toml, so that measurements apply to the deployed process. */
    private static final List<String> JVM_FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData", "-Xshare:auto", "-Xss256k", "-Xms72m", "-Xmx72m", "-Xmn44m", "-XX:MaxMetaspaceSize=32m",
            "-XX:ReservedCodeCacheSize=24m");

    private final Path folder;
    private final List<String> command = new ArrayList<>();
    private final Path configFile;
    private final int port;
    private Process process;

    /**
     * Prepares a workload manager without starting it.
     *
     * @param folder for its configuration and its log
     * @param frontIndex its index among the managers of the group, from 0
     * @param frontCount the number of managers in the group
     * @param feedAddress address of the control feed, as {@code host:port}
     * @param settings text of its settings file; null for none
     */
    ManagerProcess(Path folder, int frontIndex, int frontCount, String feedAddress, String settings) throws IOException {
        this(folder, frontIndex, frontCount, feedAddress, settings, "{\"n\": 0, \"events\": []}");
    }

    /** Prepares a workload manager whose configuration contains {@code initialEvents}, feed events as JSON. */
    ManagerProcess(Path folder, int frontIndex, int frontCount, String feedAddress, String settings, String initialEvents)
            throws IOException {
        this(folder, frontIndex, frontCount, feedAddress, settings, initialEvents, DEFAULT_SOCKETS);
    }

    /** Prepares a workload manager that is configured for a limit of {@code sockets} descriptors. */
    ManagerProcess(Path folder, int frontIndex, int frontCount, String feedAddress, String settings, String initialEvents,
            int sockets) throws IOException {
        this.folder = Files.createDirectories(folder);
        port = freePort();
        configFile = Files.writeString(folder.resolve("config.json"), configTemplate()
                .replace("@listen@", "127.0.0.1:" + port).replace("@feed@", feedAddress).replace("@known@", initialEvents)
                .replace("@fronts@", Integer.toString(frontCount)).replace("@self@", Integer.toString(frontIndex))
                .replace("@sockets@", Integer.toString(sockets)));
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "cairnline.program.Main", "serve"));
        if (settings != null) {
            command.add("--settings");
            command.add(Files.writeString(folder.resolve("settings.cue"), settings).toString());
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return unused.getLocalPort();
        }
    }

    private static String configTemplate() throws IOException {
        try (InputStream in = ManagerProcess.class.getResourceAsStream("demo.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Starts or restarts the process; {@code prefix} is put before its command, for example to pin it to a core. */
    void start(String... prefix) throws IOException {
        List<String> prefixedCommand = new ArrayList<>(List.of(prefix));
        prefixedCommand.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(prefixedCommand)
                .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        builder.environment().remove("ROUTER_LISTEN");
        builder.environment().put("ROUTER_CONFIG", configFile.toString());
        process = builder.start();
    }

    /** Returns the port to which clients connect. */
    int port() {
        return port;
    }

    /** Returns the file that receives its standard output and error. */
    Path logFile() {
        return folder.resolve("log");
    }

    /** Returns all that the process has logged so far. */
    String readLog() throws IOException {
        return Files.exists(logFile()) ? Files.readString(logFile()) : "";
    }

    long pid() {
        return process.pid();
    }

    /** Kills the process with SIGKILL, which simulates a crash, and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Edits the text of its configuration file, which takes effect at the next start or SIGHUP. */
    void editConfiguration(UnaryOperator<String> edit) throws IOException {
        Files.writeString(configFile, edit.apply(Files.readString(configFile)));
    }

    /** Sends SIGHUP; if {@code malformed}, the configuration file is invalid meanwhile and restored afterwards. */
    void reload(boolean malformed) throws IOException, InterruptedException {
        String original = Files.readString(configFile);
        if (malformed) {
            Files.writeString(configFile, "{");
        }
        new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start().waitFor();
        if (malformed) {
            Files.writeString(configFile, original);
        }
    }

    /** Sends SIGTERM without waiting for the end of the process. */
    void terminate() {
        process.toHandle().destroy();
    }

    /** Schedules a SIGKILL after a delay in milliseconds; it has no effect on a process that has exited by then. */
    void killAfter(long millis) {
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(process::destroyForcibly);
    }

    /** Waits for the process to exit and returns its exit code; throws IllegalStateException after the timeout. */
    int awaitExit(long timeoutSeconds) throws InterruptedException {
        if (!process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the process is still running after " + timeoutSeconds + " s");
        }
        return process.exitValue();
    }

    /** Sends SIGTERM, kills the process if it does not exit in time, and returns its exit code. */
    int stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            kill();
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
