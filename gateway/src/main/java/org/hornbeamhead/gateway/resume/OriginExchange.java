package org.hornbeamhead.gateway.resume;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.resume.OriginHolders;
import org.hornbeamhead.core.resume.OriginMessage;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.resume.StreamKey;
import org.hornbeamhead.core.resume.StreamOrigin;
import org.hornbeamhead.core.resume.StreamOrigins;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * Keeps the origins of streams at several routers, so that one is found after the router that began the stream has
 * ended.
 *
 * <p>Each origin is sent to a few routers that its stream determines. They are told once, before the caller gets the
 * first event; a datagram that is lost leaves the others.
 */
public final class OriginExchange {
    /** Two of them may end together with the router that began a stream. */
    private static final int HOLDERS = 3;
    /** One more than are told, since the list of routers may have changed in between. */
    private static final int ASKED = 4;

    private static final long REPEAT_MILLIS = 60;
    /** After this time those that did not answer are taken for lost. */
    private static final long TIMEOUT_MILLIS = 200;

    private final Clock clock;
    private final Timers timers;
    private final String self;
    private final Supplier<List<String>> others;
    private final BiConsumer<String, byte[]> sender;
    private final StreamOrigins origins = new StreamOrigins();
    private final Map<StreamKey, Search> searches = new HashMap<>();

    /**
     * The result of a search.
     *
     * @param software the version that began the stream, empty if nobody who answered knows it
     * @param asked how many routers were asked; 0 if this one knows the stream
     * @param answered how many of them answered before the search ended
     */
    public record Result(Optional<SoftwareVersion> software, int asked, int answered) {}

    /** A search for the origin of one stream. */
    private static final class Search {
        private final int asked;
        private final Set<String> unanswered;
        private final List<Consumer<Result>> listeners = new ArrayList<>();

        Search(List<String> routers) {
            this.asked = routers.size();
            this.unanswered = new HashSet<>(routers);
        }

        private Result result(Optional<SoftwareVersion> software) {
            return new Result(software, asked, asked - unanswered.size());
        }
    }

    /**
     * Creates an exchange.
     *
     * @param clock the clock
     * @param timers the timers of the current thread
     * @param self the address at which this router receives datagrams
     * @param others supplies the addresses at which the other routers receive them
     * @param sender sends a datagram to an address; it may be lost
     */
    public OriginExchange(
            Clock clock, Timers timers, String self, Supplier<List<String>> others, BiConsumer<String, byte[]> sender) {
        this.clock = clock;
        this.timers = timers;
        this.self = self;
        this.others = others;
        this.sender = sender;
    }

    /**
     * Keeps an origin here only.
     *
     * @param origin the origin
     */
    public void remember(StreamOrigin origin) {
        origins.record(origin, clock.monotonicMillis());
    }

    /**
     * Keeps origins here and at the routers that others will ask.
     *
     * @param begun the origins
     */
    public void announce(List<StreamOrigin> begun) {
        long now = clock.monotonicMillis();
        Map<String, List<StreamOrigin>> byHolder = new HashMap<>();
        begun.forEach(origin -> {
            origins.record(origin, now);
            choose(origin.key(), HOLDERS).forEach(h -> byHolder.computeIfAbsent(h, a -> new ArrayList<>())
                    .add(origin));
        });
        byHolder.forEach(this::announce);
    }

    private void announce(String holder, List<StreamOrigin> held) {
        for (int from = 0; from < held.size(); from += OriginMessage.MAX_ORIGINS) {
            int to = Math.min(held.size(), from + OriginMessage.MAX_ORIGINS);
            sender.accept(holder, new OriginMessage.Announcement(held.subList(from, to)).encode());
        }
    }

    /** Returns the first other routers for a stream. */
    private List<String> choose(StreamKey key, int count) {
        List<String> all = new ArrayList<>(others.get());
        all.add(self);
        return OriginHolders.choose(key, all, count + 1).stream()
                .filter(a -> !a.equals(self))
                .limit(count)
                .toList();
    }

    /**
     * Finds the software that began a stream, here or at the routers that may know it.
     *
     * @param key the stream
     * @param listener receives the result; called before this method returns if no other router is asked
     */
    public void find(StreamKey key, Consumer<Result> listener) {
        Optional<SoftwareVersion> known = origins.find(key, clock.monotonicMillis());
        List<String> asked = known.isPresent() ? List.of() : choose(key, ASKED);
        if (asked.isEmpty()) {
            known.ifPresent(software -> announce(List.of(new StreamOrigin(key, software))));
            listener.accept(new Result(known, 0, 0));
            return;
        }
        Search running = searches.get(key);
        if (running != null) {
            running.listeners.add(listener);
            return;
        }
        Search search = new Search(asked);
        search.listeners.add(listener);
        searches.put(key, search);
        ask(key, search);
        timers.schedule(REPEAT_MILLIS, () -> ask(key, search));
        timers.schedule(TIMEOUT_MILLIS, () -> end(key, search, Optional.empty()));
    }

    private void ask(StreamKey key, Search search) {
        byte[] question = new OriginMessage.Question(key).encode();
        search.unanswered.forEach(a -> sender.accept(a, question));
    }

    private void end(StreamKey key, Search search, Optional<SoftwareVersion> software) {
        if (searches.remove(key, search)) {
            Result result = search.result(software);
            search.unanswered.clear();
            software.ifPresent(s -> announce(List.of(new StreamOrigin(key, s))));
            search.listeners.forEach(l -> l.accept(result));
        }
    }

    /**
     * Processes a datagram.
     *
     * @param from the address of the sender
     * @param datagram the bytes; those of other kinds are ignored
     */
    public void receive(String from, byte[] datagram) {
        OriginMessage.decode(datagram).ifPresent(message -> receive(from, message));
    }

    private void receive(String from, OriginMessage message) {
        long now = clock.monotonicMillis();
        if (message instanceof OriginMessage.Announcement announcement) {
            announcement.origins().forEach(o -> origins.record(o, now));
        } else if (message instanceof OriginMessage.Question question) {
            sender.accept(from, new OriginMessage.Answer(question.key(), origins.find(question.key(), now)).encode());
        } else if (message instanceof OriginMessage.Answer answer) {
            answered(from, answer);
        }
    }

    private void answered(String from, OriginMessage.Answer answer) {
        Search search = searches.get(answer.key());
        if (search != null
                && search.unanswered.remove(from)
                && (answer.software().isPresent() || search.unanswered.isEmpty())) {
            end(answer.key(), search, answer.software());
        }
    }

    /**
     * Returns the number of streams whose origin is kept here.
     *
     * @return the number of streams
     */
    public int size() {
        return origins.size();
    }
}
