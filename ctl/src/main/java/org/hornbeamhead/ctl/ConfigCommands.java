package org.hornbeamhead.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.clients.HttpKeyValueStore;
import org.hornbeamhead.core.config.AppendResult;
import org.hornbeamhead.core.config.ConfigAuthor;
import org.hornbeamhead.core.config.ConfigDocument;
import org.hornbeamhead.core.config.ConfigLog;
import org.hornbeamhead.core.config.ConfigRecord;
import org.hornbeamhead.core.config.ConfigState;
import org.hornbeamhead.core.config.SectionChange;
import org.hornbeamhead.core.drain.DrainOrder;
import org.hornbeamhead.core.drain.DrainOrders;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.daemon.ExitCode;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Json;

/** The commands that read or change what the platform's service holds. */
final class ConfigCommands {
    private static final String VERSION_LINE = "; version ";
    private static final int DRAIN_TRIES = 5;

    /**
     * Who makes a change.
     *
     * @param name the operator
     * @param reason why
     */
    record Author(String name, String reason) {}

    private final String address;
    private final boolean json;

    ConfigCommands(String address, boolean json) {
        this.address = address;
        this.json = json;
    }

    ExitCode print(String what) {
        return switch (what) {
            case "show" -> withLatest(this::show);
            case "history" -> history();
            default -> drains();
        };
    }

    private <T> T onStore(Function<KeyValueStore, CompletionStage<T>> task) {
        return Reactors.run(reactor -> task.apply(new HttpKeyValueStore(
                HttpCaller.connectingAnew(reactor, HttpKeyValueStore.COMMAND_CALL_LIMIT),
                address,
                HttpKeyValueStore.COMMAND_CALL_LIMIT)));
    }

    private ExitCode withLatest(Function<ConfigState, ExitCode> use) {
        Either<String, ConfigState> read = onStore(store -> new ConfigLog(store).latest(ConfigState.NONE));
        return read.fold(this::failed, use);
    }

    private ExitCode failed(String why) {
        System.err.println("hornbeamctl: " + why);
        return ExitCode.FAILED;
    }

    private ExitCode show(ConfigState state) {
        if (json) {
            System.out.println(Json.write(Json.object()
                    .put("version", state.version())
                    .put("text", state.document().text())));
        } else {
            System.out.println(VERSION_LINE + state.version());
            System.out.print(state.document().text());
        }
        return ExitCode.OK;
    }

    ExitCode diff(String file) {
        return withLatest(state -> {
            List<SectionChange> changes = state.document()
                    .changesTo(ConfigDocument.of(withoutVersion(file)))
                    .orElse(List.of(new SectionChange("(the order of the sections)", Optional.empty())));
            if (json) {
                System.out.println(Json.write(changeNodes(changes)));
            } else {
                System.out.println(changes.isEmpty() ? "no difference" : describe(changes));
            }
            return ExitCode.OK;
        });
    }

    /**
     * Makes a text the configuration.
     *
     * @param file the new text, already checked; the version that {@code show} printed on its first line is its base
     * @param author who changes it, and why
     * @param base the base, when the text does not carry it
     * @return accepted, overtaken, not made or in doubt
     */
    ExitCode apply(String file, Author author, Optional<Long> base) {
        if (author.reason().isBlank()) {
            throw new IllegalArgumentException("apply needs --reason, for the audit trail");
        }
        return withLatest(state -> {
            Optional<Long> from = base.or(() -> versionOf(file));
            if (from.isEmpty() && state.version() > 0) {
                throw new IllegalArgumentException(
                        "the file does not say which version it was made from; give --base VERSION (now "
                                + state.version() + "), or start from 'show'");
            }
            if (from.orElse(0L) < state.version()) {
                return overtaken(state, from.orElse(0L), state.since(from.orElse(0L)));
            }
            return append(state, withoutVersion(file), author);
        });
    }

    private ExitCode append(ConfigState state, String text, Author author) {
        ConfigAuthor who = new ConfigAuthor(
                author.name(),
                author.reason(),
                System.currentTimeMillis(),
                UUID.randomUUID().toString());
        AppendResult result = onStore(store -> new ConfigLog(store).append(state, text, who));
        if (result instanceof AppendResult.Accepted accepted) {
            System.out.println(
                    json
                            ? Json.write(Json.object()
                                    .put("version", accepted.state().version()))
                            : "accepted as version " + accepted.state().version());
            return ExitCode.OK;
        }
        if (result instanceof AppendResult.Conflict overtaken) {
            return overtaken(overtaken.state(), state.version(), overtaken.interveningRecords());
        }
        if (result instanceof AppendResult.InDoubt doubt) {
            System.err.println("hornbeamctl: " + doubt.cause() + "; history will show change " + doubt.changeId()
                    + " if it was made");
            return ExitCode.IN_DOUBT;
        }
        return failed(((AppendResult.NotApplied) result).cause() + "; nothing was changed");
    }

    private ExitCode overtaken(ConfigState state, long base, List<ConfigRecord> others) {
        System.err.println("hornbeamctl: nothing was changed: the file was made from version " + base + ", and version "
                + state.version() + " is in force. Meanwhile:");
        others.forEach(r -> System.err.println("  " + describe(r)));
        return ExitCode.OVERTAKEN;
    }

    private ExitCode history() {
        List<ConfigRecord> records = onStore(store -> collect(new ConfigLog(store), 1, List.of()));
        if (json) {
            ArrayNode list = Json.object().putArray("history");
            records.forEach(r -> {
                ObjectNode node = list.addObject()
                        .put("version", r.version())
                        .put("change", r.changeId())
                        .put("author", r.author())
                        .put("time", Instant.ofEpochMilli(r.wallMillis()).toString())
                        .put("reason", r.reason());
                node.set("changes", changeNodes(r.changes()));
            });
            System.out.println(Json.write(list));
        } else {
            records.forEach(r -> System.out.println(describe(r)));
        }
        return ExitCode.OK;
    }

    private static CompletionStage<List<ConfigRecord>> collect(ConfigLog log, long version, List<ConfigRecord> before) {
        return log.readRecord(version).thenCompose(read -> {
            if (read.isLeft()) {
                return CompletableFuture.failedStage(new IllegalStateException(read.getLeft()));
            }
            if (read.get().isEmpty()) {
                return CompletableFuture.completedStage(before);
            }
            List<ConfigRecord> next =
                    Stream.concat(before.stream(), read.get().stream()).toList();
            return collect(log, version + 1, next);
        });
    }

    private static String describe(ConfigRecord r) {
        String what =
                r.fullText().isPresent() ? "whole text" : describe(r.changes()).replace('\n', ',');
        return "version " + r.version() + "  " + Instant.ofEpochMilli(r.wallMillis()) + "  " + r.author() + "  \""
                + r.reason() + "\"  " + what + "  change " + r.changeId();
    }

    private static String describe(List<SectionChange> changes) {
        return changes.stream()
                .map(c -> (c.text().isPresent() ? "set [" : "removed [") + c.name() + "]")
                .collect(Collectors.joining("\n"));
    }

    private static ArrayNode changeNodes(List<SectionChange> changes) {
        ArrayNode list = Json.object().putArray("changes");
        changes.forEach(c -> list.addObject()
                .put("section", c.name())
                .put("removed", c.text().isEmpty())
                .put("text", c.text().orElse("")));
        return list;
    }

    private ExitCode drains() {
        Either<String, DrainOrders> read = onStore(store -> store.read(DrainOrders.KEY)
                .thenApply(ConfigCommands::drainOrders)
                .thenApply(e -> e.map(Drains::orders)));
        return read.fold(this::failed, orders -> {
            orders.orders()
                    .forEach(o -> System.out.println(o.address() + "  " + Instant.ofEpochMilli(o.wallMillis()) + "  "
                            + o.author() + "  \"" + o.reason() + "\"  "
                            + (o.isInForce() ? "in force" : "ended by " + o.endedBy())));
            return ExitCode.OK;
        });
    }

    private record Drains(DrainOrders orders, long version) {}

    private static Either<String, Drains> drainOrders(StoreReply reply) {
        if (reply instanceof StoreReply.Found found) {
            StoreEntry entry = found.entry();
            return Either.right(new Drains(DrainOrders.parse(entry.value()), entry.version()));
        }
        return reply instanceof StoreReply.Missing
                ? Either.right(new Drains(new DrainOrders(List.of()), KeyValueStore.ABSENT))
                : Either.left("the platform's service does not answer");
    }

    ExitCode drain(String endpoint, Author author, boolean begin) {
        if (begin && author.reason().isBlank()) {
            throw new IllegalArgumentException("drain needs --reason, for the audit trail");
        }
        DrainOrder order = new DrainOrder(endpoint, author.name(), System.currentTimeMillis(), author.reason(), "");
        BiFunction<DrainOrders, DrainOrder, DrainOrders> change =
                begin ? DrainOrders::with : (all, o) -> all.withEnded(endpoint, author.name());
        boolean made = onStore(store -> changeDrains(store, order, change, DRAIN_TRIES));
        if (!made) {
            return failed("the platform's service does not answer; repeat the command, which does no harm");
        }
        System.out.println((begin ? "draining " : "no longer draining ") + endpoint);
        return ExitCode.OK;
    }

    /** Adding or ending an order twice changes nothing, so that any lost answer is settled by trying again. */
    private static CompletionStage<Boolean> changeDrains(
            KeyValueStore store, DrainOrder order, BiFunction<DrainOrders, DrainOrder, DrainOrders> change, int tries) {
        if (tries == 0) {
            return CompletableFuture.completedStage(false);
        }
        return store.read(DrainOrders.KEY).thenCompose(reply -> drainOrders(reply)
                .fold(why -> changeDrains(store, order, change, tries - 1), drains -> store.compareAndSwap(
                                DrainOrders.KEY,
                                drains.version(),
                                change.apply(drains.orders(), order).format(),
                                Optional.empty())
                        .thenCompose(written -> written instanceof StoreReply.Found
                                ? CompletableFuture.completedStage(true)
                                : changeDrains(store, order, change, tries - 1))));
    }

    private static Optional<Long> versionOf(String file) {
        return file.lines()
                .findFirst()
                .filter(line -> line.startsWith(VERSION_LINE))
                .map(line ->
                        Long.parseLong(line.substring(VERSION_LINE.length()).trim()));
    }

    private static String withoutVersion(String file) {
        return versionOf(file).isPresent() ? file.substring(file.indexOf('\n') + 1) : file;
    }
}
