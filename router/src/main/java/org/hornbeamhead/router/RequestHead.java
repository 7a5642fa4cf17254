package org.hornbeamhead.router;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * What a request says outside its body.
 *
 * @param id the caller's request id, or one drawn here
 * @param method the HTTP method
 * @param path the path
 * @param authorization the authorization header, to pass on to another router
 * @param keySha256 the SHA-256 of the customer's key; empty when there is none
 * @param requestClass the class of work; empty for the customer's default
 * @param idempotencyKey the id of a request that must run at most once; empty when there is none
 * @param notRepeatable whether the caller says that the request must run at most once
 */
public record RequestHead(
        String id,
        String method,
        String path,
        String authorization,
        String keySha256,
        String requestClass,
        String idempotencyKey,
        boolean notRepeatable) {
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader CLASS = HttpHeaders.of("Hornbeam-Class");
    private static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");
    private static final HttpHeader NOT_REPEATABLE = HttpHeaders.of("Hornbeam-Not-Repeatable");
    private static final String BEARER = "Bearer ";
    private static final Pattern SAFE_ID = Pattern.compile("[A-Za-z0-9_-]{1,64}");

    /**
     * Reads the head of a request.
     *
     * @param request the request
     * @return its head
     */
    public static RequestHead of(HttpRequest request) {
        String id = header(request, REQUEST_ID);
        return new RequestHead(
                SAFE_ID.matcher(id).matches() ? id : UUID.randomUUID().toString(),
                request.getMethod().name(),
                request.getPath(),
                header(request, HttpHeaders.AUTHORIZATION),
                keySha256(header(request, HttpHeaders.AUTHORIZATION)),
                header(request, CLASS),
                header(request, IDEMPOTENCY_KEY),
                Boolean.parseBoolean(header(request, NOT_REPEATABLE)));
    }

    private static String header(HttpRequest request, HttpHeader name) {
        String value = request.getHeader(name);
        return value == null ? "" : value.trim();
    }

    private static String keySha256(String authorization) {
        if (!authorization.startsWith(BEARER)) {
            return "";
        }
        byte[] key = authorization.substring(BEARER.length()).trim().getBytes(StandardCharsets.UTF_8);
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /**
     * Tells whether the request is a chat completion.
     *
     * @return true for chat, false for plain completions
     */
    public boolean isChat() {
        return path.endsWith("/chat/completions");
    }
}
