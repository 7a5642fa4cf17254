package org.hornbeamhead.ctl;

import static org.testng.Assert.assertEquals;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hornbeamhead.daemon.ExitCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the exit codes of {@code hornbeamctl explain}. */
public class ExplainCommandTest {
    private static ExitCode explain(int port) {
        return ExplainCommand.run("127.0.0.1:" + port, Map.of("host", "h"), false);
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {200, "{\"replicas\":[{\"id\":\"r\"}],\"decision\":{\"action\":\"SEND\"}}", ExitCode.OK},
            {200, "hornbeam_replicas 2.0\n", ExitCode.FAILED},
            {400, "{\"field\":\"path\",\"reason\":\"is missing\"}", ExitCode.USAGE},
            {400, "", ExitCode.USAGE},
            {404, "", ExitCode.FAILED},
            {503, "", ExitCode.FAILED},
        };
    }

    /** Guards against scripts that take a failed explanation for an answer, or a wrong query for a failed router. */
    @Test(dataProvider = "answers")
    public void exitCodeFollowsTheAnswer(int status, String body, ExitCode expected) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        List<String> queries = new CopyOnWriteArrayList<>();
        server.createContext("/explain", exchange -> {
            queries.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
        server.start();
        try {
            assertEquals(explain(server.getAddress().getPort()), expected);
            assertEquals(queries, List.of("{\"host\":\"h\"}"), "the fields are in the body");
        } finally {
            server.stop(0);
        }
    }

    /** Guards against an exit code of success without a router. */
    @Test
    public void unreachableRouterIsAFailure() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        int port = server.getAddress().getPort();
        server.stop(0);
        assertEquals(explain(port), ExitCode.FAILED);
    }
}
