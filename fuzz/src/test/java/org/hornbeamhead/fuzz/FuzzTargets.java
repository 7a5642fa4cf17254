package org.hornbeamhead.fuzz;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import org.hornbeamhead.core.config.ConfigRecord;
import org.hornbeamhead.core.config.OperatorsConfigReader;
import org.hornbeamhead.core.crash.ArchiveReading;
import org.hornbeamhead.core.crash.CrashHistory;
import org.hornbeamhead.core.crash.CrashReportCodec;
import org.hornbeamhead.core.drain.DrainOrders;
import org.hornbeamhead.core.engine.LoadHint;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.limit.BrittleHint;
import org.hornbeamhead.core.limit.BrittleLimit;
import org.hornbeamhead.core.limit.LimitHint;
import org.hornbeamhead.core.limit.RequestLimiter;
import org.hornbeamhead.core.load.LoadStatement;
import org.hornbeamhead.core.load.LoadStatementHint;
import org.hornbeamhead.core.load.StatedLoad;
import org.hornbeamhead.core.path.PathHint;
import org.hornbeamhead.core.path.PeerPaths;
import org.hornbeamhead.core.quota.QuotaContacts;
import org.hornbeamhead.core.quota.QuotaHint;
import org.hornbeamhead.core.quota.QuotaLedger;
import org.hornbeamhead.core.resume.OriginMessage;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.resume.StreamKey;
import org.hornbeamhead.core.resume.StreamOrigin;
import org.hornbeamhead.core.settings.Decimals;
import org.hornbeamhead.core.settings.Durations;
import org.hornbeamhead.core.ticket.Ticket;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.gateway.path.RelayHeaders;
import org.hornbeamhead.gateway.resume.OriginExchange;
import org.hornbeamhead.gateway.state.PeerReading;
import org.hornbeamhead.gateway.state.SoftwareRecordReading;
import org.hornbeamhead.platform.DocumentReading;
import org.hornbeamhead.platform.HeaderReading;

/** The readers of bytes that others wrote, and inputs that they take. */
final class FuzzTargets {
    private static final StreamOrigin ORIGIN =
            new StreamOrigin(StreamKey.of("s", "c", "r"), SoftwareVersion.named("v1"));

    /** The readers of bytes that may come without end, by the names of their targets. */
    static final Set<String> UNBOUNDED_INPUTS = Set.of("REQUESTS", "RESPONSES", "EVENTS");

    static final List<FuzzTarget> ALL = List.of(
            // What callers send.
            target(
                    "REQUESTS",
                    HttpReading::requests,
                    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
                    "PUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;q\r\nab\r\n0\r\nt: u\r\n\r\n"),
            // What replicas answer.
            target(
                    "RESPONSES",
                    HttpReading::response,
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "2\r\nab\r\n0\r\n\r\n",
                    "HTTP/1.1 204 -\r\nContent-Length: 0\r\n\r\n"),
            // What replicas stream.
            target("EVENTS", StreamReading::events, "id: 1\ndata: x\n\nid: 22\r\ndata: y\r\ndata: z\r\n\r\n"),
            // What routers tell one another of their work.
            target(
                    "HINTS",
                    FuzzTargets::hints,
                    latin(new LoadHint(
                                    7,
                                    List.of(new LoadHint.ReplicaLoad(1, 2, 3, 4)),
                                    List.of(new LoadHint.SentRequest(5, 6, 7, 8)))
                            .encode())),
            // What routers tell one another of the use of quotas.
            target(
                    "QUOTA_HINTS",
                    FuzzTargets::quotaHints,
                    latin(new QuotaHint(1, 2, true, false, List.of(new QuotaHint.Use(3, 4, 5))).encode())),
            // What routers tell one another of replicas' request limits.
            target(
                    "LIMIT_HINTS",
                    FuzzTargets::limitHints,
                    latin(new LimitHint(
                                    1,
                                    2,
                                    List.of(new LimitHint.Entry(
                                            3, Optional.of(new LimitHint.Statement(2.5, 40, 30)), List.of(1, 0, 2))))
                            .encode())),
            // What routers tell one another of brittle replicas, and of services that they do not reach.
            target(
                    "BRITTLE_HINTS",
                    FuzzTargets::brittleHints,
                    latin(new BrittleHint(1, 2, List.of(new BrittleHint.Entry(3, 4, 1))).encode())),
            target("PATH_HINTS", FuzzTargets::pathHints, latin(new PathHint(1, 2, Set.of(3, 4)).encode())),
            // What routers tell one another of the load that replicas state.
            target(
                    "LOAD_STATEMENT_HINTS",
                    FuzzTargets::loadStatementHints,
                    latin(new LoadStatementHint(List.of(new LoadStatementHint.Entry(
                                    1, new LoadStatement(2, 3, 4, OptionalInt.of(250)), 60, 20)))
                            .encode())),
            // What routers tell and ask one another of streams, and keep in the store of software versions.
            target(
                    "STREAM_ORIGINS",
                    FuzzTargets::streamOrigins,
                    latin(new OriginMessage.Announcement(List.of(ORIGIN)).encode()),
                    latin(new OriginMessage.Question(ORIGIN.key()).encode()),
                    latin(new OriginMessage.Answer(ORIGIN.key(), Optional.of(ORIGIN.software())).encode())),
            target(
                    "SOFTWARE_RECORD",
                    texts(SoftwareRecordReading::read),
                    "{\"sinceMillis\":5,\"services\":{\"lm\":{\"9a\":0,\"ffffffffffffffff\":17}}}"),
            target("STREAM_SOFTWARE", texts(FuzzTargets::streamSoftware), "ffffffffffffffff", "9a"),
            // The headers of replicas' answers.
            target(
                    "REPLICA_HEADERS",
                    texts(HeaderReading::read),
                    "X-Attempt-Id: 1\nX-Server-Stamp: s\nServer-Limit: 2.5\nServer-Brittle: 3\nX-Weight-Versions: 3",
                    "X-Server-Stamp: s\nX-Server-Load: 3,0,6,250",
                    "X-Not-Executed: 1\nRetry-After:2.5\nServer-Leaving:1"),
            // What routers tell one another of crashes.
            target("CRASH_NEWS", FuzzTargets::crashNews, "\u00c5\0\1\0\0\0\0\0\0\0\7\1\0\0\0\5\0\0\0\u0009\0\u0008"),
            target(
                    "CRASH_NEWS_OF_PROMPT_PARTS",
                    FuzzTargets::crashNews,
                    "\u00c6\0\1\0\0\0\0\0\0\0\7\1\0\0\0\5\0\0\0\u0009\0\u0008"),
            // What routers keep in the store of crashes.
            target("CRASH_ARCHIVE", texts(ArchiveReading::read), "5 xQABAAAAAAAAAAcBAAAABQAAAAkACA=="),
            // What routers answer one another, and how they list themselves.
            target(
                    "PEERS",
                    texts(PeerReading::read),
                    "{\"revision\":3,\"whole\":true,\"ageMillis\":4,"
                            + "\"named\":[{\"model\":\"m\",\"version\":2,\"millisAgo\":7}],"
                            + "\"items\":[{\"key\":\"k\",\"revision\":2,\"value\":\"v\",\"removed\":false}]}",
                    "{\"node\":\"n2\",\"caller\":\"10.0.0.2:80\",\"peer\":\"10.0.0.2:81\",\"hints\":\"10.0.0.2:82\","
                            + "\"dataCentre\":\"z\",\"capacity\":100.0,\"startedWallMillis\":0}"),
            // What operators and replicas write into the platform's store.
            target(
                    "DOCUMENTS",
                    texts(DocumentReading::read),
                    "{\"version\":1,\"limits\":{\"max_header_bytes\":1000},"
                            + "\"routes\":[{\"name\":\"r\",\"host\":\"H\","
                            + "\"prefix\":\"/\",\"kind\":\"streaming\","
                            + "\"backends\":[{\"service\":\"s\",\"weight\":1}]}],"
                            + "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":3,\"models\":[{\"name\":\"m\"}]}},"
                            + "{\"name\":\"t\"}],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],\"priority\":3,"
                            + "\"unit\":\"tokens\",\"uncached_tokens\":2,\"rate_per_s\":5,\"burst\":1e3}]}",
                    "{\"service\":\"s\",\"address\":\"127.0.0.1:33\",\"zone\":\"z\",\"slots\":8,\"state\":\"ready\","
                            + "\"models\":[{\"name\":\"m\",\"version\":3}],\"seq\":1}"),
            // Drain orders of the own interface.
            target("DRAIN_ORDERS", texts(FuzzTargets::drainOrders), "e|a|5|r|\nf|b|6|q|z"),
            // Numbers and durations of all settings files.
            target(
                    "NUMBERS",
                    texts(FuzzTargets::numbers),
                    "38.2608695652174",
                    "1e-05",
                    "1500.5 ms",
                    "8.0 s",
                    "-2.5E+3"),
            // Operators' settings of the own interface.
            target(
                    "SETTINGS",
                    texts(text -> OperatorsConfigReader.read("fuzz", text)),
                    "[fleet]\nname = a\n[pool lm]\nkind = engine\nmodel = m\nweights = w1\n"),
            // Versions of those settings, as they stand in the store.
            target(
                    "SETTINGS_LOG",
                    texts(ConfigRecord::read),
                    "version: 2\nchange: c\nauthor: a\ntime: 5\nreason: r\nkind: full\n\n[fleet]\nname = a\n",
                    "version: 2\nchange: c\nauthor: a\ntime: 5\nreason: r\nkind: edit\n\n"
                            + "set 1 p\nkind = e\nremove q\n"),
            // Tickets of the own interface.
            target("TICKETS", texts(FuzzTargets::tickets), "ticket:10.0.0.1:80~5!77"));

    private FuzzTargets() {}

    private static FuzzTarget target(String name, Consumer<byte[]> reader, String... seeds) {
        return new FuzzTarget(name, reader, List.of(seeds));
    }

    private static Consumer<byte[]> texts(Consumer<String> reader) {
        return bytes -> reader.accept(new String(bytes, StandardCharsets.UTF_8));
    }

    private static String latin(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static void hints(byte[] bytes) {
        LoadHint.decode(bytes).ifPresent(h -> assertEquals(LoadHint.decode(h.encode()), Optional.of(h)));
    }

    private static void quotaHints(byte[] bytes) {
        QuotaLedger ledger =
                new QuotaLedger(0, new QuotaContacts(0, 1), () -> new QuotaContacts.Fleet(Set.of("a"), 2, 0, Set.of()));
        QuotaHint.decode(bytes).ifPresent(h -> {
            assertEquals(QuotaHint.decode(h.encode()), Optional.of(h));
            ledger.merge("a", h, 0);
        });
    }

    private static void limitHints(byte[] bytes) {
        RequestLimiter limiter = new RequestLimiter();
        LimitHint.decode(bytes).ifPresent(h -> {
            assertEquals(LimitHint.decode(h.encode()), Optional.of(h));
            h.entries().forEach(e -> limiter.merge(h.life(), h.sequence(), e, 0));
        });
        limiter.accepts(1, 1);
        limiter.bookReturnMillis(1, 1);
        limiter.takeEntry(1, 1);
    }

    private static void brittleHints(byte[] bytes) {
        BrittleLimit limit = new BrittleLimit();
        BrittleHint.decode(bytes).ifPresent(h -> {
            assertEquals(BrittleHint.decode(h.encode()), Optional.of(h));
            h.entries().forEach(e -> limit.merge(h.life(), h.sequence(), e, 0));
        });
        limit.accepts(1, 1, 1, 1, 1);
        limit.entry(1, 1);
    }

    private static void loadStatementHints(byte[] bytes) {
        StatedLoad load = new StatedLoad();
        LoadStatementHint.decode(bytes).ifPresent(h -> {
            assertEquals(LoadStatementHint.decode(h.encode()), Optional.of(h));
            h.entries().forEach(e -> load.observe(e.statement(), -e.requestedAgeMillis(), -e.answeredAgeMillis()));
        });
        assertTrue(load.pace(0) >= 1 && load.pace(0) <= LoadStatement.MAX_PACE_PERCENT / 100.0);
        assertTrue(load.requests(0) >= 0);
    }

    private static void pathHints(byte[] bytes) {
        PeerPaths paths = new PeerPaths();
        PathHint.decode(bytes).ifPresent(h -> {
            assertEquals(PathHint.decode(h.encode()), Optional.of(h));
            paths.merge("peer", h, 0);
        });
        paths.hasPath("peer", "service", 1);
        paths.hasAllPaths("peer", 1);
    }

    private static void streamOrigins(byte[] bytes) {
        OriginMessage.decode(bytes).ifPresent(m -> assertEquals(OriginMessage.decode(m.encode()), Optional.of(m)));
        List<byte[]> sent = new ArrayList<>();
        OriginExchange exchange = new OriginExchange(
                new ManualClock(0),
                (delay, action) -> {},
                "a:1",
                () -> List.of("b:1"),
                (to, datagram) -> sent.add(datagram));
        exchange.find(ORIGIN.key(), software -> {});
        exchange.receive("b:1", bytes);
    }

    private static void streamSoftware(String text) {
        Headers headers = Headers.NONE.with("Hornbeam-Stream-Software", text);
        RelayHeaders.software(headers)
                .ifPresent(s -> assertEquals(
                        RelayHeaders.software(RelayHeaders.withSoftware(Headers.NONE, Optional.of(s))),
                        Optional.of(s)));
    }

    private static void crashNews(byte[] bytes) {
        CrashHistory history = new CrashHistory(new ManualClock(0));
        CrashReportCodec.decode(bytes).ifPresent(news -> {
            assertEquals(CrashReportCodec.decode(CrashReportCodec.encode(news)), Optional.of(news));
            news.forEach(history::merge);
        });
        history.removeExpired();
        history.quarantinedCount();
        CrashReportCodec.encode(CrashReportCodec.limitToSize(history.reports(), CrashReportCodec.MAX_DATAGRAM_BYTES));
    }

    private static void numbers(String text) {
        Decimals.parse(text)
                .forEach(d -> assertEquals(Decimals.parse(Double.toString(d)).get(), d));
        Durations.parse(text).forEach(d -> assertFalse(d.isNegative()));
    }

    private static void drainOrders(String text) {
        DrainOrders orders = DrainOrders.parse(text);
        assertEquals(DrainOrders.parse(orders.format()), orders);
    }

    private static void tickets(String text) {
        Ticket.parse(text).ifPresent(t -> assertEquals(Ticket.parse(t.format()), Optional.of(t)));
        Ticket.parse(text).ifPresent(Ticket::address);
    }
}
