package org.hornbeamhead.router;

import static org.testng.Assert.assertEquals;

import org.hornbeamhead.daemon.Json;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EngineEventTest {
    @DataProvider
    public Object[][] chunks() {
        return new Object[][] {
            {"{\"id\":\"chatcmpl-a.1\",\"choices\":[{\"delta\":{\"content\":\" x\"}}]}", " x", false},
            {"{\"id\":\"chatcmpl-a.1\",\"choices\":[{\"delta\":{\"content\":\"\"}}]}", "", false},
            {"{\"choices\":[{\"text\":\"x\"}],\"id\":\"chatcmpl-a.1\"}", "x", false},
            {"{ \"id\" : \"chatcmpl-a.1\", \"choices\" : [] }", "", false},
            {"{\"id\":\"chatcmpl-a.1\",\"choices\":[],\"usage\":{\"prompt_tokens\":1}}", "", true},
            {
                "{\"id\":\"chatcmpl-a.1\",\"choices\":[{\"delta\":{\"content\":"
                        + "\"\\\"usage\\\":{ \\\"id\\\":\\\"b\\\"\"}}]}",
                "\"usage\":{ \"id\":\"b\"",
                false
            },
        };
    }

    // What is scanned must be what parsing would give, also where the text looks like a key.
    @Test(dataProvider = "chunks")
    public void scanningAgreesWithParsing(String chunk, String text, boolean usage) {
        EngineEvent event = EngineEvent.of(chunk, "chatcmpl-mine");
        assertEquals(event.json().path("id").asText(), "chatcmpl-mine");
        assertEquals(event.hasText(), !text.isEmpty());
        assertEquals(event.text(), text);
        assertEquals(event.hasUsage(), usage);
        assertEquals(event.json().path("choices"), Json.parse(chunk).get().path("choices"));
    }
}
