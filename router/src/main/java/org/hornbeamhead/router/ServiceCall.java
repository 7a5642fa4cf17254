package org.hornbeamhead.router;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import java.util.Arrays;
import org.hornbeamhead.core.config.Customer;
import org.hornbeamhead.core.crash.RequestFingerprint;

/** A call to a plain service that was identified. Immutable. */
final class ServiceCall {
    private final RequestHead head;
    private final Customer customer;
    private final String pool;
    private final String path;
    private final byte[] body;

    ServiceCall(RequestHead head, Customer customer, String pool, String path, byte[] body) {
        this.head = head;
        this.customer = customer;
        this.pool = pool;
        this.path = path;
        this.body = Arrays.copyOf(body, body.length);
    }

    RequestHead head() {
        return head;
    }

    Customer customer() {
        return customer;
    }

    String pool() {
        return pool;
    }

    /** Names the call by its content. */
    RequestFingerprint fingerprint() {
        return RequestFingerprint.of(pool + path, customer.name(), body);
    }

    /** Writes the call for a replica of the service. */
    HttpRequest toService(String address) {
        HttpRequest.Builder request = request("http://" + address + path);
        request.withHeader(HttpHeaders.of("Hornbeam-Customer"), customer.name());
        return request.build();
    }

    /** Writes the call for another router. */
    HttpRequest toRouter(String address, String prefix) {
        HttpRequest.Builder request = request("http://" + address + prefix + pool + path);
        request.withHeader(HttpHeaders.AUTHORIZATION, head.authorization());
        request.withHeader(HttpHeaders.of("Hornbeam-Not-Repeatable"), Boolean.toString(head.notRepeatable()));
        return request.build();
    }

    private HttpRequest.Builder request(String url) {
        HttpRequest.Builder request = HttpRequest.builder(HttpMethod.valueOf(head.method()), url)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(HttpHeaders.of("X-Request-Id"), head.id());
        if (!head.idempotencyKey().isEmpty()) {
            request.withHeader(ServicePipeline.idempotencyKey(), head.idempotencyKey());
        }
        if (body.length > 0) {
            request.withBody(body);
        }
        return request;
    }
}
