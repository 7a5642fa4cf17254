package org.hornbeamhead.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * The gossip membership protocol of one router. It probes one peer per period, requests indirect probes before it
 * suspects the peer, and piggybacks member updates on its messages. Each message also carries the configuration
 * version, so that new versions spread the same way.
 *
 * <p>Members are learned from the platform's list of hosts, which lags, and from other members. Dead members are still
 * probed periodically, so that two regions rejoin by themselves after a network partition of an hour.
 *
 * <p>Confined to one thread. Membership is a best-effort view; no safety property may depend on it.
 */
public final class GossipNode {
    /** The maximum number of updates in a message, which keeps it well below the size limit of a datagram. */
    public static final int UPDATES_PER_MESSAGE = 6;

    private static final int DEAD_PROBE_PERIODS = 5;

    private record Probe(long sequence, String target) {}

    private final Clock clock;
    private final Timers timers;
    private final RandomGenerator random;
    private final GossipLimits limits;
    private final GossipTransport transport;
    private final GossipListener listener;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Long> suspectedAtMillis = new HashMap<>();
    private final Map<Long, GossipMessage> relayedProbes = new HashMap<>();
    private final UpdateQueue updateQueue = new UpdateQueue();
    private final List<String> probeRound = new ArrayList<>();
    private Member self;
    private long configVersion;
    private long nextSequence;
    private long periods;
    private Optional<Probe> pendingProbe = Optional.empty();

    /**
     * Creates a node that knows only itself.
     *
     * @param self the node's own member record, with its initial status
     * @param clock the clock
     * @param timers schedules periods and timeouts
     * @param random the random source for choosing peers
     * @param limits the timing and fan-out
     * @param transport sends datagrams
     * @param listener is notified of changes
     */
    public GossipNode(
            Member self,
            Clock clock,
            Timers timers,
            RandomGenerator random,
            GossipLimits limits,
            GossipTransport transport,
            GossipListener listener) {
        this.self = self;
        this.clock = clock;
        this.timers = timers;
        this.random = random;
        this.limits = limits;
        this.transport = transport;
        this.listener = listener;
    }

    /**
     * Starts the periodic probes. The first comes after a random part of a period, so that nodes started together do
     * not probe in step.
     */
    public void start() {
        timers.schedule(random.nextLong(limits.periodMillis()) + 1, this::runPeriod);
    }

    /**
     * Merges the list of hosts. Unknown hosts are added with their listed status; dead members that are no longer
     * listed are removed.
     *
     * @param listed the routers in the list of hosts
     */
    public void updateHostList(Collection<Member> listed) {
        List<String> names = listed.stream().map(Member::peerAddress).toList();
        boolean gone =
                members.values().removeIf(m -> m.status() == MemberStatus.DEAD && !names.contains(m.peerAddress()));
        long before = members.size();
        listed.stream()
                .filter(m -> !m.peerAddress().equals(self.peerAddress()))
                .forEach(m -> members.putIfAbsent(m.peerAddress(), m));
        if (gone || members.size() != before) {
            listener.membersChanged();
        }
    }

    /**
     * Changes this node from starting to alive and announces it to other members.
     *
     * <p>A replaced host is listed before its process has a configuration. Announcing it to callers at that point would
     * cause refusals after each restart, so a node is announced only after it reports itself that it serves.
     */
    public void startServing() {
        if (self.status() == MemberStatus.STARTING) {
            self = self.withStatus(MemberStatus.ALIVE);
            updateQueue.add(self);
            broadcastUpdates();
            listener.membersChanged();
        }
    }

    /** Announces to other members that this node is shutting down gracefully. */
    public void leave() {
        self = new Member(self.peerAddress(), self.address(), self.incarnation() + 1, MemberStatus.LEAVING);
        broadcastUpdates();
    }

    /**
     * Records the version of the configuration in force here and, if it is newer, notifies a few peers immediately.
     *
     * @param version the version
     */
    public void updateConfigVersion(long version) {
        if (version > configVersion) {
            configVersion = version;
            broadcastUpdates();
        }
    }

    private void broadcastUpdates() {
        shuffled(reachable()).stream().limit(limits.fanout()).forEach(p -> send(p, GossipMessage.Kind.NEWS, 0, ""));
    }

    /**
     * Processes a received message.
     *
     * @param message the message
     */
    public void receive(GossipMessage message) {
        applyUpdate(message.sender());
        message.updates().forEach(this::applyUpdate);
        handleKind(message);
        if (message.configVersion() > configVersion) {
            listener.newerConfig(message.sender().peerAddress(), message.configVersion());
        }
    }

    private void handleKind(GossipMessage message) {
        String from = message.sender().peerAddress();
        switch (message.kind()) {
            case PROBE -> {
                queueKnownStatus(message.sender());
                send(from, GossipMessage.Kind.ACK, message.sequence(), "");
            }
            case ACK -> handleAck(message);
            case PROBE_FOR_ME -> relayProbe(message);
            case NEWS -> replyToNews(message);
        }
    }

    /**
     * Queues the known status of the sender if it is worse than the sender's own, so that the sender can refute it.
     * After a partition of an hour both sides regard each other as dead and no longer send updates about it; they would
     * answer each other's probes and still not announce each other to callers.
     */
    private void queueKnownStatus(Member sender) {
        Member known = members.get(sender.peerAddress());
        if (known != null && known.status().compareTo(sender.status()) > 0) {
            updateQueue.addFirst(known);
        }
    }

    /** Replies when the sender has an older configuration version, so that versions spread in both directions. */
    private void replyToNews(GossipMessage message) {
        if (message.configVersion() < configVersion) {
            send(message.sender().peerAddress(), GossipMessage.Kind.NEWS, 0, "");
        }
    }

    private void handleAck(GossipMessage message) {
        pendingProbe.filter(p -> p.sequence() == message.sequence()).ifPresent(p -> pendingProbe = Optional.empty());
        GossipMessage request = relayedProbes.remove(message.sequence());
        if (request != null) {
            send(request.sender().peerAddress(), GossipMessage.Kind.ACK, request.sequence(), "");
        }
    }

    private void relayProbe(GossipMessage request) {
        long sequence = nextSequence++;
        relayedProbes.put(sequence, request);
        send(request.target(), GossipMessage.Kind.PROBE, sequence, "");
        timers.schedule(limits.periodMillis(), () -> relayedProbes.remove(sequence));
    }

    private void runPeriod() {
        timers.schedule(limits.periodMillis(), this::runPeriod);
        periods++;
        pendingProbe.ifPresent(p -> suspect(p.target()));
        pendingProbe = Optional.empty();
        markExpiredSuspectsDead();
        nextTarget().ifPresent(this::probe);
    }

    private void probe(String target) {
        Probe probe = new Probe(nextSequence++, target);
        pendingProbe = Optional.of(probe);
        send(target, GossipMessage.Kind.PROBE, probe.sequence(), "");
        timers.schedule(limits.ackTimeoutMillis(), () -> requestIndirectProbes(probe));
    }

    private void requestIndirectProbes(Probe probe) {
        if (!pendingProbe.equals(Optional.of(probe))) {
            return;
        }
        shuffled(reachable()).stream()
                .filter(o -> !o.equals(probe.target()))
                .limit(limits.indirectProbes())
                .forEach(o -> send(o, GossipMessage.Kind.PROBE_FOR_ME, probe.sequence(), probe.target()));
    }

    private Optional<String> nextTarget() {
        if (periods % DEAD_PROBE_PERIODS == 0) {
            List<String> dead = members.values().stream()
                    .filter(m -> m.status() == MemberStatus.DEAD)
                    .map(Member::peerAddress)
                    .sorted()
                    .toList();
            if (!dead.isEmpty()) {
                return Optional.of(dead.get(random.nextInt(dead.size())));
            }
        }
        if (probeRound.isEmpty()) {
            probeRound.addAll(shuffled(reachable()));
        }
        return probeRound.isEmpty() ? Optional.empty() : Optional.of(probeRound.remove(probeRound.size() - 1));
    }

    private void suspect(String target) {
        Member member = members.get(target);
        if (member != null && member.status().compareTo(MemberStatus.SUSPECT) < 0) {
            applyUpdate(member.withStatus(MemberStatus.SUSPECT));
        }
    }

    private void markExpiredSuspectsDead() {
        long since = clock.monotonicMillis() - limits.suspectPeriods() * limits.periodMillis();
        List<String> due = suspectedAtMillis.entrySet().stream()
                .filter(e -> e.getValue() <= since)
                .map(Map.Entry::getKey)
                .toList();
        due.stream()
                .map(members::get)
                .filter(Objects::nonNull)
                .forEach(m -> applyUpdate(m.withStatus(MemberStatus.DEAD)));
    }

    private void applyUpdate(Member reported) {
        if (reported.peerAddress().equals(self.peerAddress())) {
            refute(reported);
            return;
        }
        Member known = members.get(reported.peerAddress());
        if (known != null && !reported.supersedes(known)) {
            return;
        }
        members.put(reported.peerAddress(), reported);
        updateQueue.add(reported);
        if (reported.status() == MemberStatus.SUSPECT) {
            suspectedAtMillis.putIfAbsent(reported.peerAddress(), clock.monotonicMillis());
        } else {
            suspectedAtMillis.remove(reported.peerAddress());
        }
        listener.membersChanged();
    }

    /**
     * Refutes a wrong status of this node by raising its incarnation. Without this, a node that was paused or
     * partitioned would stay dead to the others and a healthy router would get no work. Only the node itself raises its
     * incarnation, so that its own update overrides all older ones.
     */
    private void refute(Member reported) {
        boolean wrong = reported.incarnation() >= self.incarnation() && reported.status() != self.status();
        if (wrong) {
            self = new Member(self.peerAddress(), self.address(), reported.incarnation() + 1, self.status());
            updateQueue.add(self);
        }
    }

    private void send(String to, GossipMessage.Kind kind, long sequence, String target) {
        List<Member> updates = updateQueue.take(UPDATES_PER_MESSAGE, members.size());
        transport.send(to, new GossipMessage(kind, sequence, self, target, configVersion, updates));
    }

    private List<String> shuffled(List<String> sorted) {
        List<String> list = new ArrayList<>(sorted);
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
        return list;
    }

    private List<String> reachable() {
        return members.values().stream()
                .filter(m -> m.status() != MemberStatus.DEAD)
                .map(Member::peerAddress)
                .sorted()
                .toList();
    }

    /**
     * Returns all members, including this node.
     *
     * @return the members with their known status
     */
    public List<Member> members() {
        List<Member> all = new ArrayList<>(members.values());
        all.add(self);
        return all;
    }

    /**
     * Returns the members that may be announced to callers, including this node while it serves.
     *
     * @return the members with status alive
     */
    public List<Member> serving() {
        return members().stream().filter(m -> m.status() == MemberStatus.ALIVE).toList();
    }

    /**
     * Returns this node's own member record.
     *
     * @return the member
     */
    public Member self() {
        return self;
    }
}
