package org.hornbeamhead.core.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RoutingConfigTest {
    /** Returns a route with a single service and test limits. */
    public static Route route(
            String name, String host, String prefix, RequestKind kind, boolean resumable, int maxAttempts) {
        return new Route(
                name,
                host,
                prefix,
                kind,
                resumable,
                false,
                false,
                new RouteLimits(1_000, 100, 0, maxAttempts),
                1,
                List.of(new WeightedService("s", 1)));
    }

    private static RoutingConfig config(boolean keysNeeded, Map<String, KeyOwner> keys) {
        return new RoutingConfig(
                1,
                new CallerLimits(1, 1, 1, 1),
                List.of(
                        route("short", "h", "/a/", RequestKind.IDEMPOTENT, false, 1),
                        route("long", "h", "/a/b/", RequestKind.IDEMPOTENT, false, 1),
                        route("other", "i", "/", RequestKind.IDEMPOTENT, false, 1)),
                List.of(),
                List.of(),
                keysNeeded,
                keys,
                new CacheIsolation(Set.of()));
    }

    @DataProvider
    public Object[][] paths() {
        return new Object[][] {
            {"h", "/a/x", "short"},
            {"H:80", "/a/", "short"},
            {"h", "/a/b/c/d", "long"},
            {"h", "/a/b", "short"},
            {"h", "/a", "none"},
            {"h", "/b/a/", "none"},
            {"i", "/anything", "other"},
            {"j", "/a/", "none"},
        };
    }

    @Test(dataProvider = "paths")
    public void longestMatchingPrefixOfTheHostWins(String host, String path, String expected) {
        assertEquals(
                config(false, Map.of()).findRoute(host, path).map(Route::name).orElse("none"), expected);
    }

    /**
     * When operators remove the last key, the configuration must not look like one that requires no keys, or every
     * caller would be admitted.
     */
    @Test
    public void keysStayRequiredAfterTheLastKeyIsRemoved() {
        assertTrue(config(true, Map.of()).requiresKeys());
        assertTrue(config(true, Map.of()).findKeyOwner("k").isEmpty());
        KeyOwner owner = new KeyOwner("c", OptionalInt.empty(), false, Optional.empty());
        assertEquals(config(true, Map.of("k", owner)).findKeyOwner("k").orElseThrow(), owner);
    }

    @Test
    public void requestsAreDistributedByWeight() {
        Route route = new Route(
                "r",
                "h",
                "/",
                RequestKind.IDEMPOTENT,
                false,
                false,
                false,
                new RouteLimits(1, 1, 0, 1),
                0,
                List.of(new WeightedService("a", 90), new WeightedService("b", 10)));
        long selectedB = IntStream.range(0, 1_000)
                .filter(i -> route.selectService(i).equals("b"))
                .count();
        assertEquals(selectedB, 100);
    }
}
