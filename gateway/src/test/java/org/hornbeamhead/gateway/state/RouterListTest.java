package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the addresses that are reported to callers. */
public class RouterListTest {
    private static final RouterEntry SELF = entry("n1", 1);
    private static final RouterEntry OTHER = entry("n2", 2);

    private final RouterList routers = new RouterList(SELF, () -> true, new ManualClock(0));

    private static RouterEntry entry(String node, int host) {
        String address = "10.0.0." + host + ":80";
        return new RouterEntry(node, address, address, address, "z", 100, 0);
    }

    private static StoreItem item(String node, String text) {
        return new StoreItem(RouterEntry.PREFIX + node, 1, text, false);
    }

    @DataProvider
    public Object[][] malformedEntries() {
        return new Object[][] {{""}, {"null"}, {"{}"}, {"7"}, {OTHER.toJson().replace("\"10.0.0.2:80\"", "null")}};
    }

    /** A single malformed entry must not keep callers from receiving the addresses of the other routers. */
    @Test(dataProvider = "malformedEntries")
    public void malformedEntryIsIgnored(String text) {
        routers.update(item("n2", OTHER.toJson()));
        routers.update(item("n3", text));
        assertEquals(
                routers.callerAddresses(8, 1_000, r -> true).stream().sorted().toList(),
                List.of(SELF.caller(), OTHER.caller()));
    }
}
