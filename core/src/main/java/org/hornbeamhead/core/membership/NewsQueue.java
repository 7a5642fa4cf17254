package org.hornbeamhead.core.membership;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** News of members, each passed on a number of times that grows with the logarithm of the fleet. */
final class NewsQueue {
    private static final int REPEATS = 3;

    private record News(Member member, int sent) {}

    private final Map<String, News> byAddress = new LinkedHashMap<>();

    void add(Member member) {
        byAddress.put(member.peerAddress(), new News(member, 0));
    }

    /** Adds news that the next message must carry, whatever else there is. */
    void addFirst(Member member) {
        byAddress.put(member.peerAddress(), new News(member, -1));
    }

    List<Member> take(int count, int fleetSize) {
        int limit = REPEATS * (Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize + 1));
        List<News> chosen = byAddress.values().stream()
                .sorted(Comparator.comparingInt(News::sent))
                .limit(count)
                .toList();
        chosen.forEach(news -> sent(news, limit));
        return chosen.stream().map(News::member).toList();
    }

    private void sent(News news, int limit) {
        String address = news.member().peerAddress();
        if (news.sent() + 1 >= limit) {
            byAddress.remove(address);
        } else {
            byAddress.put(address, new News(news.member(), news.sent() + 1));
        }
    }
}
