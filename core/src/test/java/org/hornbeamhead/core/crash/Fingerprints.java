package org.hornbeamhead.core.crash;

import java.util.Arrays;
import java.util.List;

/** Creates fingerprints of made-up requests. */
final class Fingerprints {
    private Fingerprints() {}

    /** Creates the fingerprint of a content without a prompt. */
    static RequestFingerprint content(long value) {
        return new RequestFingerprint(new CrashFeature(CrashFeature.Kind.CONTENT, value), List.of());
    }

    /** Creates the fingerprint of a content with prompt parts. */
    static RequestFingerprint prompt(long value, String... promptParts) {
        return content(value).withPromptParts(Arrays.asList(promptParts));
    }
}
