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

/** A workload manager in a process of its own on a free loopback port; for trying, measuring and testing the whole. */
final class ManagerProcess implements AutoCloseable {
    private static final long END_S = 40;
    private static final int SOCKETS = 1_024;
    /** As deploy/balancer.toml has it, so that what is measured is what runs. */
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData", "-Xshare:auto", "-Xss256k", "-Xms72m", "-Xmx72m", "-Xmn44m", "-XX:MaxMetaspaceSize=32m",
            "-XX:ReservedCodeCacheSize=24m");

    private final Path folder;
    private final List<String> command = new ArrayList<>();
    private final Path config;
    private final int port;
    private Process process;

    /** One of so many, which follows this feed; {@code settings} is the text of its settings file, null for none. */
    ManagerProcess(Path folder, int self, int fronts, String feed, String settings) throws IOException {
        this(folder, self, fronts, feed, settings, "{\"n\": 0, \"events\": []}");
    }

    /** The same with what its configuration knows of the feed. */
    ManagerProcess(Path folder, int self, int fronts, String feed, String settings, String known) throws IOException {
        this(folder, self, fronts, feed, settings, known, SOCKETS);
    }

    /** The same that is told of a limit of so many descriptors. */
    ManagerProcess(Path folder, int self, int fronts, String feed, String settings, String known, int sockets)
            throws IOException {
        this.folder = Files.createDirectories(folder);
        port = freePort();
        config = Files.writeString(folder.resolve("config.json"), template().replace("@listen@", "127.0.0.1:" + port)
                .replace("@feed@", feed).replace("@known@", known).replace("@fronts@", Integer.toString(fronts))
                .replace("@self@", Integer.toString(self)).replace("@sockets@", Integer.toString(sockets)));
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "cairnline.program.Main", "serve"));
        if (settings != null) {
            command.add("--settings");
            command.add(Files.writeString(folder.resolve("settings.cue"), settings).toString());
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return any.getLocalPort();
        }
    }

    private static String template() throws IOException {
        try (InputStream in = ManagerProcess.class.getResourceAsStream("toy.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Starts it, or starts it again; {@code prefix} stands before its command, to bound its share of a core, say. */
    void start(String... prefix) throws IOException {
        List<String> all = new ArrayList<>(List.of(prefix));
        all.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(all)
                .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.environment().remove("ROUTER_LISTEN");
        builder.environment().put("ROUTER_CONFIG", config.toString());
        process = builder.start();
    }

    /** Where clients connect. */
    int port() {
        return port;
    }

    /** What it wrote to its output and error. */
    Path log() {
        return folder.resolve("log");
    }

    /** What it logged so far. */
    String readLog() throws IOException {
        return Files.exists(log()) ? Files.readString(log()) : "";
    }

    long pid() {
        return process.pid();
    }

    /** Ends it at once, as a crash does. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Changes the text of its configuration, which counts from its next start or SIGHUP. */
    void editConfiguration(UnaryOperator<String> change) throws IOException {
        Files.writeString(config, change.apply(Files.readString(config)));
    }

    /** Sends SIGHUP; a file that is spoilt first is as before when this returns. */
    void reload(boolean spoilt) throws IOException, InterruptedException {
        String whole = Files.readString(config);
        if (spoilt) {
            Files.writeString(config, "{");
        }
        new ProcessBuilder("kill", "-HUP", Long.toString(pid())).start().waitFor();
        if (spoilt) {
            Files.writeString(config, whole);
        }
    }

    /** Sends SIGTERM and does not wait. */
    void terminate() {
        process.toHandle().destroy();
    }

    /** Sends SIGKILL after so many milliseconds, unless it has ended by then. */
    void killAfter(long millis) {
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(process::destroyForcibly);
    }

    /** Its exit code once it has ended by itself or by a signal; fails if it has not by then. */
    int awaitExit(long seconds) throws InterruptedException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the process goes on after " + seconds + " s");
        }
        return process.exitValue();
    }

    /** Ends it in order; gives its exit code. */
    int stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(END_S, TimeUnit.SECONDS)) {
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
