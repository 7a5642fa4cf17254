package org.hornbeamhead.daemon;

import static org.testng.Assert.assertTrue;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
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

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
