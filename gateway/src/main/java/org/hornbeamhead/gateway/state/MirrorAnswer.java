package org.hornbeamhead.gateway.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.daemon.Json;

/**
 * What one router tells another of its view of the store. All times are spans up to the moment of the answer, since two
 * machines' clocks cannot be compared.
 *
 * @param changes what changed after the revision that was asked for
 * @param ageMillis how long ago the view was surely the newest, in milliseconds
 * @param provenMillisAgo how long ago the time lies up to which the view misses nothing, in milliseconds
 * @param waitedMillis how long the question lay at the router that answers, in milliseconds
 * @param relistMillis how long removals may still turn out to be the work of an outage, in milliseconds
 * @param readsStore whether the store itself answers that router
 * @param named when versions of weights were named
 */
public record MirrorAnswer(
        StoreChanges changes,
        long ageMillis,
        long provenMillisAgo,
        long waitedMillis,
        long relistMillis,
        boolean readsStore,
        List<NamedAge> named) {
    /** A view whose age another router does not tell is as old as this, in milliseconds: it proves nothing. */
    private static final long UNKNOWN_MILLIS = Long.MAX_VALUE / 4;

    /** Copies the names, so that the answer cannot change. */
    public MirrorAnswer {
        named = List.copyOf(named);
    }

    /** Writes the answer as JSON. */
    ObjectNode encode() {
        ObjectNode tree = Json.object();
        tree.put("revision", changes.revision());
        tree.put("whole", changes.snapshot());
        tree.put("ageMillis", ageMillis);
        tree.put("provenMillisAgo", provenMillisAgo);
        tree.put("waitedMillis", waitedMillis);
        tree.put("relistMillis", relistMillis);
        tree.put("readsStore", readsStore);
        ArrayNode names = tree.putArray("named");
        named.forEach(a -> names.addObject()
                .put("model", a.model())
                .put("version", a.version())
                .put("millisAgo", a.millisAgo())
                .put("guessed", a.guessed()));
        ArrayNode items = tree.putArray("items");
        changes.items().forEach(i -> items.addObject()
                .put("key", i.key())
                .put("revision", i.revision())
                .put("value", i.value())
                .put("removed", i.removed()));
        return tree;
    }

    /**
     * Reads an answer.
     *
     * @param text the JSON text
     * @return the answer, or what is wrong with it
     */
    static Either<String, MirrorAnswer> decode(String text) {
        return Json.parse(text).map(MirrorAnswer::decode);
    }

    private static MirrorAnswer decode(JsonNode tree) {
        return new MirrorAnswer(
                changes(tree),
                tree.path("ageMillis").asLong(UNKNOWN_MILLIS),
                tree.path("provenMillisAgo").asLong(UNKNOWN_MILLIS),
                Math.max(0, tree.path("waitedMillis").asLong()),
                tree.path("relistMillis").asLong(),
                tree.path("readsStore").asBoolean(),
                names(tree.path("named")));
    }

    private static StoreChanges changes(JsonNode tree) {
        List<StoreItem> items = new ArrayList<>();
        tree.path("items")
                .forEach(i -> items.add(new StoreItem(
                        i.path("key").asText(),
                        i.path("revision").asLong(),
                        i.path("value").asText(),
                        i.path("removed").asBoolean())));
        return new StoreChanges(
                items, tree.path("revision").asLong(), tree.path("whole").asBoolean());
    }

    private static List<NamedAge> names(JsonNode list) {
        List<NamedAge> named = new ArrayList<>();
        list.forEach(n -> named.add(new NamedAge(
                n.path("model").asText(),
                n.path("version").asLong(),
                n.path("millisAgo").asLong(),
                n.path("guessed").asBoolean())));
        return named;
    }
}
