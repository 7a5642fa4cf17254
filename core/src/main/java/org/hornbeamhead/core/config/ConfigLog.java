package org.hornbeamhead.core.config;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.store.StoreReply;

/**
 * The configuration's log in the platform's service. Version n+1 is a key that can be created only once, so that of two
 * racing operators exactly one wins, and no version ever changes or vanishes.
 *
 * <p>The key {@code config/head} tells the newest version and the newest entry with the whole text. It is only a hint:
 * it may lag, since its writer may stop in between. Readers go on from it to the first version that does not exist.
 */
public final class ConfigLog {
    /** The key to watch for changes. */
    public static final String HEAD = "config/head";

    private static final int FULL_EVERY = 64;
    private static final int TRIES = 5;

    /** Where the log stands, as far as the hint knows. */
    private record Head(long version, long full, long storeVersion) {
        private static final Head NONE = new Head(0, 0, KeyValueStore.ABSENT);

        static Either<String, Head> read(StoreEntry entry) {
            return Try.of(() -> {
                        String[] parts = entry.value().split(" ", 2);
                        return new Head(Long.parseLong(parts[0]), Long.parseLong(parts[1]), entry.version());
                    })
                    .toEither()
                    .mapLeft(e -> "key " + HEAD + " cannot be read: " + e);
        }
    }

    private final KeyValueStore store;

    /**
     * Makes a client of the log.
     *
     * @param store the platform's service
     */
    public ConfigLog(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Reads the newest configuration.
     *
     * @param known a state known already, to go on from; {@link ConfigState#NONE} to read all that is needed
     * @return the newest state, never older than the known one, or why it cannot be read
     */
    public CompletionStage<Either<String, ConfigState>> latest(ConfigState known) {
        return readHead()
                .thenCompose(head -> head.fold(
                        why -> done(Either.left(why)),
                        h -> h.full() > known.version() + 1 ? jump(h.full()) : follow(known)));
    }

    private CompletionStage<Either<String, ConfigState>> jump(long full) {
        return readRecord(full)
                .thenCompose(found -> found.fold(
                        why -> done(Either.left(why)),
                        record -> record.isPresent()
                                ? follow(ConfigState.NONE.with(record.get()))
                                : done(Either.left("entry " + full + " is missing"))));
    }

    private CompletionStage<Either<String, ConfigState>> follow(ConfigState state) {
        return readRecord(state.version() + 1)
                .thenCompose(found -> found.fold(
                        why -> done(Either.left(why)),
                        record -> record.isPresent() ? follow(state.with(record.get())) : done(Either.right(state))));
    }

    /**
     * Appends a change.
     *
     * @param base the state that the change was made from
     * @param text the whole new text, already validated
     * @param author who changes it, when, why, and under which change id; its version and body are filled in here
     * @return what came of it
     */
    public CompletionStage<AppendResult> append(ConfigState base, String text, ConfigAuthor author) {
        ConfigRecord record = record(base, text, author);
        return create(base, record, TRIES, false);
    }

    private static ConfigRecord record(ConfigState base, String text, ConfigAuthor author) {
        long version = base.version() + 1;
        Optional<List<SectionChange>> changes =
                version % FULL_EVERY == 1 ? Optional.empty() : base.document().changesTo(ConfigDocument.of(text));
        return new ConfigRecord(
                version,
                author.changeId(),
                author.name(),
                author.wallMillis(),
                author.reason(),
                changes.isPresent() ? Optional.empty() : Optional.of(text),
                changes.orElse(List.of()));
    }

    private CompletionStage<AppendResult> create(ConfigState base, ConfigRecord record, int tries, boolean doubt) {
        return store.compareAndSwap(key(record.version()), KeyValueStore.ABSENT, record.format(), Optional.empty())
                .thenCompose(reply -> {
                    if (reply instanceof StoreReply.Found) {
                        return accepted(base, record);
                    }
                    if (reply instanceof StoreReply.Conflict conflict
                            && conflict.current().isPresent()) {
                        return settle(base, record, conflict.current().get());
                    }
                    return createAgain(base, record, tries, doubt || reply instanceof StoreReply.InDoubt);
                });
    }

    private CompletionStage<AppendResult> createAgain(ConfigState base, ConfigRecord record, int tries, boolean doubt) {
        if (tries > 1) {
            // The key can be created once and carries the change's id, so that trying again is idempotent.
            return create(base, record, tries - 1, doubt);
        }
        String why = "the platform's service does not answer";
        return CompletableFuture.completedFuture(
                doubt ? new AppendResult.InDoubt(record.changeId(), why) : new AppendResult.NotMade(why));
    }

    private CompletionStage<AppendResult> settle(ConfigState base, ConfigRecord record, StoreEntry present) {
        return ConfigRecord.read(present.value())
                .fold(
                        why -> CompletableFuture.completedFuture(new AppendResult.NotMade(why)),
                        found -> settle(base, record, found));
    }

    private CompletionStage<AppendResult> settle(ConfigState base, ConfigRecord record, ConfigRecord found) {
        if (found.changeId().equals(record.changeId())) {
            return accepted(base, record);
        }
        return latest(base)
                .thenApply(state -> state.fold(
                        why -> new AppendResult.Overtaken(base.with(found), List.of(found)),
                        s -> new AppendResult.Overtaken(s, s.since(base.version()))));
    }

    private CompletionStage<AppendResult> accepted(ConfigState base, ConfigRecord record) {
        ConfigState state = base.with(record);
        return advanceHead(record).thenApply(v -> new AppendResult.Accepted(state));
    }

    /** Moves the hint forward. A failure here is mended by the next change; readers look past the hint anyway. */
    private CompletionStage<Void> advanceHead(ConfigRecord record) {
        return readHead().thenCompose(read -> {
            Head head = read.getOrElse(Head.NONE);
            if (read.isLeft() || head.version() >= record.version()) {
                return CompletableFuture.completedFuture(null);
            }
            long full = record.full().isPresent() ? record.version() : head.full();
            return store.compareAndSwap(HEAD, head.storeVersion(), record.version() + " " + full, Optional.empty())
                    .thenApply(r -> null);
        });
    }

    private CompletionStage<Either<String, Head>> readHead() {
        return store.read(HEAD).thenApply(reply -> {
            if (reply instanceof StoreReply.Found found) {
                return Head.read(found.entry());
            }
            return reply instanceof StoreReply.Missing ? Either.right(Head.NONE) : Either.left(why(reply));
        });
    }

    /**
     * Reads one entry.
     *
     * @param version its version
     * @return the entry, empty when there is none yet, or why it cannot be read
     */
    public CompletionStage<Either<String, Optional<ConfigRecord>>> readRecord(long version) {
        return store.read(key(version)).thenApply(reply -> {
            if (reply instanceof StoreReply.Found found) {
                return ConfigRecord.read(found.entry().value()).map(Optional::of);
            }
            return reply instanceof StoreReply.Missing ? Either.right(Optional.empty()) : Either.left(why(reply));
        });
    }

    private static String why(StoreReply reply) {
        return reply instanceof StoreReply.Failed failed ? failed.why() : "unexpected reply: " + reply;
    }

    private static String key(long version) {
        return "config/log/" + version;
    }

    private static <T> CompletionStage<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
