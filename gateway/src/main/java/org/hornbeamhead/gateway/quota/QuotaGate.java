package org.hornbeamhead.gateway.quota;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.quota.QuotaDecision;
import org.hornbeamhead.core.quota.QuotaLedger;
import org.hornbeamhead.core.quota.QuotaLimit;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.time.Clock;

/** Applies the quotas of customers to their requests. Customers without a quota cost nothing. */
public final class QuotaGate {
    private final QuotaLedger ledger;
    private final Clock clock;

    /**
     * Creates a gate.
     *
     * @param ledger the accounts of the customers
     * @param clock the clock
     */
    public QuotaGate(QuotaLedger ledger, Clock clock) {
        this.ledger = ledger;
        this.clock = clock;
    }

    /**
     * Decides whether a request is within its customer's quota, and counts it if it is.
     *
     * @param owner the customer; empty for requests that no quota applies to
     * @param tokenCount what the request states of its tokens, or why that is invalid
     * @return the decision, which is empty if the request is not limited, or why the request cannot be counted
     */
    public Either<String, Optional<QuotaDecision>> admit(
            Optional<KeyOwner> owner, Either<String, OptionalLong> tokenCount) {
        Optional<QuotaLimit> limit = owner.flatMap(KeyOwner::quota);
        if (limit.isEmpty()) {
            return Either.right(Optional.empty());
        }
        return tokenCount
                .map(limit.get()::cost)
                .map(cost ->
                        Optional.of(ledger.admit(owner.get().customer(), limit.get(), cost, clock.monotonicMillis())));
    }

    /**
     * Returns what {@link #admit} would decide, and counts nothing.
     *
     * @param owner the customer; empty for requests that no quota applies to
     * @param tokenCount what the request states of its tokens
     * @return the decision; empty if the request is not limited or states an invalid number of tokens
     */
    public Optional<QuotaDecision> peek(Optional<KeyOwner> owner, Either<String, OptionalLong> tokenCount) {
        return owner.flatMap(o -> o.quota().flatMap(limit -> tokenCount
                .map(limit::cost)
                .map(cost -> ledger.peek(o.customer(), limit, cost, clock.monotonicMillis()))
                .toJavaOptional()));
    }

    /**
     * Takes back what a request counted that was admitted and that no replica has run.
     *
     * @param owner the customer; empty for requests that no quota applies to
     * @param tokenCount what the request stated of its tokens
     */
    public void giveBack(Optional<KeyOwner> owner, Either<String, OptionalLong> tokenCount) {
        owner.ifPresent(o -> o.quota()
                .ifPresent(limit -> tokenCount.map(limit::cost).forEach(cost -> ledger.giveBack(o.customer(), cost))));
    }
}
