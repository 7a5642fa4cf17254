package org.hornbeamhead.fleet;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import java.util.stream.StreamSupport;
import org.hornbeamhead.controller.ControllerMain;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.ctl.CtlMain;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.router.RouterMain;
import org.hornbeamhead.standin.StandinMain;

/** A small fleet of real processes on loopback, with free ports, for one test class. */
final class TestFleet implements AutoCloseable {
    static final String CUSTOMER_KEY = "key-test";
    static final String OTHER_KEY = "key-other";
    static final String ENGINES = "lm-pool";
    static final String SERVICES = "app";
    static final String MODEL = "model";
    /** Only keeps a test that would never end from running for ever. */
    private static final long GIVE_UP_NANOS = 120_000_000_000L;

    private static final long LOOK_AGAIN_NANOS = 10_000_000L;

    private final HttpClient client = HttpClient.newHttpClient();
    private final Path dir;
    private final List<ProcessHandleBox> processes = new ArrayList<>();
    private int started;
    private ProcessHandleBox store;
    private ProcessHandleBox hosts;

    TestFleet() throws IOException {
        dir = Files.createTempDirectory(Files.createDirectories(Path.of("target", "fleet-logs")), "fleet");
    }

    /** Starts the platform's stand-ins and makes a first configuration. */
    void startPlatform(String hostListLag) throws IOException, InterruptedException {
        store = launch(StandinMain.class, "store");
        hosts = launch(StandinMain.class, "hosts", "--lag", hostListLag);
        store.awaitReady();
        hosts.awaitReady();
        apply(configuration("w1", "500 ms"), "first");
    }

    static String configuration(String weights, String firstToken) {
        return """
                [fleet]
                name = test
                [class fast]
                kind = interactive
                first-token = %s
                between-tokens = 50 ms
                [class slow]
                kind = batch
                finish-within = 1 h
                [pool lm-pool]
                kind = engine
                model = model
                weights = %s
                [pool app]
                kind = service
                not-repeatable = POST /bids
                [customer test]
                key-sha256 = %s
                classes = fast, slow
                pools = lm-pool, app
                [customer other]
                key-sha256 = %s
                classes = fast
                pools = lm-pool
                """
                .formatted(firstToken, weights, sha256(CUSTOMER_KEY), sha256(OTHER_KEY));
    }

    static String sha256(String text) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    ProcessHandleBox launch(Class<?> main, String... args) throws IOException {
        ProcessHandleBox box =
                ProcessHandleBox.start(dir.resolve(main.getSimpleName() + started++ + ".log"), main, args);
        processes.add(box);
        return box;
    }

    /** Runs the operators' command line to its end. */
    int ctl(String... args) throws IOException, InterruptedException {
        ProcessHandleBox box = launch(CtlMain.class, args);
        return box.awaitEnd();
    }

    int apply(String text, String reason, String... more) throws IOException, InterruptedException {
        Path file = Files.writeString(dir.resolve("operators" + started + ".ini"), text);
        List<String> args = new ArrayList<>(
                List.of("apply", file.toString(), "--platform", store.http(), "--reason", reason, "--author", "test"));
        args.addAll(List.of(more));
        return ctl(args.toArray(String[]::new));
    }

    ProcessHandleBox engine(String... more) throws IOException {
        List<String> args = new ArrayList<>(List.of(
                "engine", "--host-list", hosts.http(), "--pool", ENGINES, "--model", MODEL, "--report-lag", "50 ms"));
        args.addAll(List.of(more));
        return launch(StandinMain.class, args.toArray(String[]::new));
    }

    ProcessHandleBox service() throws IOException {
        return launch(StandinMain.class, "service", "--host-list", hosts.http(), "--pool", SERVICES);
    }

    ProcessHandleBox router(String... limits) throws IOException {
        return router("127.0.0.1:0", limits);
    }

    private ProcessHandleBox router(String peer, String... limits) throws IOException {
        String settings = "[listen]\nhttp = 127.0.0.1:0\npeer = " + peer + "\n[site]\ndata-centre = dc\n"
                + "[platform]\nkey-value = " + store.http() + "\nhost-list = " + hosts.http()
                + "\n[limits]\nhost-list-every = 100 ms\nload-every = 50 ms\nanswer-ttl = 200 ms\n"
                + String.join("\n", limits) + "\n";
        Path file = Files.writeString(dir.resolve("router" + started + ".ini"), settings);
        return launch(RouterMain.class, "--settings", file.toString());
    }

    ProcessHandleBox controller(ProcessHandleBox router) throws IOException {
        String settings =
                "[listen]\nhttp = 127.0.0.1:0\n[site]\nentry = " + router.http() + "\n[platform]\nkey-value = "
                        + store.http() + "\nhost-list = " + hosts.http() + "\n[limits]\nlease = 2 s\nstep = 100 ms\n";
        Path file = Files.writeString(dir.resolve("controller" + started + ".ini"), settings);
        return launch(ControllerMain.class, "--settings", file.toString());
    }

    /** Starts a router and lists it, as a platform does that replaces a host. */
    ProcessHandleBox listedRouter() throws IOException, InterruptedException {
        ProcessHandleBox router = router().awaitReady();
        list(router, false);
        return router;
    }

    /** Puts a router into the platform's list of hosts. */
    void list(ProcessHandleBox router, boolean leaving) throws IOException, InterruptedException {
        put(new Endpoint(EndpointKind.ENTRY, "test", router.http(), router.peer(), "dc", leaving));
    }

    void listEngine(ProcessHandleBox engine, boolean leaving) throws IOException, InterruptedException {
        put(new Endpoint(EndpointKind.ENGINE, ENGINES, engine.http(), "", "dc", leaving));
    }

    private void put(Endpoint endpoint) throws IOException, InterruptedException {
        post(hosts, "/admin/hosts", Json.write(endpoint));
    }

    void unlist(ProcessHandleBox box) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + hosts.http() + "/admin/hosts?address=" + box.http()))
                .DELETE()
                .build();
        client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Starts routers, lists them, and waits until each serves and knows the others and so many engines. */
    List<ProcessHandleBox> routers(int count, int engines) throws IOException, InterruptedException {
        List<ProcessHandleBox> routers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            routers.add(router());
        }
        for (ProcessHandleBox router : routers) {
            list(router.awaitReady(), false);
        }
        awaitKnown(routers, count, engines);
        return routers;
    }

    void awaitKnown(List<ProcessHandleBox> routers, int members, int engines) {
        for (ProcessHandleBox router : routers) {
            await(() -> {
                JsonNode status = status(router);
                long serving = count(
                        status.path("members"), m -> m.path("status").asText().equals("ALIVE"));
                long reported = count(
                        status.path("replicas"),
                        r -> !r.path("weights").asText().isEmpty());
                return status.path("config_version").asLong() > 0 && serving == members && reported >= engines;
            });
        }
    }

    private static long count(JsonNode list, Predicate<JsonNode> which) {
        return StreamSupport.stream(list.spliterator(), false).filter(which).count();
    }

    JsonNode status(ProcessHandleBox router) throws IOException, InterruptedException {
        return Json.parse(get(router, "/v1/status").body()).get();
    }

    JsonNode stats(ProcessHandleBox standin) throws IOException, InterruptedException {
        return Json.parse(get(standin, "/admin/stats").body()).get();
    }

    HttpResponse<String> get(ProcessHandleBox box, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + box.http() + path))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> post(ProcessHandleBox box, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(request(box, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    HttpRequest request(ProcessHandleBox box, String path, String body, String... headers) {
        return requestTo(box.http(), path, body, headers);
    }

    HttpRequest requestTo(String address, String path, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .version(HttpClient.Version.HTTP_1_1)
                .header("Authorization", "Bearer " + CUSTOMER_KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i < headers.length; i += 2) {
            request.setHeader(headers[i], headers[i + 1]);
        }
        return request.build();
    }

    HttpClient client() {
        return client;
    }

    void fault(ProcessHandleBox standin, String json) throws IOException, InterruptedException {
        post(standin, "/admin/faults", json);
    }

    static String chat(String dossier, int tokens, boolean stream) {
        return Json.write(chatBody(dossier, tokens, stream));
    }

    /** A chat whose request names a user, by whom the stand-in engines count. */
    static String chat(String dossier, String user, int tokens, boolean stream) {
        return Json.write(chatBody(dossier, tokens, stream).put("user", user));
    }

    private static ObjectNode chatBody(String dossier, int tokens, boolean stream) {
        return Json.object()
                .put("model", MODEL)
                .put("max_tokens", tokens)
                .put("stream", stream)
                .set("messages", messages(dossier));
    }

    private static JsonNode messages(String dossier) {
        ArrayNode list = Json.object().putArray("messages");
        list.addObject().put("role", "system").put("content", "instructions of the house ".repeat(40));
        list.addObject().put("role", "user").put("content", (dossier + " ").repeat(200));
        list.addObject().put("role", "user").put("content", "what now?");
        return list;
    }

    /** The text of a stream of events, or of a whole answer. */
    static String text(String body) {
        StringBuilder text = new StringBuilder();
        body.lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> Json.parse(line.substring("data: ".length())).get())
                .map(json -> json.path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText(""))
                .forEach(text::append);
        return text.toString();
    }

    static boolean isWhole(String body) {
        return body.endsWith("data: [DONE]\n\n");
    }

    /** Looks until a condition holds. */
    static void await(Callable<Boolean> condition) {
        long giveUp = System.nanoTime() + GIVE_UP_NANOS;
        while (true) {
            if (holds(condition)) {
                return;
            }
            if (System.nanoTime() > giveUp) {
                throw new AssertionError("the condition never held");
            }
            LockSupport.parkNanos(LOOK_AGAIN_NANOS);
        }
    }

    private static boolean holds(Callable<Boolean> condition) {
        try {
            return condition.call();
        } catch (IOException e) {
            return false;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    ProcessHandleBox store() {
        return store;
    }

    @Override
    public void close() throws InterruptedException {
        for (ProcessHandleBox box : processes) {
            box.kill();
        }
        List<String> errors =
                processes.stream().flatMap(ProcessHandleBox::uncaughtErrors).toList();
        assertEquals(errors.size(), 0, String.join("\n", errors));
    }
}
