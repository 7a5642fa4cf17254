package org.hornbeamhead.core.crash;

import java.util.Set;

/**
 * What is held responsible for crashes: a feature, or one of several features that cannot be told apart yet.
 *
 * @param features the features
 * @param certain whether no other feature is nearly as likely
 */
record Culprit(Set<CrashFeature> features, boolean certain) {
    Culprit {
        features = Set.copyOf(features);
    }

    static Culprit of(CrashFeature feature) {
        return new Culprit(Set.of(feature), true);
    }

    /** Returns whether a request is held responsible. */
    boolean includes(RequestFingerprint request) {
        return request.features().anyMatch(features::contains);
    }

    /** Returns whether the end of a request tells the features apart: it has some of them, but not all. */
    boolean isTestedBy(RequestFingerprint request) {
        return request.features().filter(features::contains).count() < features.size();
    }
}
