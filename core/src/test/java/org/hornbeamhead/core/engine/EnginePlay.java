package org.hornbeamhead.core.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/**
 * Plays a load on engines in virtual time: chooser and admission decide, and engines read prompts in pieces between the
 * tokens of running answers, with the figures of the sheets. Several routers choose, each by what it knows: its own
 * work at once, that of the others a little later. The same seed gives the same play.
 */
final class EnginePlay {
    /** A kind of request: how many come a second, how long prompts and answers are, and when they are late. */
    record Kind(
            String name,
            double perSecond,
            int sharedTokens,
            int dossiers,
            int ownTokens,
            int output,
            double outputSpread,
            int target) {}

    /** What callers of one kind got. */
    record Served(int asked, int onTime, int late, int refused, int turnedAway) {
        double onTimePart() {
            return (double) onTime / Math.max(1, asked);
        }
    }

    private static final int USUAL_SLOTS = 64;
    /** Requests that wait at an engine for a slot; it turns away any more. */
    private static final int QUEUED = 4;

    private static final int CHUNK_TOKENS = 4_096;
    private static final double STEP_MILLIS = 3.4;
    private static final double STEP_MILLIS_PER_REQUEST = 0.017;
    /** An event holds this many tokens, the first one a single token. Answers are counted in events. */
    private static final int EVENT_TOKENS = 7;

    private static final int PAUSE_MILLIS = 500;
    private static final int MEMORY_TOKENS = 94_571;
    private static final long TOKEN_BYTES = 163_840;
    private static final CacheLinks LINKS = new CacheLinks(CacheLinks.tokensPerMilli(530_000, TOKEN_BYTES), List.of());
    private static final long TIME_LEFT = 5_000;
    private static final double OWN_SPREAD = 1.0;
    private static final double OUTPUT_MAX = 4.0;
    /** What a router did is known to the others after this time, on its way and in the mean until it is told. */
    private static final int HINT_MILLIS = 30;
    /** How often routers tell what they have where. */
    private static final int TOTALS_MILLIS = 40;

    private final int slots;
    private final Random random;
    private final List<Kind> kinds;
    private final List<Router> routers = new ArrayList<>();
    private final Deque<Hint> hints = new ArrayDeque<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Map<Kind, int[]> counts = new HashMap<>();
    private int nextId;
    private long countedFrom;

    /** One router's view of the engines. */
    private static final class Router {
        private final String name;
        private final EngineChooser chooser = new EngineChooser(false);
        private final Map<String, EngineLoad> loads = new HashMap<>();

        Router(String name) {
            this.name = name;
        }

        EngineLoad load(String engine) {
            return loads.computeIfAbsent(engine, e -> new EngineLoad());
        }

        void heard(EngineChoice choice, long now) {
            EngineLoad load = load(choice.engine().id());
            load.hinted(choice.readMillis(), now);
            noteSent(choice, now);
        }

        void noteSent(EngineChoice choice, long now) {
            String engine = choice.engine().id();
            chooser.sent(choice.beginning(), engine, load(engine).waitMillis(now), LINKS, choice.storeMillis(), now);
        }

        void heardTotals(Router other, long now) {
            other.loads.forEach((engine, l) ->
                    load(engine).hinted(other.name, l.own(), l.ownLongAnswers(), l.ownMemoryTokens(), now));
        }
    }

    private record Hint(Router from, EngineChoice choice, long at) {}

    private static final class Running {
        private final String id;
        private final Router router;
        private final Kind kind;
        private final long arrived;
        private final int output;
        private final int tokens;
        private int toRead;
        private int read;
        private int made;
        private double lastEvent;
        private boolean late;

        Running(String id, Router router, Kind kind, long arrived, int output, int read, int toRead) {
            this.id = id;
            this.router = router;
            this.kind = kind;
            this.arrived = arrived;
            this.output = 1 + (output - 1) * EVENT_TOKENS;
            this.read = read;
            this.toRead = toRead;
            this.tokens = read + toRead + this.output;
            this.lastEvent = arrived;
        }
    }

    private final class Engine {
        private final String id;
        private final Set<String> held = new HashSet<>();
        private final List<Running> waiting = new ArrayList<>();
        private final List<Running> running = new ArrayList<>();
        private double now;

        Engine(String id) {
            this.id = id;
        }

        /** Works until the time given. */
        void workUntil(double end) {
            while (now < end) {
                admit();
                if (running.isEmpty()) {
                    now = end;
                    return;
                }
                step();
            }
        }

        private void admit() {
            int used = running.stream().mapToInt(r -> r.tokens).sum();
            while (!waiting.isEmpty() && running.size() < slots && used + waiting.get(0).tokens <= MEMORY_TOKENS) {
                used += waiting.get(0).tokens;
                running.add(waiting.remove(0));
            }
        }

        private void step() {
            double millis = STEP_MILLIS + STEP_MILLIS_PER_REQUEST * running.size();
            int budget = CHUNK_TOKENS;
            List<Running> making = new ArrayList<>();
            for (Running r : running) {
                int piece = Math.min(budget, r.toRead);
                millis += ReadingCost.readMillis(r.read, piece);
                r.read += piece;
                r.toRead -= piece;
                budget -= piece;
                if (r.toRead == 0) {
                    making.add(r);
                }
            }
            now += millis;
            making.forEach(this::token);
            running.removeIf(r -> r.made >= r.output);
        }

        private void token(Running r) {
            r.made++;
            if (r.made == 1) {
                r.router.load(id).firstEvent(r.id, Math.round(now));
                r.late = now - r.arrived > r.kind.target();
                r.lastEvent = now;
            } else if ((r.made - 1) % EVENT_TOKENS == 0) {
                r.late |= now - r.lastEvent > PAUSE_MILLIS;
                r.lastEvent = now;
            }
            if (r.made >= r.output) {
                r.router.load(id).ended(r.id);
                if (r.arrived >= countedFrom) {
                    counts.get(r.kind)[r.late ? 2 : 1]++;
                }
            }
        }
    }

    EnginePlay(int engineCount, int routerCount, List<Kind> kinds, long seed) {
        this(engineCount, USUAL_SLOTS, routerCount, kinds, seed);
    }

    EnginePlay(int engineCount, int slots, int routerCount, List<Kind> kinds, long seed) {
        this.slots = slots;
        this.kinds = kinds;
        this.random = new Random(seed);
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine("e" + i));
        }
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router("r" + i));
        }
        kinds.forEach(k -> counts.put(k, new int[5]));
    }

    /** Plays for a time and tells what the callers of each kind got. */
    Map<String, Served> play(long millis) {
        return playAfterBurst(0, 1, millis);
    }

    /** Plays a burst first, then a time as usual, and tells what the callers got who came after the burst. */
    Map<String, Served> playAfterBurst(long burstMillis, double factor, long millis) {
        countedFrom = burstMillis;
        Map<Kind, Double> next = new HashMap<>();
        kinds.forEach(k -> next.put(k, gap(k)));
        for (long now = 0; now < burstMillis + millis; now++) {
            long at = now;
            double faster = now < burstMillis ? factor : 1;
            engines.forEach(e -> e.workUntil((double) at));
            tell(at);
            for (Kind k : kinds) {
                while (next.get(k) <= now) {
                    next.merge(k, gap(k) / faster, Double::sum);
                    arrive(k, now);
                }
            }
        }
        engines.forEach(e -> e.workUntil((double) (burstMillis + millis + 2 * TIME_LEFT)));
        Map<String, Served> served = new HashMap<>();
        counts.forEach((k, c) -> served.put(k.name(), new Served(c[0], c[1], c[2], c[3], c[4])));
        return served;
    }

    private void tell(long now) {
        while (!hints.isEmpty() && hints.peekFirst().at() <= now) {
            Hint hint = hints.removeFirst();
            routers.stream().filter(r -> r != hint.from()).forEach(r -> r.heard(hint.choice(), now));
        }
        if (now % TOTALS_MILLIS == 0) {
            routers.forEach(from -> routers.stream().filter(r -> r != from).forEach(r -> r.heardTotals(from, now)));
        }
    }

    private double gap(Kind k) {
        return -Math.log(1 - random.nextDouble()) * 1_000 / k.perSecond();
    }

    /** A value around a mean whose logarithm is spread like a bell. */
    private double drawn(double mean, double spread) {
        return mean * Math.exp(random.nextGaussian() * spread - spread * spread / 2);
    }

    private void arrive(Kind k, long now) {
        if (now >= countedFrom) {
            counts.get(k)[0]++;
        }
        int dossier = random.nextInt(k.dossiers());
        int own = 1 + (int) drawn(k.ownTokens(), OWN_SPREAD);
        int output = (int) Math.max(1, Math.min(k.output() * OUTPUT_MAX, drawn(k.output(), k.outputSpread())));
        String shared = k.name() + dossier;
        Prompt prompt = new Prompt(
                "m",
                List.of(
                        new PromptPart(k.name(), k.sharedTokens() / 3),
                        new PromptPart(shared, k.sharedTokens() - k.sharedTokens() / 3),
                        new PromptPart("own", own)),
                k.output());
        Router router = routers.get(random.nextInt(routers.size()));
        List<EngineCandidate> candidates = engines.stream()
                .map(e -> new EngineCandidate(
                        e.id, "z", 1, true, router.load(e.id), MEMORY_TOKENS, slots, false, Long.MAX_VALUE, false))
                .toList();
        Optional<EngineChoice> choice = router.chooser.choose(prompt, c -> 0, candidates, LINKS, now);
        OptionalLong back = EngineAdmission.refuse(choice.orElseThrow(), k.target(), TIME_LEFT);
        if (back.isPresent()) {
            counts.get(k)[3] += now >= countedFrom ? 1 : 0;
        } else {
            send(router, k, prompt, choice.get(), shared, output, now);
        }
    }

    private void send(Router router, Kind k, Prompt prompt, EngineChoice choice, String shared, int output, long now) {
        Engine engine = engines.stream()
                .filter(e -> e.id.equals(choice.engine().id()))
                .findFirst()
                .orElseThrow();
        if (engine.running.size() + engine.waiting.size() >= slots + QUEUED) {
            counts.get(k)[4] += now >= countedFrom ? 1 : 0;
            return;
        }
        String id = "r" + nextId++;
        router.load(engine.id).sent(id, choice.readMillis(), prompt.memoryTokens(), prompt.hasLongAnswer(), now);
        router.noteSent(choice, now);
        hints.addLast(new Hint(router, choice, now + HINT_MILLIS));
        boolean holds = !engine.held.add(shared) || choice.fetchFrom().isPresent();
        int read = holds ? prompt.sharedTokens() : 0;
        Running r = new Running(id, router, k, now, output, read, prompt.tokens() - read);
        engine.waiting.add(r);
    }
}
