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
 * One router's part in the membership of routers: it probes one peer a period, asks others before it suspects, and
 * passes news on with the probes. Each message carries the version of the configuration, so that versions spread the
 * same way.
 *
 * <p>Members come from the platform's list of hosts, which lags, and from one another. A member believed dead is still
 * probed now and then, so that two regions that lost each other for an hour find together again by themselves.
 *
 * <p>Owned by one thread. Nothing that must be safe rests on this belief.
 */
public final class GossipNode {
    /** The most news a message carries, which keeps it well below a datagram. */
    public static final int UPDATES_PER_MESSAGE = 6;

    private static final int DEAD_PROBE_EVERY = 5;

    private record Probe(long sequence, String target) {}

    private final Clock clock;
    private final Timers timers;
    private final RandomGenerator random;
    private final GossipLimits limits;
    private final GossipTransport transport;
    private final GossipListener listener;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Long> suspectedAtMillis = new HashMap<>();
    private final Map<Long, GossipMessage> relayed = new HashMap<>();
    private final NewsQueue news = new NewsQueue();
    private final List<String> round = new ArrayList<>();
    private Member self;
    private long configVersion;
    private long nextSequence;
    private long periods;
    private Optional<Probe> open = Optional.empty();

    /**
     * Makes a node that knows only itself.
     *
     * @param self the node's own member, starting
     * @param clock the clock
     * @param timers runs the node's waits
     * @param random chooses peers
     * @param limits the pace
     * @param transport sends datagrams
     * @param listener hears of changes
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

    /** Starts the periods, the first after a part of one, so that a herd of nodes does not beat together. */
    public void start() {
        timers.schedule(random.nextLong(limits.periodMillis()) + 1, this::period);
    }

    /**
     * Takes over the list of hosts. Unknown ones are taken for alive until a probe tells otherwise; ones that are
     * neither listed nor alive are forgotten.
     *
     * @param listed the other routers, as the list gives them
     */
    public void listed(Collection<Member> listed) {
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
     * Tells the others that this node serves.
     *
     * <p>Failure: a replaced host stands in the list before its process has a configuration, and is named to callers.
     * Symptom: refusals after each restart. A node is named only after it has said itself that it serves.
     */
    public void serve() {
        if (self.status() == MemberStatus.STARTING) {
            self = self.with(MemberStatus.ALIVE);
            news.add(self);
            spreadNews();
            listener.membersChanged();
        }
    }

    /** Tells the others that this node is being shut down gracefully. */
    public void leave() {
        self = new Member(self.peerAddress(), self.address(), self.incarnation() + 1, MemberStatus.LEAVING);
        spreadNews();
    }

    /**
     * Notes the version of the configuration in force here, and tells a few peers at once when it is new.
     *
     * @param version the version
     */
    public void config(long version) {
        if (version > configVersion) {
            configVersion = version;
            spreadNews();
        }
    }

    private void spreadNews() {
        shuffled(reachable()).stream().limit(limits.fanout()).forEach(p -> send(p, GossipMessage.Kind.NEWS, 0, ""));
    }

    /**
     * Takes in a message.
     *
     * @param message the message
     */
    public void receive(GossipMessage message) {
        learn(message.sender());
        message.updates().forEach(this::learn);
        answer(message);
        if (message.configVersion() > configVersion) {
            listener.newerConfig(message.sender().peerAddress(), message.configVersion());
        }
    }

    private void answer(GossipMessage message) {
        String from = message.sender().peerAddress();
        switch (message.kind()) {
            case PROBE -> {
                tellOfSuspicion(message.sender());
                send(from, GossipMessage.Kind.ACK, message.sequence(), "");
            }
            case ACK -> acknowledged(message);
            case PROBE_FOR_ME -> probeFor(message);
            case NEWS -> replyToNews(message);
        }
    }

    /**
     * Failure: after an hour's cut both sides hold the other for dead, and the news of it has long run its course.
     * Symptom: each answers the other's probes and still names it to no caller. A sender that is believed to be gone is
     * told so again, with the answer, and refutes.
     */
    private void tellOfSuspicion(Member sender) {
        Member known = members.get(sender.peerAddress());
        if (known != null && known.status().compareTo(sender.status()) > 0) {
            news.addFirst(known);
        }
    }

    /** Answers news with news when the sender is behind, so that a version spreads both ways. */
    private void replyToNews(GossipMessage message) {
        if (message.configVersion() < configVersion) {
            send(message.sender().peerAddress(), GossipMessage.Kind.NEWS, 0, "");
        }
    }

    private void acknowledged(GossipMessage message) {
        open.filter(p -> p.sequence() == message.sequence()).ifPresent(p -> open = Optional.empty());
        GossipMessage asked = relayed.remove(message.sequence());
        if (asked != null) {
            send(asked.sender().peerAddress(), GossipMessage.Kind.ACK, asked.sequence(), "");
        }
    }

    private void probeFor(GossipMessage asked) {
        long sequence = nextSequence++;
        relayed.put(sequence, asked);
        send(asked.target(), GossipMessage.Kind.PROBE, sequence, "");
        timers.schedule(limits.periodMillis(), () -> relayed.remove(sequence));
    }

    private void period() {
        timers.schedule(limits.periodMillis(), this::period);
        periods++;
        open.ifPresent(p -> suspect(p.target()));
        open = Optional.empty();
        buryUnrefuted();
        nextTarget().ifPresent(this::probe);
    }

    private void probe(String target) {
        Probe probe = new Probe(nextSequence++, target);
        open = Optional.of(probe);
        send(target, GossipMessage.Kind.PROBE, probe.sequence(), "");
        timers.schedule(limits.ackMillis(), () -> askOthers(probe));
    }

    private void askOthers(Probe probe) {
        if (!open.equals(Optional.of(probe))) {
            return;
        }
        shuffled(reachable()).stream()
                .filter(o -> !o.equals(probe.target()))
                .limit(limits.indirect())
                .forEach(o -> send(o, GossipMessage.Kind.PROBE_FOR_ME, probe.sequence(), probe.target()));
    }

    private Optional<String> nextTarget() {
        if (periods % DEAD_PROBE_EVERY == 0) {
            List<String> dead = members.values().stream()
                    .filter(m -> m.status() == MemberStatus.DEAD)
                    .map(Member::peerAddress)
                    .sorted()
                    .toList();
            if (!dead.isEmpty()) {
                return Optional.of(dead.get(random.nextInt(dead.size())));
            }
        }
        if (round.isEmpty()) {
            round.addAll(shuffled(reachable()));
        }
        return round.isEmpty() ? Optional.empty() : Optional.of(round.remove(round.size() - 1));
    }

    private void suspect(String target) {
        Member member = members.get(target);
        if (member != null && member.status().compareTo(MemberStatus.SUSPECT) < 0) {
            learn(member.with(MemberStatus.SUSPECT));
        }
    }

    private void buryUnrefuted() {
        long since = clock.monotonicMillis() - limits.suspectPeriods() * limits.periodMillis();
        List<String> due = suspectedAtMillis.entrySet().stream()
                .filter(e -> e.getValue() <= since)
                .map(Map.Entry::getKey)
                .toList();
        due.stream().map(members::get).filter(Objects::nonNull).forEach(m -> learn(m.with(MemberStatus.DEAD)));
    }

    private void learn(Member said) {
        if (said.peerAddress().equals(self.peerAddress())) {
            refute(said);
            return;
        }
        Member known = members.get(said.peerAddress());
        if (known != null && !said.supersedes(known)) {
            return;
        }
        members.put(said.peerAddress(), said);
        news.add(said);
        if (said.status() == MemberStatus.SUSPECT) {
            suspectedAtMillis.putIfAbsent(said.peerAddress(), clock.monotonicMillis());
        } else {
            suspectedAtMillis.remove(said.peerAddress());
        }
        listener.membersChanged();
    }

    /**
     * Failure: a node that was paused or cut off is taken for dead and stays out. Symptom: a healthy router gets no
     * work. Only the node itself raises its incarnation, so that its word goes before every older rumour.
     */
    private void refute(Member said) {
        boolean wrong = said.incarnation() >= self.incarnation() && said.status() != self.status();
        if (wrong) {
            self = new Member(self.peerAddress(), self.address(), said.incarnation() + 1, self.status());
            news.add(self);
        }
    }

    private void send(String to, GossipMessage.Kind kind, long sequence, String target) {
        List<Member> updates = news.take(UPDATES_PER_MESSAGE, members.size());
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
     * Lists the members, this one included.
     *
     * @return what is believed of each
     */
    public List<Member> members() {
        List<Member> all = new ArrayList<>(members.values());
        all.add(self);
        return all;
    }

    /**
     * Lists the members that may be named to callers, this one included while it serves.
     *
     * @return the members believed alive
     */
    public List<Member> serving() {
        return members().stream().filter(m -> m.status() == MemberStatus.ALIVE).toList();
    }

    /**
     * Returns this node's own member.
     *
     * @return the member
     */
    public Member self() {
        return self;
    }
}
