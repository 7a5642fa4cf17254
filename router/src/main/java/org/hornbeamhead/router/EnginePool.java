package org.hornbeamhead.router;

import java.util.random.RandomGenerator;
import org.hornbeamhead.core.admission.AdmissionControl;
import org.hornbeamhead.core.admission.BatchQueue;
import org.hornbeamhead.core.placement.PrefixPlacement;
import org.hornbeamhead.core.placement.ReplicaTable;
import org.hornbeamhead.core.retry.RetryBudget;
import org.hornbeamhead.core.time.Clock;

/** All that one router knows and decides of one pool of engines. Owned by the reactor's thread. */
final class EnginePool {
    private final ReplicaTable table;
    private final PrefixPlacement placement = new PrefixPlacement();
    private final AdmissionControl admission;
    private final RetryBudget retries = new RetryBudget();
    private final BatchQueue<BatchWait> batch;

    EnginePool(Clock clock, RandomGenerator random, int batchLimit) {
        this.table = new ReplicaTable(clock);
        this.admission = new AdmissionControl(random);
        this.batch = new BatchQueue<>(batchLimit);
    }

    ReplicaTable table() {
        return table;
    }

    PrefixPlacement placement() {
        return placement;
    }

    AdmissionControl admission() {
        return admission;
    }

    RetryBudget retries() {
        return retries;
    }

    BatchQueue<BatchWait> batch() {
        return batch;
    }
}
