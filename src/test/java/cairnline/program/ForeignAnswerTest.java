package cairnline.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnline.control.ControlApi.EngineStatus;
import cairnline.membership.ListedEngine;
import cairnline.program.MisbehavingODataEngine.Behavior;
import cairnline.protocol.HttpMessage;
import cairnline.routing.Clock;
import cairnline.routing.Dispatcher;
import cairnline.transport.BlockingHttpClient;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against callers that get the answer to another request, and writes that are answered although no engine got them, when
 * OData engines send bytes that no request asked for. Each seeded course is one request and its answer.
 */
class ForeignAnswerTest {
    private static final long FIRST_SEED = Long.getLong("foreign.first", 1);
    private static final int ENGINE_COUNT = 4;
    private static final int CLIENT_COUNT = 16;
    private static final int ENTITY_COUNT = 64;
    private static final int CALL_TIMEOUT_MILLIS = 20_000;

    private final List<MisbehavingODataEngine> engines = new ArrayList<>();

    @ParameterizedTest
    @EnumSource(Behavior.class)
    void givesEachCallerTheAnswerToItsRequestUnderOneMisbehavior(Behavior behavior) throws Exception {
        play(320, List.of(behavior));
    }

    @Test
    void givesEachCallerTheAnswerToItsRequestInTenThousandCourses() throws Exception {
        play(10_000, List.of(Behavior.values()));
    }

    private void play(int courses, List<Behavior> misbehaviors) throws Exception {
        Configuration configuration = Configuration.of(Scenario.class.getResourceAsStream("/config.json").readAllBytes(), null);
        Clock clock = new Clock();
        ExecutorService clients = Executors.newFixedThreadPool(CLIENT_COUNT);
        try (ODataProtocolFixture fixture = new ODataProtocolFixture()) {
            Dispatcher dispatcher = new Dispatcher(configuration.settings(), configuration.seed(), configuration.limits(), clock,
                    line -> { }, (engine, owner) -> fixture.createLink(engine, owner, configuration, clock));
            dispatcher.start();
            InetSocketAddress front = new InetSocketAddress("127.0.0.1", fixture.startFront(dispatcher, configuration, clock));
            dispatcher.listUpdated(true, startEngines(misbehaviors));
            List<Callable<List<String>>> tasks = new ArrayList<>();
            for (int i = 0; i < CLIENT_COUNT; i++) {
                int client = i;
                tasks.add(() -> call(front, client, courses / CLIENT_COUNT));
            }
            List<String> violations = new ArrayList<>();
            for (Future<List<String>> result : clients.invokeAll(tasks)) {
                violations.addAll(result.get());
            }
            assertEquals("", String.join("\n", violations), "seed " + FIRST_SEED);
        } finally {
            clients.shutdownNow();
            for (MisbehavingODataEngine engine : engines) {
                engine.close();
            }
        }
    }

    private List<ListedEngine> startEngines(List<Behavior> misbehaviors) throws Exception {
        List<ListedEngine> listed = new ArrayList<>();
        for (int i = 0; i < ENGINE_COUNT; i++) {
            engines.add(new MisbehavingODataEngine(FIRST_SEED * ENGINE_COUNT + i, misbehaviors));
            listed.add(new ListedEngine("e" + i, engines.get(i).address(), EngineStatus.READY, "dc1", "std16", 0, 1, 0));
        }
        return listed;
    }

    /** Sends requests one after another and returns a line for each violation. */
    private List<String> call(InetSocketAddress front, int client, int requestCount) throws Exception {
        List<String> violations = new ArrayList<>();
        Random random = new Random(FIRST_SEED * CLIENT_COUNT + client);
        try (BlockingHttpClient connection = new BlockingHttpClient(front, CALL_TIMEOUT_MILLIS, 1 << 20)) {
            for (int i = 0; i < requestCount; i++) {
                String name = "c" + client + "-" + i;
                HttpMessage answer = connection.call(random.nextBoolean() ? read(name) : write(name, random.nextInt(ENTITY_COUNT)));
                checkAnswer(name, answer, violations);
            }
        }
        return violations;
    }

    private static HttpMessage read(String name) {
        return HttpMessage.request("GET", "/Books(1)?r=" + name, new LinkedHashMap<>(), new byte[0]);
    }

    private static HttpMessage write(String name, int entity) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "application/json");
        headers.put("repeatability-request-id", "key-of-" + name);
        headers.put("repeatability-first-sent", "Tue, 01 Dec 2026 10:00:00 GMT");
        return HttpMessage.request("PATCH", "/Books(" + entity + ")?r=" + name, headers, "{}".getBytes(StandardCharsets.UTF_8));
    }

    private void checkAnswer(String name, HttpMessage answer, List<String> violations) {
        String body = new String(answer.body(), StandardCharsets.UTF_8);
        if (answer.status() >= 500) {
            return;
        }
        if (!body.equals(MisbehavingODataEngine.bodyFor(name))) {
            violations.add(name + ": answered " + answer.status() + " with " + body);
        }
        if (engines.stream().noneMatch(engine -> engine.hasReceived(name))) {
            violations.add(name + ": answered " + answer.status() + " although no engine got it");
        }
    }
}
