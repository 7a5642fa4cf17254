package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;
import org.hornbeamhead.core.mirror.StoreChanges;

/** A store that supports only reads. */
interface ReadOnlyStore extends PlatformStore {
    @Override
    default Promise<Long> readRevision() {
        return readAll().map(StoreChanges::revision);
    }

    @Override
    default Promise<WriteReply> commit(StoreTransaction transaction) {
        throw new UnsupportedOperationException();
    }

    @Override
    default Promise<String> grant(Duration ttl) {
        throw new UnsupportedOperationException();
    }

    @Override
    default Promise<Boolean> renew(String lease) {
        throw new UnsupportedOperationException();
    }

    @Override
    default Promise<Void> revoke(String lease) {
        throw new UnsupportedOperationException();
    }
}
