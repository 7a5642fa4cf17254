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
 * The answer of a router to a request for its mirror of the store. All times are relative to the creation of the
 * answer, because the clocks of two machines cannot be compared.
 *
 * @param changes the changes after the requested revision
 * @param ageMillis how long ago the view was confirmed to be the latest, in milliseconds
 * @param provenMillisAgo the age of the time up to which the view is complete, in milliseconds
 * @param waitedMillis how long the request waited at the answering router, in milliseconds
 * @param relistMillis how long removed entries may still be listed again after an outage, in milliseconds
 * @param readsStore whether the store itself answers the answering router
 * @param named the ages of the published versions of weights
 */
public record MirrorAnswer(
        StoreChanges changes,
        long ageMillis,
        long provenMillisAgo,
        long waitedMillis,
        long relistMillis,
        boolean readsStore,
        List<NamedAge> named) {
    /** Age in milliseconds of a view whose age is missing from the answer: it is treated as never confirmed. */
    private static final long UNKNOWN_MILLIS = Long.MAX_VALUE / 4;

    /** Makes an immutable copy of the ages. */
    public MirrorAnswer {
        named = List.copyOf(named);
    }

    /** Returns the answer as JSON. */
    ObjectNode encode() {
        ObjectNode tree = Json.object();
        tree.put("revision", changes.revision());
        tree.put("whole", changes.snapshot());
        tree.put("ageMillis", ageMillis);
        tree.put("provenMillisAgo", provenMillisAgo);
        tree.put("waitedMillis", waitedMillis);
        tree.put("relistMillis", relistMillis);
        tree.put("readsStore", readsStore);
        ArrayNode ages = tree.putArray("named");
        named.forEach(a -> ages.addObject()
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
     * Parses an answer.
     *
     * @param text the JSON text
     * @return the answer, or a description of the parse error
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
                namedAges(tree.path("named")));
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

    private static List<NamedAge> namedAges(JsonNode list) {
        List<NamedAge> ages = new ArrayList<>();
        list.forEach(n -> ages.add(new NamedAge(
                n.path("model").asText(),
                n.path("version").asLong(),
                n.path("millisAgo").asLong(),
                n.path("guessed").asBoolean())));
        return ages;
    }
}
