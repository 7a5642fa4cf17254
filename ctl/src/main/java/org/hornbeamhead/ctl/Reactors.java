package org.hornbeamhead.ctl;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.nio.NioReactor;
import java.util.concurrent.CompletionStage;
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
     * @throws TaskFailedException when the task failed, or anything on its reactor threw what nothing caught
     */
    static <T> T run(Function<NioReactor, CompletionStage<T>> task) {
        return new Run<T>().result(task);
    }

    /** One run. Its reactor would go on after an error that nothing caught, and the task might never end. */
    private static final class Run<T> {
        private final Eventloop reactor = Eventloop.builder()
                .withCurrentThread()
                .withFatalErrorHandler((e, context) -> ended(null, e))
                .build();

        private T result;
        private Throwable failure;

        private T result(Function<NioReactor, CompletionStage<T>> task) {
            reactor.keepAlive(true);
            reactor.post(() -> task.apply(reactor).whenComplete(this::ended));
            reactor.run();
            if (failure != null) {
                throw new TaskFailedException(failure);
            }
            return result;
        }

        private void ended(T value, Throwable e) {
            result = value;
            failure = e;
            reactor.breakEventloop();
        }
    }
}
