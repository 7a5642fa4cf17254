package org.hornbeamhead.router;

/** The request gets a refusal instead of an endpoint's answer. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    RefusedException(Refusal refusal) {
        super(Refusals.reason(refusal.outcome()).wireName());
        this.refusal = refusal;
    }

    Refusal refusal() {
        return refusal;
    }
}
