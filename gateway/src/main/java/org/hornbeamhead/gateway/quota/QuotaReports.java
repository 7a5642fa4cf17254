package org.hornbeamhead.gateway.quota;

import java.util.List;
import org.hornbeamhead.core.quota.QuotaHint;
import org.hornbeamhead.core.quota.QuotaLedger;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.state.PeerDatagrams;
import org.hornbeamhead.gateway.state.UsageReports;

/** Encodes the use of customers' quotas for other routers, and passes on what they tell. */
public final class QuotaReports implements UsageReports {
    private final QuotaLedger ledger;

    /**
     * Starts to receive hints of other routers.
     *
     * @param ledger the accounts of the customers
     * @param clock the clock
     * @param datagrams the socket for hints
     */
    public QuotaReports(QuotaLedger ledger, Clock clock, PeerDatagrams datagrams) {
        this.ledger = ledger;
        datagrams.addListener((from, bytes) ->
                QuotaHint.decode(bytes).ifPresent(hint -> ledger.merge(from, hint, clock.monotonicMillis())));
    }

    @Override
    public boolean hasChanges(long nowMillis) {
        return ledger.hasChanges(nowMillis);
    }

    @Override
    public List<byte[]> takeChanges(long nowMillis) {
        return List.of(ledger.takeChanges(nowMillis).encode());
    }

    @Override
    public List<byte[]> summary(boolean idle, long nowMillis) {
        return List.of(ledger.summary(idle, nowMillis).encode());
    }
}
