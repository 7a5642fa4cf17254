package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;

import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.daemon.Json;

/** Reads one text as what other routers tell. */
public final class PeerReading {
    private static final RouterEntry SELF =
            new RouterEntry("n1", "10.0.0.1:80", "10.0.0.1:81", "10.0.0.1:82", "z", 100, 0);

    private PeerReading() {}

    /** Fails when a reader throws, or an answer that was read is written differently. */
    public static void read(String text) {
        MirrorAnswer.decode(text)
                .forEach(answer -> assertEquals(
                        MirrorAnswer.decode(Json.write(answer.encode())).get(), answer));
        RouterList routers = new RouterList(SELF, () -> true, new ManualClock(0));
        routers.update(new StoreItem(RouterEntry.PREFIX + "n2", 1, text, false));
        routers.callerAddresses(8, 1_000, r -> true);
    }
}
