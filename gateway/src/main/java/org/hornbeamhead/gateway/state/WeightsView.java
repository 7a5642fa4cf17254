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

/** The published versions of weights, and the replicas that are about to change their weights. */
public final class WeightsView {
    /**
     * Time after the publication of a newer version from which answers on older weights are worth less, as documented
     * for users.
     */
    private static final long PENALTY_DELAY_MILLIS = 1_500;
    /**
     * Requests on older weights stop this long before the bound, to allow for the delay of an answer of the store and
     * for the time to close a connection. No margin is needed for the delay in reading a new version, since the bound
     * starts when the store still lacked the version.
     */
    private static final long BOUND_MARGIN_MILLIS = 350;
    /**
     * Lifetime of a notice about pending weight changes. If it is not renewed for this long, the router that sent it is
     * gone.
     */
    private static final long PENDING_CHANGE_NOTICE_TTL_MILLIS = 3_000;

    /**
     * Remaining usable time of older weights if it is unknown when the newer version was published. Changing all
     * replicas takes about 3 s.
     */
    private static final long ESTIMATED_USABLE_MILLIS = 1_500;

    /**
     * Changing all replicas and sending each dossier once, at the rates of the deployment sheets, take about this long.
     */
    private static final long SETTLE_MILLIS = 8_000;

    private final long usableAfterSupersededMillis;
    private final Map<String, NavigableMap<Long, Publication>> publications = new HashMap<>();
    private final Set<String> pendingWeightChanges = new HashSet<>();
    private long pendingWeightChangesSinceMillis;

    /**
     * A time at which a version was not published yet, observed or estimated.
     *
     * <p>A router reads the store once a second. If it counted from the time at which it read a version, requests would
     * begin on superseded weights after the bound, up to 0.65 s late with 84 routers. Instead it counts from the last
     * time at which the store is known to have lacked the version. No version between the one known then and this one
     * was published earlier either, so older weights are never used for too long, even if versions were missed.
     */
    private record Publication(long notBeforeMillis, boolean estimated) {
        /**
         * Returns the more accurate of two times. An observed time is preferred to an estimate. Of two observed times
         * the later is closer to the publication; of two estimates the earlier allows less use of older weights.
         */
        Publication moreAccurate(Publication other) {
            if (estimated != other.estimated) {
                return estimated ? other : this;
            }
            return (notBeforeMillis < other.notBeforeMillis) == estimated ? this : other;
        }
    }

    /**
     * Creates an empty view.
     *
     * @param boundMillis the time after which no request may begin on older weights, in milliseconds
     */
    public WeightsView(long boundMillis) {
        this.usableAfterSupersededMillis = Math.max(0, boundMillis - BOUND_MARGIN_MILLIS);
    }

    /**
     * Records a version whose publication this router observed.
     *
     * @param model the model
     * @param version the version
     * @param notBeforeMillis the monotonic time at which the version was not published yet
     */
    public void recordPublished(String model, long version, long notBeforeMillis) {
        put(model, version, new Publication(notBeforeMillis, false));
    }

    /**
     * Records a version that was published before this router started, at an unknown time.
     *
     * <p>If a restarted router counted the bound from its own start, it would send requests to replicas with old
     * weights long after the bound. Until another router reports when the version was published, the publication is
     * assumed to be so long ago that only a short usable time is left.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the current monotonic time
     */
    public void recordFound(String model, long version, long nowMillis) {
        put(model, version, new Publication(nowMillis - usableAfterSupersededMillis + ESTIMATED_USABLE_MILLIS, true));
    }

    /**
     * Records the publication time that another router reports. Its estimates are recorded too.
     *
     * <p>When all routers are restarted in turn, each knows only the versions published since its own start. A router
     * that asked another one would take the later version for the one that superseded the weights, and would use them
     * for as long again. A version that both routers only found at their start lies between the two, and keeps its
     * estimate.
     *
     * @param age the age that the other router reports
     * @param asOfMillis the monotonic time of this router before which the other router did not answer
     */
    public void recordFromPeer(NamedAge age, long asOfMillis) {
        put(age.model(), age.version(), new Publication(asOfMillis - age.millisAgo(), age.guessed()));
    }

    private void put(String model, long version, Publication publication) {
        publications
                .computeIfAbsent(model, m -> new TreeMap<>())
                .merge(version, publication, Publication::moreAccurate);
    }

    /**
     * Returns the ages of all versions, to be reported to other routers.
     *
     * @param nowMillis the current monotonic time
     * @return the versions of all models, including those with an estimated age
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
     * Accounts for time that the monotonic clock may have left out.
     *
     * <p>If a machine is suspended for seconds, its monotonic clock does not advance, and requests would begin on
     * superseded weights that much later than the bound. All known times become estimates that lie further in the past,
     * until other routers report them. If only the wall clock was set, these reports restore the times at once.
     *
     * @param millis how long the machine may have been suspended, in milliseconds
     */
    public void addSuspendedTime(long millis) {
        publications
                .values()
                .forEach(
                        versions -> versions.replaceAll((v, n) -> new Publication(n.notBeforeMillis() - millis, true)));
    }

    /**
     * Returns whether other routers may know more about publication times.
     *
     * @return whether no version is known, or the publication time of one is only estimated
     */
    public boolean hasEstimates() {
        return publications.isEmpty()
                || publications.values().stream()
                        .flatMap(v -> v.values().stream())
                        .anyMatch(Publication::estimated);
    }

    /**
     * Returns the latest version of a model.
     *
     * @param model the model
     * @return the version, or 0 if none was published
     */
    public long latestVersion(String model) {
        NavigableMap<Long, Publication> versions = publications.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /**
     * Returns the latest versions of all models.
     *
     * @return the version of each model
     */
    public Map<String, Long> latestVersions() {
        Map<String, Long> all = new HashMap<>();
        publications.forEach((m, versions) -> all.put(m, versions.lastKey()));
        return all;
    }

    /**
     * Returns whether answers on a version are worth less, because a newer one was published some time ago.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the current monotonic time
     * @return whether replicas with newer weights should be preferred
     */
    public boolean isPenalized(String model, long version, long nowMillis) {
        return millisSinceSuperseded(model, version, nowMillis) > PENALTY_DELAY_MILLIS;
    }

    /**
     * Returns how long requests may still begin on a version. Each version has a bound of its own, which starts when
     * the version following it is published, not the latest one.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the current monotonic time
     * @return the time in milliseconds, 0 or less after the bound, or {@link Long#MAX_VALUE} if no newer version is
     *     published
     */
    public long usableMillis(String model, long version, long nowMillis) {
        return supersededAtMillis(model, version)
                .map(at -> at + usableAfterSupersededMillis - nowMillis)
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Returns whether a version was published so long ago that the prompts in use have been read with it.
     *
     * @param model the model
     * @param version the version
     * @param nowMillis the current monotonic time
     * @return false for some seconds after the publication of the version
     */
    public boolean isSettled(String model, long version, long nowMillis) {
        NavigableMap<Long, Publication> versions = publications.get(model);
        Publication publication = versions == null ? null : versions.get(version);
        return publication == null
                || publication.estimated()
                || nowMillis - publication.notBeforeMillis() > SETTLE_MILLIS;
    }

    private long millisSinceSuperseded(String model, long version, long nowMillis) {
        return supersededAtMillis(model, version).map(at -> nowMillis - at).orElse(0L);
    }

    /**
     * Returns when a version was superseded. A later version is never published before an earlier one, so the earliest
     * of the times of all later versions is safe.
     */
    private Optional<Long> supersededAtMillis(String model, long version) {
        return versionsOf(model).tailMap(version, false).values().stream()
                .map(Publication::notBeforeMillis)
                .min(Comparator.naturalOrder());
    }

    private NavigableMap<Long, Publication> versionsOf(String model) {
        return publications.getOrDefault(model, Collections.emptyNavigableMap());
    }

    /**
     * Sets the replicas with a pending weight change.
     *
     * @param replicas the ids of the replicas
     * @param nowMillis the current monotonic time
     */
    public void setPendingWeightChanges(Set<String> replicas, long nowMillis) {
        pendingWeightChanges.clear();
        pendingWeightChanges.addAll(replicas);
        pendingWeightChangesSinceMillis = nowMillis;
    }

    /**
     * Returns whether a replica has a pending weight change.
     *
     * @param replica the id of the replica
     * @param nowMillis the current monotonic time
     * @return whether new requests should be sent to other replicas
     */
    public boolean isWeightChangePending(String replica, long nowMillis) {
        return pendingWeightChanges.contains(replica)
                && nowMillis - pendingWeightChangesSinceMillis < PENDING_CHANGE_NOTICE_TTL_MILLIS;
    }
}
