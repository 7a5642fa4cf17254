package org.hornbeamhead.standin;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.settings.Durations;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.ExitCode;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.standin.engine.EngineOptions;
import org.hornbeamhead.standin.engine.EngineServer;
import org.hornbeamhead.standin.engine.EngineSpeed;
import org.hornbeamhead.standin.load.LoadMain;
import org.hornbeamhead.standin.platform.HostListServer;
import org.hornbeamhead.standin.platform.StoreLimits;
import org.hornbeamhead.standin.platform.StoreServer;
import org.hornbeamhead.standin.platform.WeightStoreServer;
import org.hornbeamhead.standin.service.PlainServer;

/** Starts one stand-in, or the load tool. The first argument says which. */
public final class StandinMain {
    private static final String KINDS = "engine, service, store, hosts, weights, register, load";
    private static final Duration REGISTER_LIMIT = Duration.ofSeconds(5);

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> listen =
            parser.accepts("listen", "address to listen at").withRequiredArg().defaultsTo("127.0.0.1:0");
    private final OptionSpec<String> hostList = parser.accepts("host-list", "list of hosts to register with")
            .withRequiredArg()
            .defaultsTo("");
    private final OptionSpec<String> kind = parser.accepts("kind", "register: entry, engine or service")
            .withRequiredArg()
            .defaultsTo("entry");
    private final OptionSpec<String> address =
            parser.accepts("address", "register: the address").withRequiredArg().defaultsTo("");
    private final OptionSpec<String> peer = parser.accepts("peer", "register: the address for other routers")
            .withRequiredArg()
            .defaultsTo("");
    private final OptionSpec<Boolean> leaving = parser.accepts("leaving", "register: whether the host is leaving")
            .withRequiredArg()
            .ofType(Boolean.class)
            .defaultsTo(false);
    private final OptionSpec<String> pool =
            parser.accepts("pool", "name of the pool").withRequiredArg().defaultsTo("pool");
    private final OptionSpec<String> dataCentre = parser.accepts("data-centre", "name of the data centre")
            .withRequiredArg()
            .defaultsTo("dc-1");
    private final OptionSpec<String> software = parser.accepts("software", "engine: version of its software")
            .withRequiredArg()
            .defaultsTo("v1");
    private final OptionSpec<String> model = parser.accepts("model", "engine: name of the model")
            .withRequiredArg()
            .defaultsTo("model");
    private final OptionSpec<String> weights = parser.accepts("weights", "engine: version of the weights")
            .withRequiredArg()
            .defaultsTo("w1");
    private final OptionSpec<String> weightStore = parser.accepts("weight-store", "engine: where to load weights")
            .withRequiredArg()
            .defaultsTo("");
    private final OptionSpec<Boolean> checksFence = parser.accepts("checks-fence", "engine: refuse old orders")
            .withRequiredArg()
            .ofType(Boolean.class)
            .defaultsTo(true);
    private final OptionSpec<String> reportLag = parser.accepts("report-lag", "engine: age of load reports")
            .withRequiredArg()
            .defaultsTo("200 ms");
    private final OptionSpec<Integer> prefill = number("prefill", "engine: prompt tokens a second", 40_000);
    private final OptionSpec<Integer> decode = number("decode-ms", "engine: time between tokens", 10);
    private final OptionSpec<Integer> cacheTokens = number("cache-tokens", "engine: size of the cache", 120_000);
    private final OptionSpec<Integer> cacheMillis = number("cache-ms", "engine: life of an unused block", 20_000);
    private final OptionSpec<Integer> graceMillis = number("grace-ms", "engine: time to resume a cut stream", 2_000);
    private final OptionSpec<String> lag = parser.accepts("lag", "hosts: how late changes show")
            .withRequiredArg()
            .defaultsTo("0 ms");
    private final OptionSpec<String> loadTime = parser.accepts("load-time", "weights: time of a load")
            .withRequiredArg()
            .defaultsTo("500 ms");
    private final OptionSpec<Integer> reads = number("reads", "store: reads a second", 2_000);
    private final OptionSpec<Integer> writes = number("writes", "store: writes a second", 400);
    private final OptionSpec<Integer> seed = number("seed", "seed of all faults drawn at random", 1);

    private StandinMain() {}

    /**
     * Runs a stand-in until it is ended.
     *
     * @param args its kind, then its options
     */
    public static void main(String[] args) {
        Logs.configure();
        ExitCode code =
                args.length > 0 && args[0].equals("load") ? LoadMain.run(tail(args)) : new StandinMain().run(args);
        System.exit(code.code());
    }

    private static String[] tail(String... args) {
        return Arrays.copyOfRange(args, 1, args.length);
    }

    private OptionSpec<Integer> number(String name, String text, int value) {
        return parser.accepts(name, text)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(value);
    }

    private ExitCode run(String... args) {
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        try {
            OptionSet options = parser.parse(args);
            List<?> kinds = options.nonOptionArguments();
            if (options.has(help) || kinds.size() != 1) {
                System.out.println("usage: hornbeam-standin KIND [OPTIONS]; kinds: " + KINDS);
                parser.printHelpOn(System.out);
                return options.has(help) ? ExitCode.OK : ExitCode.USAGE;
            }
            return start(kinds.get(0).toString(), options);
        } catch (OptionException | IllegalArgumentException e) {
            System.err.println("hornbeam-standin: " + e.getMessage());
            return ExitCode.USAGE;
        } catch (IOException e) {
            System.err.println("hornbeam-standin: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private ExitCode start(String what, OptionSet options) throws IOException {
        Daemon daemon = new Daemon();
        switch (what) {
            case "engine" -> serve(
                    daemon, options, new EngineServer(daemon, engine(options)).servlet(), EndpointKind.ENGINE);
            case "service" -> serve(
                    daemon, options, new PlainServer(daemon, options.valueOf(seed)).servlet(), EndpointKind.SERVICE);
            case "store" -> serve(daemon, options, store(daemon, options).servlet(), null);
            case "hosts" -> serve(daemon, options, new HostListServer(daemon, duration(options, lag)).servlet(), null);
            case "weights" -> serve(
                    daemon, options, new WeightStoreServer(daemon, duration(options, loadTime)).servlet(), null);
            case "register" -> registerOnly(daemon, options);
            default -> throw new IllegalArgumentException("unknown kind '" + what + "'; kinds: " + KINDS);
        }
        return ExitCode.OK;
    }

    private StoreServer store(Daemon daemon, OptionSet options) {
        StoreLimits limits = new StoreLimits(options.valueOf(reads), options.valueOf(writes));
        return new StoreServer(daemon, limits, options.valueOf(seed));
    }

    private EngineOptions engine(OptionSet options) {
        EngineSpeed standard = EngineSpeed.STANDARD;
        EngineSpeed speed = new EngineSpeed(
                options.valueOf(prefill),
                options.valueOf(decode),
                standard.streamsToDouble(),
                standard.maxStreams(),
                options.valueOf(cacheTokens),
                options.valueOf(cacheMillis));
        return new EngineOptions(
                options.valueOf(software),
                options.valueOf(model),
                options.valueOf(weights),
                speed,
                duration(options, reportLag),
                options.valueOf(checksFence),
                options.valueOf(weightStore),
                Duration.ofMillis(options.valueOf(graceMillis)));
    }

    private static Duration duration(OptionSet options, OptionSpec<String> option) {
        return Durations.parse(options.valueOf(option))
                .getOrElseThrow((String why) -> new IllegalArgumentException(why));
    }

    private void serve(Daemon daemon, OptionSet options, AsyncServlet servlet, EndpointKind registered)
            throws IOException {
        InetSocketAddress at = Addresses.parse(options.valueOf(listen))
                .getOrElseThrow((String why) -> new IllegalArgumentException(why));
        HttpServer server = daemon.listen(at, servlet);
        daemon.onSignal(daemon::end);
        if (registered != null && !options.valueOf(hostList).isEmpty()) {
            Endpoint endpoint = new Endpoint(
                    registered, options.valueOf(pool), Daemon.address(server), "", options.valueOf(dataCentre), false);
            register(daemon, options, endpoint, () -> Daemon.announce("http=" + Daemon.address(server)));
        } else {
            Daemon.announce("http=" + Daemon.address(server));
        }
        daemon.run();
    }

    private void registerOnly(Daemon daemon, OptionSet options) {
        Endpoint endpoint = new Endpoint(
                EndpointKind.valueOf(options.valueOf(kind).toUpperCase(Locale.ROOT)),
                options.valueOf(pool),
                options.valueOf(address),
                options.valueOf(peer),
                options.valueOf(dataCentre),
                options.valueOf(leaving));
        register(daemon, options, endpoint, daemon::end);
        daemon.run();
    }

    private void register(Daemon daemon, OptionSet options, Endpoint endpoint, Runnable then) {
        String url = "http://" + options.valueOf(hostList) + "/admin/hosts";
        HttpCaller.connectingAnew(daemon.reactor())
                .call(HttpMethod.POST, url, Json.write(endpoint), REGISTER_LIMIT)
                .subscribe((reply, e) -> {
                    if (e != null || !reply.isOk()) {
                        System.err.println("hornbeam-standin: the list of hosts does not answer");
                        daemon.end();
                    } else {
                        then.run();
                    }
                });
    }
}
