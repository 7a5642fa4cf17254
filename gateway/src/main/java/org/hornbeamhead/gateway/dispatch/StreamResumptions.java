package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.hornbeamhead.core.resume.SoftwareVersion;
import org.hornbeamhead.core.resume.StreamKey;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.gateway.caller.CallerResponse;
import org.hornbeamhead.gateway.path.RelayHeaders;
import org.hornbeamhead.gateway.resume.StreamOriginDirectory;

/**
 * Finds out, before a stream is resumed, which software began it. Without that a stream is not resumed, since what two
 * versions write does not fit together and replicas do not check it.
 */
final class StreamResumptions {
    /** How long after its last replica was listed a version may still be writing events. */
    private static final long LISTING_DELAY_MILLIS = 5_000;

    private final StreamOriginDirectory directory;

    StreamResumptions(StreamOriginDirectory directory) {
        this.directory = directory;
    }

    /**
     * Finds the software that began the stream which a request resumes.
     *
     * @param routed the request
     * @param service the service of its route
     * @param response the response, which is not begun
     * @param listener receives the version, empty if it is not known; not called if the caller leaves before
     */
    void find(
            RoutedRequest routed,
            String service,
            CallerResponse response,
            Consumer<Optional<SoftwareVersion>> listener) {
        Optional<SoftwareVersion> told = routed.origin().flatMap(RelayHeaders.Origin::software);
        if (told.isPresent()) {
            listener.accept(told);
            return;
        }
        AtomicBoolean callerGone = new AtomicBoolean();
        response.onDisconnect(() -> callerGone.set(true));
        Optional<String> begunAs = routed.callerRequest().resumedAttempt();
        directory.find(stream(routed, service, begunAs), software -> {
            if (!callerGone.get()) {
                listener.accept(software);
            }
        });
    }

    /** Records that a request began a stream, before the caller gets its first event. */
    void streamBegan(ServiceRequest request, SoftwareVersion software) {
        directory.streamBegan(stream(request), software);
    }

    /** Records that the response to a request has ended. */
    void streamEnded(ServiceRequest request) {
        directory.streamEnded(stream(request));
    }

    private static StreamOriginDirectory.Stream stream(ServiceRequest request) {
        return stream(
                request.routed(),
                request.service().name(),
                Optional.of(request.callerRequest().id()));
    }

    private static StreamOriginDirectory.Stream stream(RoutedRequest routed, String service, Optional<String> begunAs) {
        String customer = routed.owner().map(KeyOwner::customer).orElse("");
        long longest = routed.config().longestStreamMillis(service);
        return new StreamOriginDirectory.Stream(
                service, begunAs.map(id -> StreamKey.of(service, customer, id)), longest + LISTING_DELAY_MILLIS);
    }
}
