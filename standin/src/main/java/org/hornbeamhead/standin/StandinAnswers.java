package org.hornbeamhead.standin;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;

/** Parts of answers that stand-in engines and plain services share. */
public final class StandinAnswers {
    private static final HttpHeader LIMIT = HttpHeaders.of("Hornbeam-Request-Limit");
    private static final HttpHeader LEAVING = HttpHeaders.of("Hornbeam-Leaving");
    private static final int UNAVAILABLE = 503;

    private StandinAnswers() {}

    /**
     * Adds what the endpoint says of itself to an answer.
     *
     * @param answer the answer
     * @param requestLimit its limit in requests a second; empty for none
     * @param leaving whether it leaves
     */
    public static void addNotices(HttpResponse.Builder answer, String requestLimit, boolean leaving) {
        if (!requestLimit.isEmpty()) {
            answer.withHeader(LIMIT, requestLimit);
        }
        if (leaving) {
            answer.withHeader(LEAVING, "1");
        }
    }

    /**
     * Refuses a request before any work.
     *
     * @param retryAfter the pause that the endpoint asks for, in seconds; empty for none
     * @param leaving whether it leaves
     * @return the answer
     */
    public static Promise<HttpResponse> refusal(String retryAfter, boolean leaving) {
        HttpResponse.Builder answer =
                HttpResponse.ofCode(UNAVAILABLE).withBody("refused before any work".getBytes(StandardCharsets.UTF_8));
        if (!retryAfter.isEmpty()) {
            answer.withHeader(HttpHeaders.RETRY_AFTER, retryAfter);
        }
        addNotices(answer, "", leaving);
        return answer.toPromise();
    }
}
