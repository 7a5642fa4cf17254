package org.hornbeamhead.gateway.state;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Which weights are named, and which replicas are about to change theirs. */
public final class WeightsView {
    /**
     * Answers on older weights are worth less from this time after a newer version was named; from the users' pages.
     */
    private static final long OLD_PENALIZED_MILLIS = 1_500;
    /**
     * Ends this long before the bound: an answer of the store comes with a delay, and closing a connection takes its
     * time too. How late a name was read is no part of it, since the bound runs from when the store still lacked it.
     */
    private static final long FORBIDDEN_MARGIN_MILLIS = 350;
    /** A notice of a change that was not renewed for this long belongs to a holder that is gone. */
    private static final long STEER_LIFE_MILLIS = 3_000;

    /**
     * What is left of old weights when nobody tells since when they are old; a change of all replicas takes about 3 s.
     */
    private static final long FOUND_LEFT_MILLIS = 1_500;

    /** A change of all replicas and one round of the dossiers at the sheets' rates take about this long. */
    private static final long SETTLED_MILLIS = 8_000;

    private final long oldForbiddenMillis;
    private final Map<String, NavigableMap<Long, Named>> names = new HashMap<>();
    private final Set<String> steered = new HashSet<>();
    private long steeredAt;

    /**
     * What is known of when a version was named.
     *
     * <p>Failure: a router reads the store once a second and counts from when it read the name. Symptom: requests begin
     * on replaced weights after the bound, up to 0.65 s late with 84 routers. It was not named while the store is known
     * to have lacked it, and neither was any version between it and the one known then: counted from there, no use is
     * too long, whatever was missed.
     */
    private record Named(long notBefore, boolean guessed) {
        /**
         * A guess yields to what a router saw. Of two that saw the name, the one that looked for it in vain later is
         * nearer to the truth; of two guesses, the earlier allows less.
         */
        Named better(Named other) {
            if (guessed != other.guessed) {
                return guessed ? other : this;
            }
            return (notBefore < other.notBefore) == guessed ? this : other;
        }
    }

    /**
     * Makes a view that knows nothing.
     *
     * @param boundMillis the time after which no request may begin on older weights, in milliseconds
     */
    public WeightsView(long boundMillis) {
        this.oldForbiddenMillis = Math.max(0, boundMillis - FORBIDDEN_MARGIN_MILLIS);
    }

    /**
     * Takes over a version whose naming this router saw.
     *
     * @param model the model
     * @param version the version
     * @param notBeforeMillis the monotonic time at which it was surely not named yet
     */
    public void name(String model, long version, long notBeforeMillis) {
        put(model, version, new Named(notBeforeMillis, false));
    }

    /**
     * Takes over a version that was named some time before this router started.
     *
     * <p>Failure: a router that was restarted counts the bound from its own start. Symptom: it goes on sending requests
     * to replicas with old weights long after the bound. Until another router tells when the version was named, it is
     * taken as named so long ago that only a moment is left.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the monotonic time
     */
    public void found(String model, long version, long nowMillis) {
        put(model, version, new Named(nowMillis - oldForbiddenMillis + FOUND_LEFT_MILLIS, true));
    }

    /**
     * Takes over another router's word of when a version was named. Its guesses count as well.
     *
     * <p>Failure: all routers are restarted in turn, and each one knows only the names since its own start. Symptom:
     * one that asks another takes the later name for the one that replaced the weights, and goes on with them for as
     * long again. A version that both only found stands between the two, and keeps its guess.
     *
     * @param age what the other router tells
     * @param asOfMillis the monotonic time of this router before which the other one did not answer
     */
    public void told(NamedAge age, long asOfMillis) {
        put(age.model(), age.version(), new Named(asOfMillis - age.millisAgo(), age.guessed()));
    }

    private void put(String model, long version, Named named) {
        names.computeIfAbsent(model, m -> new TreeMap<>()).merge(version, named, Named::better);
    }

    /**
     * Tells other routers when versions were named.
     *
     * @param nowMillis the monotonic time
     * @return the versions of all models, with those that this router only found
     */
    public List<NamedAge> ages(long nowMillis) {
        return names.entrySet().stream()
                .flatMap(m -> m.getValue().entrySet().stream()
                        .map(v -> new NamedAge(
                                m.getKey(),
                                v.getKey(),
                                nowMillis - v.getValue().notBefore(),
                                v.getValue().guessed())))
                .toList();
    }

    /**
     * Counts time that the monotonic clock left out, as far as it may be so.
     *
     * <p>Failure: a machine stands still for seconds, and its clock does not count them. Symptom: requests begin on
     * replaced weights for as much longer than the bound. What is known becomes a guess that is as much older, until
     * other routers tell: they restore it at once where the wall clock alone was set.
     *
     * @param millis how long the machine may have stood still, in milliseconds
     */
    public void doubt(long millis) {
        names.values().forEach(versions -> versions.replaceAll((v, n) -> new Named(n.notBefore() - millis, true)));
    }

    /**
     * Tells whether another router may know more.
     *
     * @return whether nothing is known, or a version was only found
     */
    public boolean isUncertain() {
        return names.isEmpty()
                || names.values().stream().flatMap(v -> v.values().stream()).anyMatch(Named::guessed);
    }

    /**
     * Returns the newest version.
     *
     * @param model the model
     * @return the version, 0 when none was named
     */
    public long named(String model) {
        NavigableMap<Long, Named> versions = names.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /**
     * Returns the newest versions of all models.
     *
     * @return version by model
     */
    public Map<String, Long> all() {
        Map<String, Long> all = new HashMap<>();
        names.forEach((m, versions) -> all.put(m, versions.lastKey()));
        return all;
    }

    /**
     * Tells whether answers on a version are worth less, since a newer one was named some time ago.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the monotonic time
     * @return whether other replicas should be preferred
     */
    public boolean penalized(String model, long version, long nowMillis) {
        return replacedFor(model, version, nowMillis) > OLD_PENALIZED_MILLIS;
    }

    /**
     * Tells how long requests may still begin on a version. Each named version has a bound of its own, so the one that
     * followed counts, not the newest.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the monotonic time
     * @return milliseconds, not above zero once the bound is over; {@link Long#MAX_VALUE} while no newer one is named
     */
    public long usableMillis(String model, long version, long nowMillis) {
        return replacedAt(model, version)
                .map(at -> at + oldForbiddenMillis - nowMillis)
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Tells whether a version was named so long ago that what is in use was read for it.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the monotonic time
     * @return false for some seconds after the version was named
     */
    public boolean settled(String model, long version, long nowMillis) {
        NavigableMap<Long, Named> versions = names.get(model);
        Named named = versions == null ? null : versions.get(version);
        return named == null || named.guessed() || nowMillis - named.notBefore() > SETTLED_MILLIS;
    }

    private long replacedFor(String model, long version, long nowMillis) {
        return replacedAt(model, version).map(at -> nowMillis - at).orElse(0L);
    }

    /** No later version was named before an earlier one, so that the lowest of their times is the safe one. */
    private Optional<Long> replacedAt(String model, long version) {
        return versionsOf(model).tailMap(version, false).values().stream()
                .map(Named::notBefore)
                .min(Comparator.naturalOrder());
    }

    private NavigableMap<Long, Named> versionsOf(String model) {
        return names.getOrDefault(model, Collections.emptyNavigableMap());
    }

    /**
     * Takes over which replicas are about to change their weights.
     *
     * @param replicas their ids
     * @param nowMillis the monotonic time
     */
    public void steerAway(Set<String> replicas, long nowMillis) {
        steered.clear();
        steered.addAll(replicas);
        steeredAt = nowMillis;
    }

    /**
     * Tells whether a replica is about to change its weights.
     *
     * @param replica its id
     * @param nowMillis the monotonic time
     * @return whether new requests should go elsewhere
     */
    public boolean steered(String replica, long nowMillis) {
        return steered.contains(replica) && nowMillis - steeredAt < STEER_LIFE_MILLIS;
    }
}
