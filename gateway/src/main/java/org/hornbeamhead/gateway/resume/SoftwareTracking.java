package org.hornbeamhead.gateway.resume;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.resume.SoftwareHistory;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.PeerDatagrams;
import org.hornbeamhead.gateway.state.PlatformStore;
import org.hornbeamhead.gateway.state.RouterList;
import org.hornbeamhead.gateway.state.SoftwareVersionRecorder;

/** Creates and connects what follows the software versions of replicas and the streams that they began. */
public final class SoftwareTracking {
    private static final long CHECK_MILLIS = 200;

    private final Timers timers;
    private final SoftwareVersionRecorder recorder;
    private final StreamOriginDirectory directory;

    /**
     * The dependencies.
     *
     * @param clock the clock
     * @param timers the timers of the current thread
     * @param store the store
     * @param mirror what is known of the store
     * @param registry the replicas
     * @param self the address at which this router receives datagrams
     * @param routers the routers
     * @param datagrams the socket for datagrams between routers
     * @param listCurrent whether the lists of replicas and routers are current
     * @param listConfirmation confirms the list of replicas
     * @param listConfirmedAt when they were last confirmed
     * @param metrics the metrics of the process
     */
    public record Dependencies(
            Clock clock,
            Timers timers,
            PlatformStore store,
            StoreMirror mirror,
            ReplicaRegistry registry,
            String self,
            RouterList routers,
            PeerDatagrams datagrams,
            BooleanSupplier listCurrent,
            ListConfirmation listConfirmation,
            LongSupplier listConfirmedAt,
            Metrics metrics) {}

    /**
     * Starts to follow the list of replicas.
     *
     * @param dependencies the dependencies
     */
    public SoftwareTracking(Dependencies dependencies) {
        Clock clock = dependencies.clock();
        timers = dependencies.timers();
        SoftwareHistory history = new SoftwareHistory(clock.monotonicMillis());
        recorder = new SoftwareVersionRecorder(
                clock,
                dependencies.timers(),
                dependencies.store(),
                dependencies.mirror(),
                history,
                () -> dependencies.listCurrent().getAsBoolean()
                        && dependencies.routers().isFirstReader());
        OriginExchange exchange = new OriginExchange(
                clock,
                dependencies.timers(),
                dependencies.self(),
                dependencies.routers()::hintAddresses,
                dependencies.datagrams()::send);
        dependencies.datagrams().addListener(exchange::receive);
        directory = new StreamOriginDirectory(
                clock,
                history,
                exchange,
                dependencies.listCurrent(),
                dependencies.listConfirmation(),
                dependencies.listConfirmedAt(),
                dependencies.metrics());
        directory.follow(dependencies.registry());
    }

    /** Starts to record the versions, and to announce streams when the list is out of date. */
    public void start() {
        recorder.start();
        checkList();
    }

    private void checkList() {
        directory.checkList();
        timers.schedule(CHECK_MILLIS, this::checkList);
    }

    /**
     * Returns the recorder of software versions, which receives what the store has recorded.
     *
     * @return the recorder
     */
    public SoftwareVersionRecorder recorder() {
        return recorder;
    }

    /**
     * Returns what is known of streams.
     *
     * @return the directory
     */
    public StreamOriginDirectory directory() {
        return directory;
    }
}
