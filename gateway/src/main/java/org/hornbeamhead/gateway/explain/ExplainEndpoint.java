package org.hornbeamhead.gateway.explain;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.Json;

/** Answers queries of operators at {@link #PATH}. */
public final class ExplainEndpoint {
    /** The path of queries. */
    public static final String PATH = "/explain";

    private static final int MAX_BYTES = 16_384;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;

    private final Function<ExplainQuery, Explanation> explainer;

    /**
     * Creates the endpoint.
     *
     * @param explainer explains what would be done with a request
     */
    public ExplainEndpoint(Function<ExplainQuery, Explanation> explainer) {
        this.explainer = explainer;
    }

    /**
     * Answers a query, whose fields are a JSON object in the body or, without a body, the parameters of the URL.
     *
     * @param request the query
     * @return the explanation as JSON; status 400 with the field and the reason if the query is invalid
     */
    public Promise<HttpResponse> handle(HttpRequest request) {
        Map<String, String> parameters = request.getQueryParameters();
        return request.loadBody(MAX_BYTES)
                .then(
                        body -> answer(body.getString(StandardCharsets.UTF_8), parameters),
                        e -> reject(new FieldError("body", "cannot be read, or is longer than " + MAX_BYTES)));
    }

    private Promise<HttpResponse> answer(String body, Map<String, String> parameters) {
        Either<FieldError, Map<String, String>> fields = body.isBlank() ? Either.right(parameters) : fields(body);
        return fields.flatMap(ExplainQuery::parse)
                .fold(
                        ExplainEndpoint::reject,
                        query -> HttpAnswers.json(OK, explainer.apply(query).toJson()));
    }

    private static Promise<HttpResponse> reject(FieldError error) {
        return HttpAnswers.json(
                BAD_REQUEST, Json.object().put("field", error.field()).put("reason", error.reason()));
    }

    /**
     * Reads the fields of a JSON object.
     *
     * @param body the JSON text
     * @return the fields by name, or what is wrong
     */
    static Either<FieldError, Map<String, String>> fields(String body) {
        Either<String, JsonNode> tree = Json.parse(body);
        if (tree.isLeft()) {
            return Either.left(new FieldError("body", tree.getLeft()));
        }
        if (!tree.get().isObject()) {
            return Either.left(new FieldError("body", "is not a JSON object"));
        }
        Map<String, String> fields = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : tree.get().properties()) {
            if (!field.getValue().isTextual() && !field.getValue().isIntegralNumber()) {
                return Either.left(new FieldError(field.getKey(), "is neither a text nor a whole number"));
            }
            fields.put(field.getKey(), field.getValue().asText());
        }
        return Either.right(fields);
    }
}
