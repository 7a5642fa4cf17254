package org.hornbeamhead.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What callers of an address learn when it cannot be called. */
public class HttpCallerTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    @DataProvider
    public Object[][] ways() {
        Function<NioReactor, HttpCaller> kept = HttpCaller::keepingAlive;
        Function<NioReactor, HttpCaller> anew = HttpCaller::connectingAnew;
        BiFunction<HttpCaller, String, Promise<?>> call =
                (caller, url) -> caller.call(HttpMethod.POST, url, "{}", LIMIT);
        BiFunction<HttpCaller, String, Promise<?>> open =
                (caller, url) -> caller.open(HttpRequest.get(url).build(), LIMIT);
        return new Object[][] {{kept, call}, {kept, open}, {anew, call}, {anew, open}};
    }

    /** Guards against taking a request that never left for one that may have run. */
    @Test(dataProvider = "ways")
    public void aRefusedConnectionIsToldAsSuch(
            Function<NioReactor, HttpCaller> made, BiFunction<HttpCaller, String, Promise<?>> way) throws IOException {
        Eventloop reactor = Eventloop.create();
        String url = "http://127.0.0.1:" + closedPort() + "/";
        Exception[] failure = new Exception[1];
        reactor.execute(() -> way.apply(made.apply(reactor), url).subscribe((v, e) -> failure[0] = e));
        reactor.run();
        assertTrue(failure[0] instanceof ConnectException, String.valueOf(failure[0]));
    }

    @DataProvider
    public Object[][] callers() {
        Function<NioReactor, HttpCaller> kept = HttpCaller::keepingAlive;
        Function<NioReactor, HttpCaller> anew = HttpCaller::connectingAnew;
        return new Object[][] {{kept}, {anew}};
    }

    /** Guards against a buffer that is given back twice, and then belongs to two connections at once. */
    @Test(dataProvider = "callers")
    public void anAnswersBufferIsGivenBackOnce(Function<NioReactor, HttpCaller> made) throws IOException {
        List<Throwable> errors = new ArrayList<>();
        Eventloop reactor = Eventloop.builder()
                .withFatalErrorHandler((e, context) -> errors.add(e))
                .build();
        List<String> bodies = new ArrayList<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread answering = new Thread(() -> answerOnce(server));
            answering.start();
            String url = "http://127.0.0.1:" + server.getLocalPort() + "/";
            reactor.execute(() -> made.apply(reactor)
                    .call(HttpMethod.GET, url, "", LIMIT)
                    .whenResult(reply -> bodies.add(reply.body())));
            reactor.run();
        }
        assertEquals(bodies, List.of("hello"));
        assertEquals(errors, List.of());
    }

    private static void answerOnce(ServerSocket server) {
        try (Socket socket = server.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            while (!in.readLine().isEmpty()) {
                // The request's head ends with an empty line.
            }
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
