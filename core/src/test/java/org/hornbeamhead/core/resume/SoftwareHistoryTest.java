package org.hornbeamhead.core.resume;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when a service counts as one that has had a single software version. */
public class SoftwareHistoryTest {
    private static final long START = 1_000_000;
    private static final long WINDOW = 10_000;
    private static final long LATER = START + WINDOW;
    private static final SoftwareVersion V1 = SoftwareVersion.named("v1");
    private static final SoftwareVersion V2 = SoftwareVersion.named("v2");

    private static Consumer<SoftwareHistory> steps(Consumer<SoftwareHistory> steps) {
        return steps;
    }

    private static SoftwareHistory.Snapshot snapshot(long completeMillis, Map<SoftwareVersion, Long> versions) {
        return new SoftwareHistory.Snapshot(completeMillis, Map.of("s", versions));
    }

    @DataProvider
    public Object[][] histories() {
        return new Object[][] {
            {"one version for long", steps(h -> h.replicaListed("s", V1)), LATER, Optional.of(V1)},
            {"known for too short a time", steps(h -> h.replicaListed("s", V1)), LATER - 1, Optional.empty()},
            {"no replica", steps(h -> {}), LATER, Optional.empty()},
            {
                "another service has two",
                steps(h -> {
                    h.replicaListed("s", V1);
                    h.replicaListed("t", V2);
                }),
                LATER,
                Optional.of(V1)
            },
            {
                "two versions",
                steps(h -> {
                    h.replicaListed("s", V1);
                    h.replicaListed("s", V2);
                }),
                LATER,
                Optional.empty()
            },
            {
                "the other went a moment ago",
                steps(h -> {
                    h.replicaListed("s", V1);
                    h.replicaListed("s", V2);
                    h.replicaRemoved("s", V1, START + 1);
                }),
                LATER,
                Optional.empty()
            },
            {
                "the other went long ago",
                steps(h -> {
                    h.replicaListed("s", V1);
                    h.replicaListed("s", V2);
                    h.replicaRemoved("s", V1, START);
                }),
                LATER,
                Optional.of(V2)
            },
            {
                "one of two replicas of the other is left",
                steps(h -> {
                    h.replicaListed("s", V1);
                    h.replicaListed("s", V1);
                    h.replicaListed("s", V2);
                    h.replicaRemoved("s", V1, START);
                }),
                LATER,
                Optional.empty()
            },
        };
    }

    /** Guards against taking the version that is left for the one that began a stream. */
    @Test(dataProvider = "histories")
    public void soleVersionIsKnownOnlyAfterTheWindow(
            String description, Consumer<SoftwareHistory> steps, long now, Optional<SoftwareVersion> sole) {
        SoftwareHistory history = new SoftwareHistory(START);
        steps.accept(history);
        assertEquals(history.soleVersion("s", WINDOW, now), sole, description);
    }

    @DataProvider
    public Object[][] inheritedHistories() {
        return new Object[][] {
            {
                "an earlier process knew the same version",
                steps(h -> {
                    h.merge(snapshot(WINDOW, Map.of(V1, 0L)), START);
                    h.replicaListed("s", V1);
                }),
                START,
                Optional.of(V1)
            },
            {
                "an earlier process listed one that is lost",
                steps(h -> {
                    h.merge(snapshot(2 * WINDOW, Map.of(V1, 0L)), START);
                    h.replicaListed("s", V2);
                }),
                LATER - 1,
                Optional.empty()
            },
            {
                "an earlier process saw the other go long ago",
                steps(h -> {
                    h.merge(snapshot(2 * WINDOW, Map.of(V1, WINDOW, V2, 0L)), START);
                    h.replicaListed("s", V2);
                }),
                START,
                Optional.of(V2)
            },
        };
    }

    /** Guards against routers that start together and take the version that is left for the one that began a stream. */
    @Test(dataProvider = "inheritedHistories")
    public void soleVersionIsKnownFromEarlierProcesses(
            String description, Consumer<SoftwareHistory> steps, long now, Optional<SoftwareVersion> sole) {
        soleVersionIsKnownOnlyAfterTheWindow(description, steps, now, sole);
    }

    @Test
    public void snapshotHandsTheHistoryOn() {
        SoftwareHistory first = new SoftwareHistory(START);
        first.replicaListed("s", V1);
        first.replicaListed("s", V2);
        first.replicaRemoved("s", V1, START + 4_000);
        SoftwareHistory.Snapshot snapshot = first.snapshot(WINDOW, START + 5_000);
        assertEquals(snapshot, snapshot(5_000, Map.of(V1, 1_000L, V2, 0L)));
        assertEquals(first.snapshot(WINDOW, LATER + 4_000), snapshot(WINDOW + 4_000, Map.of(V2, 0L)));
    }

    /** Guards against taking unknown versions for equal. */
    @Test
    public void unknownVersionEqualsOnlyThatOfTheSameRun() {
        assertEquals(SoftwareVersion.unnamed("r1@5"), SoftwareVersion.unnamed("r1@5"));
        assertEquals(
                Map.of(
                                SoftwareVersion.unnamed("r1@5"), 1,
                                SoftwareVersion.unnamed("r1@6"), 2,
                                SoftwareVersion.named("r1@5"), 3,
                                SoftwareVersion.named("v1"), 4,
                                SoftwareVersion.named("V1"), 5,
                                SoftwareVersion.named("v1 "), 6)
                        .size(),
                6);
    }
}
