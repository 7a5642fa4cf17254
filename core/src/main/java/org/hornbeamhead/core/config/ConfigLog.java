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
 * The append-only configuration log in the platform's service. Each version n+1 is a key that can be created only once,
 * so that exactly one of two concurrent operators succeeds, and no version is ever changed or removed.
 *
 * <p>The key {@code config/head} holds the newest version and the version of the newest full-text entry. It is only a
 * hint and may lag, since its writer may stop between the two writes. Readers continue from it to the first version
 * that does not exist.
 */
public final class ConfigLog {
    /** The key that clients watch for changes. */
    public static final String HEAD = "config/head";

    private static final int FULL_TEXT_INTERVAL = 64;
    private static final int MAX_ATTEMPTS = 5;

    /** The value of the head key, a possibly outdated position of the log. */
    private record Head(long version, long fullTextVersion, long storeVersion) {
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
     * Creates a client of the log.
     *
     * @param store the platform's service
     */
    public ConfigLog(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Reads the newest configuration.
     *
     * @param known a known state to continue from, or {@link ConfigState#NONE}
     * @return the newest state, never older than the known one, or the reason why it cannot be read
     */
    public CompletionStage<Either<String, ConfigState>> latest(ConfigState known) {
        return readHead()
                .thenCompose(head -> head.fold(
                        why -> completed(Either.left(why)),
                        h -> h.fullTextVersion() > known.version() + 1
                                ? readFromFullText(h.fullTextVersion())
                                : readFollowing(known)));
    }

    private CompletionStage<Either<String, ConfigState>> readFromFullText(long fullTextVersion) {
        return readRecord(fullTextVersion)
                .thenCompose(found -> found.fold(
                        why -> completed(Either.left(why)),
                        record -> record.isPresent()
                                ? readFollowing(ConfigState.NONE.with(record.get()))
                                : completed(Either.left("entry " + fullTextVersion + " is missing"))));
    }

    private CompletionStage<Either<String, ConfigState>> readFollowing(ConfigState state) {
        return readRecord(state.version() + 1)
                .thenCompose(found -> found.fold(
                        why -> completed(Either.left(why)),
                        record -> record.isPresent()
                                ? readFollowing(state.with(record.get()))
                                : completed(Either.right(state))));
    }

    /**
     * Appends a change to the log.
     *
     * @param base the state that the change is based on
     * @param text the complete new text, already validated
     * @param author the author, time, reason and id of the change; version and body of the entry are added here
     * @return the result
     */
    public CompletionStage<AppendResult> append(ConfigState base, String text, ConfigAuthor author) {
        ConfigRecord record = record(base, text, author);
        return create(base, record, MAX_ATTEMPTS, false);
    }

    private static ConfigRecord record(ConfigState base, String text, ConfigAuthor author) {
        long version = base.version() + 1;
        Optional<List<SectionChange>> changes = version % FULL_TEXT_INTERVAL == 1
                ? Optional.empty()
                : base.document().changesTo(ConfigDocument.of(text));
        return new ConfigRecord(
                version,
                author.changeId(),
                author.name(),
                author.wallMillis(),
                author.reason(),
                changes.isPresent() ? Optional.empty() : Optional.of(text),
                changes.orElse(List.of()));
    }

    private CompletionStage<AppendResult> create(
            ConfigState base, ConfigRecord record, int attemptsLeft, boolean inDoubt) {
        return store.compareAndSwap(key(record.version()), KeyValueStore.ABSENT, record.format(), Optional.empty())
                .thenCompose(reply -> {
                    if (reply instanceof StoreReply.Found) {
                        return accepted(base, record);
                    }
                    if (reply instanceof StoreReply.Conflict conflict
                            && conflict.current().isPresent()) {
                        return resolveConflict(base, record, conflict.current().get());
                    }
                    return retryCreate(base, record, attemptsLeft, inDoubt || reply instanceof StoreReply.InDoubt);
                });
    }

    private CompletionStage<AppendResult> retryCreate(
            ConfigState base, ConfigRecord record, int attemptsLeft, boolean inDoubt) {
        if (attemptsLeft > 1) {
            // The key can be created once and carries the change's id, so that a retry is idempotent.
            return create(base, record, attemptsLeft - 1, inDoubt);
        }
        String why = "the platform's service does not answer";
        return CompletableFuture.completedFuture(
                inDoubt ? new AppendResult.InDoubt(record.changeId(), why) : new AppendResult.NotApplied(why));
    }

    private CompletionStage<AppendResult> resolveConflict(ConfigState base, ConfigRecord record, StoreEntry present) {
        return ConfigRecord.read(present.value())
                .fold(
                        why -> CompletableFuture.completedFuture(new AppendResult.NotApplied(why)),
                        found -> resolveConflict(base, record, found));
    }

    private CompletionStage<AppendResult> resolveConflict(ConfigState base, ConfigRecord record, ConfigRecord found) {
        if (found.changeId().equals(record.changeId())) {
            return accepted(base, record);
        }
        return latest(base)
                .thenApply(state -> state.fold(
                        why -> new AppendResult.Conflict(base.with(found), List.of(found)),
                        s -> new AppendResult.Conflict(s, s.since(base.version()))));
    }

    private CompletionStage<AppendResult> accepted(ConfigState base, ConfigRecord record) {
        ConfigState state = base.with(record);
        return advanceHead(record).thenApply(v -> new AppendResult.Accepted(state));
    }

    /** Advances the head key. A failure is corrected by the next change, and readers look for entries beyond it. */
    private CompletionStage<Void> advanceHead(ConfigRecord record) {
        return readHead().thenCompose(read -> {
            Head head = read.getOrElse(Head.NONE);
            if (read.isLeft() || head.version() >= record.version()) {
                return CompletableFuture.completedFuture(null);
            }
            long fullTextVersion = record.fullText().isPresent() ? record.version() : head.fullTextVersion();
            return store.compareAndSwap(
                            HEAD, head.storeVersion(), record.version() + " " + fullTextVersion, Optional.empty())
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
     * Reads one log entry.
     *
     * @param version the version of the entry
     * @return the entry, empty if it does not exist yet, or the reason why it cannot be read
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

    private static <T> CompletionStage<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
