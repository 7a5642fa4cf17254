package org.hornbeamhead.examples;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

public class EmbeddedRoutersTest {
    @Test
    public void theExampleDoesWhatItSays() {
        EmbeddedRouters example = new EmbeddedRouters();
        assertEquals(example.place(), example.place());
        assertEquals(example.claimTwice(), List.of("GRANTED", "TAKEN"));
    }
}
