package org.hornbeamhead.core.quota;

/** What a quota counts. */
public enum QuotaUnit {
    /** Each request counts as one. */
    REQUESTS,
    /** Each request counts as its prompt tokens and its maximum number of output tokens. */
    TOKENS
}
