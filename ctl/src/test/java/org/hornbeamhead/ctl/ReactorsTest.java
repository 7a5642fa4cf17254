package org.hornbeamhead.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.activej.reactor.nio.NioReactor;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How the task of a command ends. */
public class ReactorsTest {
    private static final int LIMIT_MILLIS = 10_000;

    @DataProvider
    public Object[][] failingTasks() {
        Function<NioReactor, CompletionStage<String>> atItsStart = reactor -> {
            throw new NoClassDefFoundError("gone");
        };
        Function<NioReactor, CompletionStage<String>> later = reactor -> {
            reactor.delay(1, () -> {
                throw new NoClassDefFoundError("gone");
            });
            return new CompletableFuture<>();
        };
        Function<NioReactor, CompletionStage<String>> asItsResult =
                reactor -> CompletableFuture.failedFuture(new IllegalArgumentException("no answer"));
        return new Object[][] {{atItsStart}, {later}, {asItsResult}};
    }

    /** Guards against a command that waits for ever after an error that nothing caught. */
    @Test(dataProvider = "failingTasks", timeOut = LIMIT_MILLIS)
    public void anErrorEndsTheTask(Function<NioReactor, CompletionStage<String>> task) {
        assertThrows(TaskFailedException.class, () -> Reactors.run(task));
    }

    @Test(timeOut = LIMIT_MILLIS)
    public void aResultEndsTheTask() {
        assertEquals(Reactors.<String>run(reactor -> CompletableFuture.completedFuture("done")), "done");
    }
}
