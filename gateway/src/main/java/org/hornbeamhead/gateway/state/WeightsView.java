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
    private static final long PENALTY_DELAY_MILLIS = 1_500;
    /**
     * Ends this long before the bound: an answer of the store comes with a delay, and closing a connection takes its
     * time too. How late a name was read is no part of it, since the bound runs from when the store still lacked it.
     */
    private static final long BOUND_MARGIN_MILLIS = 350;
    /** A notice of a change that was not renewed for this long belongs to a holder that is gone. */
    private static final long AVOID_NOTICE_TTL_MILLIS = 3_000;

    /**
     * What is left of old weights when nobody tells since when they are old; a change of all replicas takes about 3 s.
     */
    private static final long ESTIMATED_USABLE_MILLIS = 1_500;

    /** A change of all replicas and one round of the dossiers at the sheets' rates take about this long. */
    private static final long SETTLE_MILLIS = 8_000;

    private final long usableAfterReplacementMillis;
    private final Map<String, NavigableMap<Long, Publication>> publications = new HashMap<>();
    private final Set<String> isAvoided = new HashSet<>();
    private long avoidedSinceMillis;

    /**
     * What is known of when a version was named.
     *
     * <p>Failure: a router reads the store once a second and counts from when it read the name. Symptom: requests begin
     * on replaced weights after the bound, up to 0.65 s late with 84 routers. It was not named while the store is known
     * to have lacked it, and neither was any version between it and the one known then: counted from there, no use is
     * too long, whatever was missed.
     */
    private record Publication(long notBeforeMillis, boolean estimated) {
        /**
         * A guess yields to what a router saw. Of two that saw the name, the one that looked for it in vain later is
         * nearer to the truth; of two guesses, the earlier allows less.
         */
        Publication moreAccurate(Publication other) {
            if (estimated != other.estimated) {
                return estimated ? other : this;
            }
            return (notBeforeMillis < other.notBeforeMillis) == estimated ? this : other;
        }
    }

    /**
     * Makes a view that knows nothing.
     *
     * @param boundMillis the time after which no request may begin on older weights, in milliseconds
     */
    public WeightsView(long boundMillis) {
        this.usableAfterReplacementMillis = Math.max(0, boundMillis - BOUND_MARGIN_MILLIS);
    }

    /**
     * Takes over a version whose naming this router saw.
     *
     * @param model the model
     * @param version the version
     * @param notBeforeMillis the monotonic time at which it was surely not named yet
     */
    public void recordPublished(String model, long version, long notBeforeMillis) {
        put(model, version, new Publication(notBeforeMillis, false));
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
    public void recordFound(String model, long version, long nowMillis) {
        put(model, version, new Publication(nowMillis - usableAfterReplacementMillis + ESTIMATED_USABLE_MILLIS, true));
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
    public void recordFromPeer(NamedAge age, long asOfMillis) {
        put(age.model(), age.version(), new Publication(asOfMillis - age.millisAgo(), age.guessed()));
    }

    private void put(String model, long version, Publication named) {
        publications.computeIfAbsent(model, m -> new TreeMap<>()).merge(version, named, Publication::moreAccurate);
    }

    /**
     * Tells other routers when versions were named.
     *
     * @param nowMillis the monotonic time
     * @return the versions of all models, with those that this router only found
     */
    public List<NamedAge> publicationAges(long nowMillis) {
        return publications.entrySet().stream()
                .flatMap(m -> m.getValue().entrySet().stream()
                        .map(v -> new NamedAge(
                                m.getKey(),
                                v.getKey(),
                                nowMillis - v.getValue().notBeforeMillis(),
                                v.getValue().estimated())))
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
    public void addSuspendedTime(long millis) {
        publications.values().forEach(versions -> versions.replaceAll((v, n) -> new Publication(n.notBeforeMillis() - millis, true)));
    }

    /**
     * Tells whether another router may know more.
     *
     * @return whether nothing is known, or a version was only found
     */
    public boolean hasEstimates() {
        return publications.isEmpty()
                || publications.values().stream().flatMap(v -> v.values().stream()).anyMatch(Publication::estimated);
    }

    /**
     * Returns the newest version.
     *
     * @param model the model
     * @return the version, 0 when none was named
     */
    public long latestVersion(String model) {
        NavigableMap<Long, Publication> versions = publications.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /**
     * Returns the newest versions of all models.
     *
     * @return version by model
     */
    public Map<String, Long> latestVersions() {
        Map<String, Long> all = new HashMap<>();
        publications.forEach((m, versions) -> all.put(m, versions.lastKey()));
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
    public boolean isPenalized(String model, long version, long nowMillis) {
        return millisSinceReplaced(model, version, nowMillis) > PENALTY_DELAY_MILLIS;
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
        return replacedAtMillis(model, version)
                .map(at -> at + usableAfterReplacementMillis - nowMillis)
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
    public boolean isSettled(String model, long version, long nowMillis) {
        NavigableMap<Long, Publication> versions = publications.get(model);
        Publication named = versions == null ? null : versions.get(version);
        return named == null || named.estimated() || nowMillis - named.notBeforeMillis() > SETTLE_MILLIS;
    }

    private long millisSinceReplaced(String model, long version, long nowMillis) {
        return replacedAtMillis(model, version).map(at -> nowMillis - at).orElse(0L);
    }

    /** No later version was named before an earlier one, so that the lowest of their times is the safe one. */
    private Optional<Long> replacedAtMillis(String model, long version) {
        return versionsOf(model).tailMap(version, false).values().stream()
                .map(Publication::notBeforeMillis)
                .min(Comparator.naturalOrder());
    }

    private NavigableMap<Long, Publication> versionsOf(String model) {
        return publications.getOrDefault(model, Collections.emptyNavigableMap());
    }

    /**
     * Takes over which replicas are about to change their weights.
     *
     * @param replicas their ids
     * @param nowMillis the monotonic time
     */
    public void avoid(Set<String> replicas, long nowMillis) {
        isAvoided.clear();
        isAvoided.addAll(replicas);
        avoidedSinceMillis = nowMillis;
    }

    /**
     * Tells whether a replica is about to change its weights.
     *
     * @param replica its id
     * @param nowMillis the monotonic time
     * @return whether new requests should go elsewhere
     */
    public boolean isAvoided(String replica, long nowMillis) {
        return isAvoided.contains(replica) && nowMillis - avoidedSinceMillis < AVOID_NOTICE_TTL_MILLIS;
    }
}
