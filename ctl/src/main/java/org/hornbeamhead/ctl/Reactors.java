package org.hornbeamhead.ctl;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

/** Runs one asynchronous task to its end. */
final class Reactors {
    private Reactors() {}

    /**
     * Runs a task on a reactor of its own.
     *
     * @param task starts the task
     * @param <T> its result
     * @return the result
     */
    static <T> T run(Function<NioReactor, CompletionStage<T>> task) {
        Eventloop reactor = Eventloop.builder().withCurrentThread().build();
        AtomicReference<T> result = new AtomicReference<>();
        AtomicReference<Throwable> failure = new AtomicReference<>();
        reactor.keepAlive(true);
        reactor.post(() -> task.apply(reactor).whenComplete((value, e) -> {
            result.set(value);
            failure.set(e);
            reactor.breakEventloop();
        }));
        reactor.run();
        if (failure.get() != null) {
            throw new IllegalStateException("the command failed", failure.get());
        }
        return result.get();
    }
}
