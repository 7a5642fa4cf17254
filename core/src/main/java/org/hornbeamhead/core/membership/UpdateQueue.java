package org.hornbeamhead.core.membership;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Member updates to send, each sent a number of times that grows with the logarithm of the fleet size. */
final class UpdateQueue {
    private static final int REPEAT_FACTOR = 3;

    private record QueuedUpdate(Member member, int timesSent) {}

    private final Map<String, QueuedUpdate> byAddress = new LinkedHashMap<>();

    void add(Member member) {
        byAddress.put(member.peerAddress(), new QueuedUpdate(member, 0));
    }

    /** Adds an update ahead of those added with {@link #add}, so that the next message carries it. */
    void addFirst(Member member) {
        byAddress.put(member.peerAddress(), new QueuedUpdate(member, -1));
    }

    List<Member> take(int count, int fleetSize) {
        int limit = REPEAT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize + 1));
        List<QueuedUpdate> chosen = byAddress.values().stream()
                .sorted(Comparator.comparingInt(QueuedUpdate::timesSent))
                .limit(count)
                .toList();
        chosen.forEach(update -> recordSend(update, limit));
        return chosen.stream().map(QueuedUpdate::member).toList();
    }

    private void recordSend(QueuedUpdate update, int limit) {
        String address = update.member().peerAddress();
        if (update.timesSent() + 1 >= limit) {
            byAddress.remove(address);
        } else {
            byAddress.put(address, new QueuedUpdate(update.member(), update.timesSent() + 1));
        }
    }
}
