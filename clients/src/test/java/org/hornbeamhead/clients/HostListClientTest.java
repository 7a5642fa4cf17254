package org.hornbeamhead.clients;

import static org.testng.Assert.assertEquals;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpCaller;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class HostListClientTest {
    private Daemon daemon;
    private HttpServer server;
    private HostListClient client;
    private Promise<List<Endpoint>> first;
    private SettablePromise<HttpResponse> held;
    private List<Boolean> taken;

    /** The list on the wire. */
    public record Listed(List<Endpoint> hosts) {}

    @BeforeMethod
    public void setUp() throws Exception {
        daemon = new Daemon();
        server = daemon.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this::answer);
        client = new HostListClient(HttpCaller.keepingAlive(daemon.reactor()), Daemon.address(server));
        held = null;
        taken = new ArrayList<>();
    }

    // An engine that routers have seen leave gets new work again. The list is read for one call, the engine leaves, the
    // list is read for the next call, and the answers come in reverse: the older one is taken last, and stays in force
    // until the call after.
    @Test
    public void aListReadEarlierIsNeverTakenAfterALaterOne() {
        first = fetch();
        first.whenComplete(this::fetchUntilItLeaves);
        daemon.run();
        assertEquals(taken, taken.stream().sorted().toList());
    }

    private Promise<List<Endpoint>> fetch() {
        Promise<List<Endpoint>> call = client.fetch();
        call.whenResult(hosts -> taken.add(hosts.get(0).leaving()));
        return call;
    }

    private Promise<HttpResponse> answer(HttpRequest request) {
        if (held != null) {
            return list(true);
        }
        held = new SettablePromise<>();
        daemon.reactor().post(this::askAgain);
        return held;
    }

    /** The engine has left. The first call is answered after the second, if there is a second. */
    private void askAgain() {
        Promise<List<Endpoint>> again = fetch();
        if (again == first) {
            answerFirst();
        } else {
            again.whenComplete(this::answerFirst);
        }
    }

    private void answerFirst() {
        list(false).subscribe(held::set);
    }

    private void fetchUntilItLeaves() {
        if (taken.contains(true) && taken.get(taken.size() - 1)) {
            server.close().whenComplete(daemon::end);
        } else {
            fetch().whenComplete(this::fetchUntilItLeaves);
        }
    }

    private static Promise<HttpResponse> list(boolean leaving) {
        Endpoint engine = new Endpoint(EndpointKind.ENGINE, "pool", "10.0.0.1:80", "", "dc", leaving);
        return HttpAnswers.json(200, new Listed(List.of(engine)));
    }
}
