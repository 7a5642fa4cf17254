package org.hornbeamhead.soak.history;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What callers, replicas, the store and the driver saw, in milliseconds since the run began. Many threads write; checks
 * read when the run is over.
 */
public final class History {
    /**
     * A caller sent a request.
     *
     * @param id its id
     * @param kind what it is
     * @param key the caller's key
     * @param router the router that it was sent to
     * @param process which process of that router, from 1
     * @param at when
     */
    public record Asked(String id, RequestKind kind, String key, String router, int process, long at) {}

    /**
     * A caller's request ended.
     *
     * @param id the request
     * @param status the answer's status, 0 when none came
     * @param body what came of the body
     * @param whole whether the answer ended as its head says
     * @param at when
     */
    public record Answered(String id, int status, String body, boolean whole, long at) {}

    /**
     * A caller took a part of a stream.
     *
     * @param id the request
     * @param first the request that brought the first event; empty if this one is to
     * @param last the last event that the caller had before, 0 for none
     * @param status the answer's status, 0 when none came
     * @param body what came of the body
     * @param whole whether the stream ended as its head says
     * @param at when it was asked for
     * @param named whether the request names the one that brought the first event; a router may refuse it otherwise
     */
    public record Part(
            String id, String first, int last, int status, String body, boolean whole, long at, boolean named) {}

    /**
     * A replica was listed.
     *
     * @param replica the replica
     * @param software the version of its software
     * @param at when
     */
    public record Listed(String replica, String software, long at) {}

    /**
     * A request came to a replica.
     *
     * @param id the request
     * @param replica the replica
     * @param service the replica's service
     * @param customer the customer that the router named
     * @param salt what separates cached parts
     * @param weights the weights that the router expected, 0 without a model
     * @param ran whether the replica worked on it
     * @param at when
     */
    public record Arrived(
            String id,
            String replica,
            String service,
            String customer,
            String salt,
            long weights,
            boolean ran,
            long at) {}

    /**
     * A replica ended while it ran a request that ends each replica.
     *
     * @param cause what all such requests of a caller have in common, the path of a content or a part of the prompt
     * @param id the arrival
     * @param replica the replica
     * @param at when
     */
    public record Ended(String cause, String id, String replica, long at) {}

    /**
     * A replica stated a request limit in its answers.
     *
     * @param replica the replica
     * @param perSecond the limit in requests a second
     * @param from when it began to
     * @param to when it ceased to
     */
    public record Limited(String replica, double perSecond, long from, long to) {}

    /**
     * The replicas of a service were brittle.
     *
     * @param service the service
     * @param replicas how many there were
     * @param from when they began to say so
     * @param to when they ceased to
     */
    public record Brittle(String service, int replicas, long from, long to) {}

    /**
     * A brittle replica fell over.
     *
     * @param replica the replica
     * @param service its service
     * @param at when
     */
    public record Fallen(String replica, String service, long at) {}

    /**
     * A replica said in an answer that it leaves.
     *
     * @param replica the replica
     * @param request the request that was answered
     */
    public record Announced(String replica, String request) {}

    /**
     * A replica turned a request away and asked the router for a pause.
     *
     * @param replica the replica
     * @param request the request that was turned away
     * @param millis how long it wants nothing from that router
     * @param at when it answered
     */
    public record Paused(String replica, String request, long millis, long at) {}

    /**
     * A replica sent bytes without end instead of an answer, until the router closed the connection.
     *
     * @param replica the replica
     * @param request the request
     * @param bytes how many bytes it could send
     * @param from when it began to
     * @param to when the connection was closed
     */
    public record Endless(String replica, String request, long bytes, long from, long to) {}

    /**
     * An order came to an engine.
     *
     * @param replica the engine
     * @param holder who gave it
     * @param fence its fencing number
     * @param accepted whether the engine carried it out
     * @param at when
     */
    public record Ordered(String replica, String holder, long fence, boolean accepted, long at) {}

    /** What operators and replicas write to the store. */
    public enum Change {
        /** A key is taken away; the subject is the key. */
        KEY_GONE,
        /** The moved route leads to another service; the subject is the service. */
        ROUTE_MOVED,
        /** A replica leaves; the subject is the replica. */
        LEAVING
    }

    /**
     * The store took a change.
     *
     * @param change what changed
     * @param subject what it is about
     * @param at when
     */
    public record Acknowledged(Change change, String subject, long at) {}

    /**
     * A fault, or planned work.
     *
     * @param kind what happened
     * @param subject the router, the replica, or {@link #STORE}
     * @param planned whether it is planned work
     * @param from when it began
     * @param to when it was over, and what it struck had settled
     */
    public record Disturbed(String kind, String subject, boolean planned, long from, long to) {
        /** How long something counts as disturbed after it goes on, in milliseconds. */
        public static final long SETTLING_MILLIS = 2_000;
        /** The kind of the end of a replica's process, after which another one starts. */
        public static final String REPLICA_ENDED = "REPLICA_ENDED";
        /** The kind of a replica that sends bytes without end instead of answers. */
        public static final String REPLICA_ENDLESS = "REPLICA_ENDLESS";
    }

    /**
     * A router's log tells of an error that nothing caught.
     *
     * @param router the router
     * @param line the log's line
     */
    public record Uncaught(String router, String line) {}

    /** What the ids of requests that end replicas begin with; those of sound requests do not. */
    public static final String ENDING_ID_PREFIX = "e";
    /** The subject of disturbances of the platform's store. */
    public static final String STORE = "store";
    /** The subject of disturbances of all routers together. */
    public static final String ALL_ROUTERS = "all routers";

    private static final List<Class<? extends Record>> KINDS = List.of(
            Asked.class,
            Answered.class,
            Part.class,
            Listed.class,
            Arrived.class,
            Ended.class,
            Limited.class,
            Brittle.class,
            Fallen.class,
            Announced.class,
            Paused.class,
            Endless.class,
            Ordered.class,
            Acknowledged.class,
            Disturbed.class,
            Uncaught.class);

    private final Map<Class<?>, Collection<Record>> seenByKind = KINDS.stream()
            .collect(Collectors.toUnmodifiableMap(Function.identity(), kind -> new ConcurrentLinkedQueue<>()));

    /**
     * Adds what was seen.
     *
     * @param seen one of this class's records
     * @return this history
     */
    public History add(Record seen) {
        Collection<Record> ofKind = seenByKind.get(seen.getClass());
        if (ofKind == null) {
            throw new IllegalArgumentException("no part of a history: " + seen);
        }
        ofKind.add(seen);
        return this;
    }

    private <T extends Record> List<T> list(Class<T> kind) {
        return stream(kind).toList();
    }

    private <T extends Record> Stream<T> stream(Class<T> kind) {
        return seenByKind.get(kind).stream().map(kind::cast);
    }

    /**
     * Lists the requests.
     *
     * @return what callers sent
     */
    public List<Asked> asked() {
        return list(Asked.class);
    }

    /**
     * Finds a request.
     *
     * @param id its id
     * @return what the caller sent
     */
    public Optional<Asked> asked(String id) {
        return stream(Asked.class).filter(a -> a.id().equals(id)).findFirst();
    }

    /**
     * Lists the answers.
     *
     * @return what callers got
     */
    public List<Answered> answered() {
        return list(Answered.class);
    }

    /**
     * Lists the parts of streams.
     *
     * @return what callers got that leave streams and resume them
     */
    public List<Part> parts() {
        return list(Part.class);
    }

    /**
     * Lists the replicas.
     *
     * @return when each was listed, and its software
     */
    public List<Listed> listed() {
        return list(Listed.class);
    }

    /**
     * Lists what came to replicas.
     *
     * @return the arrivals
     */
    public List<Arrived> arrived() {
        return list(Arrived.class);
    }

    /**
     * Lists the ends of replicas under requests that end them.
     *
     * @return the ends
     */
    public List<Ended> ended() {
        return list(Ended.class);
    }

    /**
     * Lists the request limits.
     *
     * @return what replicas stated
     */
    public List<Limited> limited() {
        return list(Limited.class);
    }

    /**
     * Lists the times in which services were brittle.
     *
     * @return the times
     */
    public List<Brittle> brittle() {
        return list(Brittle.class);
    }

    /**
     * Lists the falls of brittle replicas.
     *
     * @return the falls
     */
    public List<Fallen> fallen() {
        return list(Fallen.class);
    }

    /**
     * Lists the announcements of leaving replicas.
     *
     * @return the answers that said so
     */
    public List<Announced> announced() {
        return list(Announced.class);
    }

    /**
     * Lists the pauses that replicas asked for.
     *
     * @return the refusals that said so
     */
    public List<Paused> paused() {
        return list(Paused.class);
    }

    /**
     * Lists what replicas sent without end.
     *
     * @return the answers that were none
     */
    public List<Endless> endless() {
        return list(Endless.class);
    }

    /**
     * Lists the orders.
     *
     * @return what came to engines
     */
    public List<Ordered> ordered() {
        return list(Ordered.class);
    }

    /**
     * Lists the changes.
     *
     * @return what the store took
     */
    public List<Acknowledged> acknowledged() {
        return list(Acknowledged.class);
    }

    /**
     * Lists the disturbances.
     *
     * @return faults and planned work
     */
    public List<Disturbed> disturbed() {
        return list(Disturbed.class);
    }

    /**
     * Lists the errors that nothing caught.
     *
     * @return what the logs of routers tell of them
     */
    public List<Uncaught> uncaught() {
        return list(Uncaught.class);
    }

    /**
     * Tells whether a router ran and was reached throughout a time.
     *
     * @param router the router
     * @param from the beginning
     * @param to the end
     * @return whether it was not disturbed, whatever happened to the store
     */
    public boolean undisturbed(String router, long from, long to) {
        return stream(Disturbed.class)
                .filter(d -> Set.of(router, ALL_ROUTERS).contains(d.subject()))
                .noneMatch(d -> d.from() <= to && d.to() >= from);
    }

    /**
     * Tells whether a router could act as promised throughout a time.
     *
     * @param router the router
     * @param from the beginning
     * @param to the end
     * @param settle how long before the beginning it must have been calm, in milliseconds
     * @return whether neither it nor the store was disturbed
     */
    public boolean calm(String router, long from, long to, long settle) {
        return stream(Disturbed.class)
                .filter(d -> Set.of(router, STORE, ALL_ROUTERS).contains(d.subject()))
                .noneMatch(d -> d.from() <= to && d.to() >= from - settle);
    }
}
