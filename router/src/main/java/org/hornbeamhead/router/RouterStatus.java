package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hornbeamhead.core.config.RequestClass;
import org.hornbeamhead.core.membership.GossipNode;
import org.hornbeamhead.core.placement.Replica;
import org.hornbeamhead.daemon.Json;

/** Shows operators what one router knows: the fleet, the replicas, and the classes against their targets. */
final class RouterStatus {
    private final RouterContext context;
    private final PoolDirectory pools;
    private final GossipNode gossip;
    private final RunningRequests running;

    RouterStatus(RouterContext context, PoolDirectory pools, GossipNode gossip, RunningRequests running) {
        this.context = context;
        this.pools = pools;
        this.gossip = gossip;
        this.running = running;
    }

    ObjectNode show() {
        ObjectNode status = Json.object();
        status.put("config_version", context.config().state().version());
        status.put("fleet", context.config().config().fleet());
        status.put("running", running.count());
        ArrayNode members = status.putArray("members");
        gossip.members().forEach(m -> members.addObject()
                .put("peer", m.peerAddress())
                .put("address", m.address())
                .put("status", m.status().name()));
        ArrayNode classes = status.putArray("classes");
        context.config().config().classes().values().forEach(c -> showClass(classes.addObject(), c));
        ArrayNode replicas = status.putArray("replicas");
        pools.enginesByName()
                .forEach((name, pool) ->
                        pool.table().replicas().forEach(r -> showReplica(replicas.addObject(), name, r)));
        return status;
    }

    private void showClass(ObjectNode node, RequestClass c) {
        double actual = context.health().firstTokenMillis(c.name());
        node.put("name", c.name());
        node.put("batch", c.batch());
        node.put("first_token_p95_ms", actual);
        if (!c.batch()) {
            node.put("first_token_target_ms", c.firstToken().toMillis());
            node.put("met", actual <= c.firstToken().toMillis());
        }
    }

    private void showReplica(ObjectNode node, String pool, Replica replica) {
        long now = context.clock().monotonicMillis();
        node.put("pool", pool);
        node.put("address", replica.address());
        node.put("weights", replica.weights());
        node.put("leaving", replica.endpoint().leaving());
        node.put("ejected", replica.outlier().isEjected(now));
        node.put("waiting_tokens", Math.round(replica.waitingTokens(now)));
        node.put("streams", replica.streams());
    }
}
