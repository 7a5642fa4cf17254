package org.hornbeamhead.gateway.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how queries of operators are read. */
public class ExplainQueryTest {
    private static Either<FieldError, ExplainQuery> parse(String json) {
        return ExplainEndpoint.fields(json).flatMap(ExplainQuery::parse);
    }

    @DataProvider
    public Object[][] invalidQueries() {
        String base = "{\"host\":\"h\",\"path\":\"/a\",\"model\":\"m\",";
        return new Object[][] {
            {"[]", "body"},
            {"{", "body"},
            {"{}", "host"},
            {"{\"host\":\"h\"}", "path"},
            {"{\"host\":\"h\",\"path\":\"a\"}", "path"},
            {"{\"host\":\" \",\"path\":\"/a\"}", "host"},
            {"{\"host\":[\"h\"],\"path\":\"/a\"}", "host"},
            {"{\"host\":\"h\",\"path\":\"/a\",\"prompt\":\"a:1\"}", "model"},
            {base + "\"hosts\":\"h\"}", "hosts"},
            {base + "\"prompt\":\"a\"}", "prompt"},
            {base + "\"prompt\":\":1\"}", "prompt"},
            {base + "\"prompt\":\"a:1,\"}", "prompt"},
            {base + "\"prompt\":\"a:-1\"}", "prompt"},
            {base + "\"prompt\":\"a:10000001\"}", "prompt"},
            {base + "\"prompt\":\"" + "a:1,".repeat(64) + "a:1\"}", "prompt"},
            {base + "\"max_output_tokens\":1.5}", "max_output_tokens"},
            {base + "\"max_output_tokens\":-1}", "max_output_tokens"},
            {base + "\"expected_output_tokens\":\"many\"}", "expected_output_tokens"},
            {base + "\"expected_output_tokens\":null}", "expected_output_tokens"},
            {base + "\"key\":\"\"}", "key"},
        };
    }

    /** Guards against explaining another request than the one that was meant. */
    @Test(dataProvider = "invalidQueries")
    public void invalidFieldIsNamed(String json, String field) {
        FieldError error = parse(json).getLeft();
        assertEquals(error.field(), field);
        assertTrue(!error.reason().isBlank());
    }

    @Test
    public void queryWithAllFieldsIsRead() {
        ExplainQuery query = parse("{\"host\":\"h\",\"path\":\"/a?b\",\"key\":\"k\",\"id\":\"i\",\"model\":\"m\","
                        + "\"prompt\":\"a:100,b:20\",\"max_output_tokens\":9,\"expected_output_tokens\":\"4\"}")
                .get();
        assertEquals(query.prompt().orElseThrow().sharedTokens(), 100);
        assertEquals(query.prompt().orElseThrow().maxOutputTokens(), 9);
        assertEquals(query.prompt().orElseThrow().expectedOutputTokens(), OptionalInt.of(4));
        assertEquals(query.tokenCount(), OptionalLong.of(129));
        assertEquals(query.expectedOutputTokens().getAsInt(), 4);
    }
}
