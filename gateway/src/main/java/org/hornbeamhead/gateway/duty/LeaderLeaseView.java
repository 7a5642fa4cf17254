package org.hornbeamhead.gateway.duty;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.state.StoreTransaction.ExpectedRevision;

/**
 * What this router knows of the leader lease from its mirror of the store.
 *
 * <p>The absence of the record does not tell one vacancy from the next: a router that was suspended, or whose mirror
 * lags, may miss a leader altogether. Each leader therefore also writes the term, a key without a lease. While the term
 * keeps its revision, no other leader has acquired the lease.
 */
final class LeaderLeaseView {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The key of the record, which is removed with the leader's lease. */
    static final String RECORD_KEY = "hornbeam/duty/weights";
    /** The key of the term, which is never removed. */
    static final String TERM_KEY = "hornbeam/duty/weights-term";

    private final Clock clock;
    private final StoreMirror mirror;
    private Optional<LeaderRecord> record;
    private long recordReceivedAt;
    private OptionalLong vacantSince = OptionalLong.empty();

    /**
     * The revisions of both keys, 0 for one that is absent.
     *
     * @param record the revision of the record
     * @param term the revision of the term
     */
    record Revisions(long record, long term) {
        /** Returns the conditions that hold until another router acquires or releases the lease. */
        List<ExpectedRevision> toExpected() {
            return List.of(new ExpectedRevision(RECORD_KEY, record), new ExpectedRevision(TERM_KEY, term));
        }
    }

    LeaderLeaseView(Clock clock, StoreMirror mirror) {
        this.clock = clock;
        this.mirror = mirror;
        this.record = mirror.get(RECORD_KEY).flatMap(LeaderLeaseView::parse);
        this.recordReceivedAt = clock.monotonicMillis();
        mirror.addListener(this::onStoreChange);
    }

    private void onStoreChange(StoreItem item) {
        if (item.key().equals(RECORD_KEY)) {
            logEndOfLeader(item);
            record = parse(item);
            recordReceivedAt = clock.monotonicMillis();
            vacantSince = OptionalLong.empty();
        } else if (item.key().equals(TERM_KEY)) {
            vacantSince = OptionalLong.empty();
        }
    }

    private void logEndOfLeader(StoreItem item) {
        if (item.removed()) {
            logger.atInfo()
                    .with(Logs.DECISION, "duty vacant")
                    .with(
                            Logs.INPUTS,
                            "revision=" + item.revision() + " holder="
                                    + record.map(LeaderRecord::holder).orElse("unknown"))
                    .log("the leader's record vanished with its lease");
        }
    }

    private static Optional<LeaderRecord> parse(StoreItem item) {
        return item.removed()
                ? Optional.empty()
                : Json.read(item.value(), LeaderRecord.class).toJavaOptional();
    }

    /** Returns the record, empty if it is absent. */
    Optional<LeaderRecord> record() {
        return record;
    }

    /** Returns the time from which a released lease may be used, empty when it is held or absent. */
    OptionalLong availableFrom() {
        return record.filter(LeaderRecord::released)
                .map(r -> OptionalLong.of(recordReceivedAt + r.waitMillis()))
                .orElse(OptionalLong.empty());
    }

    Revisions revisions() {
        return new Revisions(revisionOf(RECORD_KEY), revisionOf(TERM_KEY));
    }

    private long revisionOf(String key) {
        return mirror.get(key).map(StoreItem::revision).orElse(0L);
    }

    /**
     * Returns since when the lease has been vacant in the current term. The time counts from the first call that finds
     * it vacant, and starts anew with each change of the record or the term.
     *
     * @return the monotonic time; empty while there is a record, or while this router does not know whether there is
     *     one
     */
    OptionalLong observeVacancy() {
        if (record.isPresent() || !isCompleteUpToTerm()) {
            vacantSince = OptionalLong.empty();
        } else if (vacantSince.isEmpty()) {
            vacantSince = OptionalLong.of(clock.monotonicMillis());
        }
        return vacantSince;
    }

    /** The pages of a read are not a snapshot, so the term may have been read later than the absence of the record. */
    private boolean isCompleteUpToTerm() {
        return mirror.revision() > 0 && mirror.revision() >= revisionOf(TERM_KEY);
    }
}
