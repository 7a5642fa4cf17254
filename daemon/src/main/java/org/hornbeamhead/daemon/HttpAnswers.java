package org.hornbeamhead.daemon;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;

/** Ready-made HTTP answers. */
public final class HttpAnswers {
    private HttpAnswers() {}

    /**
     * Answers with JSON.
     *
     * @param status the status
     * @param value a record or a tree
     * @return the answer
     */
    public static Promise<HttpResponse> json(int status, Object value) {
        return text(status, "application/json", Json.write(value));
    }

    /**
     * Answers with a text.
     *
     * @param status the status
     * @param type the media type
     * @param text the text
     * @return the answer
     */
    public static Promise<HttpResponse> text(int status, String type, String text) {
        return HttpResponse.ofCode(status)
                .withHeader(HttpHeaders.CONTENT_TYPE, type)
                .withBody(text.getBytes(StandardCharsets.UTF_8))
                .toPromise();
    }
}
